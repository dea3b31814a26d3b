import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Log} from '../../../base/node/log';
import {childController} from '../../../base/node/timers';
import type {
  PoolerRequest,
  PoolerResponse,
  PoolerServer as PoolerHandlers,
  WorkRequest,
} from '../../../schema/generated/pooler';
import type {Gateway} from '../../gateway/node/gateway';
import {encodeReply} from '../common/pooler_messages';
import {PooledWork} from './pooled_work';

type Stream = ServerDuplexStream<PoolerRequest, PoolerResponse>;

/** A pooler's side: serves the proxies that send it their callers' work. */
export class PoolerServer {
  private readonly peers = new Set<Peer>();
  private leaving = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  get handlers(): PoolerHandlers {
    return {serve: stream => this.onServe(stream)};
  }

  /** Statements and transactions of other proxies that are under way. */
  get workCount(): number {
    let count = 0;
    for (const peer of this.peers) count += peer.workCount;
    return count;
  }

  /** Asks the other proxies for no new work; what is under way goes on. */
  drain(): void {
    this.leaving = true;
    for (const peer of this.peers) peer.sayLeaving();
  }

  /** Undoes the transactions that are still open. */
  cut(): void {
    for (const peer of this.peers) peer.giveUpAll('this instance stops');
  }

  private onServe(stream: Stream): void {
    const peer = new Peer(stream, this.gateway, this.signal);
    this.peers.add(peer);
    const address = stream.getPeer();
    this.log.info('A proxy sends its work here.', {address});
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      this.peers.delete(peer);
      const {workCount} = peer;
      this.log.info('A proxy left.', {address, work: workCount});
      peer.end();
      stream.end();
    };
    stream.on('end', end);
    stream.on('error', end);
    stream.on('cancelled', end);
    if (this.leaving) peer.sayLeaving();
  }
}

/** One proxy's stream and the work that came on it. */
class Peer {
  private readonly works = new Map<number, PooledWork>();
  private readonly ended;

  constructor(
    private readonly stream: Stream,
    private readonly gateway: Gateway,
    signal: AbortSignal,
  ) {
    this.ended = childController(signal);
    stream.on('data', (message: PoolerRequest) => this.onMessage(message));
  }

  get workCount(): number {
    return this.works.size;
  }

  sayLeaving(): void {
    this.write({$case: 'leaving', value: {}});
  }

  giveUpAll(reason: string): void {
    for (const work of this.works.values()) work.giveUp(reason);
  }

  /**
   * Guard: a proxy that is gone, or cut off, can commit nothing any more; its
   * transactions would hold connections until the members' own limits.
   */
  end(): void {
    this.giveUpAll('the proxy that sent it is gone');
    this.works.clear();
    this.ended.abort();
  }

  private onMessage({body}: PoolerRequest): void {
    switch (body?.$case) {
      case 'work':
        return this.onWork(body.value);
      case 'abandoned': {
        const {work} = body.value;
        this.works.get(work)?.giveUp('its proxy gave it up');
        this.works.delete(work);
        return;
      }
      case 'alive':
        return this.write({$case: 'alive', value: {}});
    }
  }

  private onWork(request: WorkRequest): void {
    const {work: id} = request;
    const known = this.works.get(id);
    const work = known ?? new PooledWork(this.gateway, this.ended.signal);
    this.works.set(id, work);
    work.run(request, reply => {
      if (work.isOver && this.works.get(id) === work) this.works.delete(id);
      this.write({$case: 'reply', value: encodeReply(id, reply)});
    });
  }

  private write(body: PoolerResponse['body']): void {
    if (this.ended.signal.aborted || this.stream.destroyed) return;
    this.stream.write({body});
  }
}
