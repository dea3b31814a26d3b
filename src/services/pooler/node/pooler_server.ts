import type {Log} from '../../../base/node/log';
import type {MessageLink} from '../../../base/node/message_link';
import type {MessageServer} from '../../../base/node/message_server';
import {childController} from '../../../base/node/timers';
import type {
  PoolerRequest,
  PoolerResponse,
  WorkRequest,
  WorkWait,
} from '../../../schema/generated/pooler';
import type {Gateway} from '../../gateway/node/gateway';
import {encodeReply} from '../common/pooler_messages';
import {WaitReport} from '../common/wait_report';
import {PooledWork} from './pooled_work';
import {POOLER_PROTOCOL} from './pooler_protocol';

type Link = MessageLink<PoolerResponse, PoolerRequest>;

/** A pooler's side: serves the proxies that send it their callers' work. */
export class PoolerServer {
  private readonly peers = new Set<Peer>();
  private leaving = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  /** Takes the links of other proxies. */
  serve(server: MessageServer): void {
    server.serve(POOLER_PROTOCOL, link => this.onServe(link));
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
  abortAll(): void {
    for (const peer of this.peers) peer.giveUpAll('this instance stops');
  }

  private onServe(link: Link): void {
    const peer = new Peer(link, this.gateway, this.signal);
    this.peers.add(peer);
    const address = link.peer;
    this.log.info('A proxy sends its work here.', {address});
    link.start({
      onDidReceive: message => peer.onMessage(message),
      onDidEnd: reason => {
        this.peers.delete(peer);
        const {workCount} = peer;
        this.log.info('A proxy left.', {address, reason, work: workCount});
        peer.end();
      },
    });
    if (this.leaving) peer.sayLeaving();
  }
}

/** One proxy's link and the work that came on it. */
class Peer {
  private readonly works = new Map<number, PooledWork>();
  private readonly report = new WaitReport();
  private readonly ended;

  constructor(
    private readonly link: Link,
    private readonly gateway: Gateway,
    signal: AbortSignal,
  ) {
    this.ended = childController(signal);
  }

  get workCount(): number {
    return this.works.size;
  }

  sayLeaving(): void {
    this.write({$case: 'leaving', value: {}});
  }

  giveUpAll(reason: string): void {
    for (const work of this.works.values()) work.cancel(reason);
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

  onMessage({body}: PoolerRequest): void {
    switch (body?.$case) {
      case 'work':
        return this.onWork(body.value);
      case 'abandoned': {
        const {work} = body.value;
        this.works.get(work)?.cancel('its proxy gave it up');
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
      const waits = this.waitsFor(work);
      this.write({$case: 'reply', value: encodeReply(id, reply, waits)});
    });
  }

  private waitsFor({service}: PooledWork): WorkWait[] {
    if (service === undefined) return [];
    return this.report.nextEntries(service, this.gateway.queueWaitsOf(service));
  }

  private write(body: PoolerResponse['body']): void {
    if (!this.ended.signal.aborted) this.link.write({body});
  }
}
