import type {Log} from '../../../base/node/log';
import type {MessageLink} from '../../../base/node/message_link';
import type {MessageServer} from '../../../base/node/message_server';
import {createChildController} from '../../../base/node/timers';
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

/** The server side of a pooler: runs the requests of other proxies. */
export class PoolerServer {
  private readonly peers = new Set<ProxyPeer>();
  private isDraining = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly log: Log,
    private readonly signal: AbortSignal,
  ) {}

  /** Accepts the links of other proxies. */
  serve(server: MessageServer): void {
    server.serve(POOLER_PROTOCOL, link => this.onDidConnect(link));
  }

  /**
   * Number of statements and transactions of other proxies that are running.
   */
  get workCount(): number {
    let count = 0;
    for (const peer of this.peers) count += peer.workCount;
    return count;
  }

  /** Asks the other proxies to send no new work; running work continues. */
  drain(): void {
    this.isDraining = true;
    for (const peer of this.peers) peer.announceDrain();
  }

  /** Rolls back all open transactions. */
  abortAll(): void {
    for (const peer of this.peers) peer.cancelAll('this instance stops');
  }

  private onDidConnect(link: Link): void {
    const peer = new ProxyPeer(link, this.gateway, this.signal);
    this.peers.add(peer);
    const address = link.peer;
    this.log.info('A proxy connected to this pooler.', {address});
    link.start({
      onDidReceive: message => peer.onMessage(message),
      onDidEnd: reason => {
        this.peers.delete(peer);
        const {workCount} = peer;
        this.log.info('A proxy disconnected from this pooler.', {
          address,
          reason,
          work: workCount,
        });
        peer.end();
      },
    });
    if (this.isDraining) peer.announceDrain();
  }
}

/** The link of one proxy and its running work. */
class ProxyPeer {
  private readonly running = new Map<number, PooledWork>();
  private readonly report = new WaitReport();
  private readonly ended;

  constructor(
    private readonly link: Link,
    private readonly gateway: Gateway,
    signal: AbortSignal,
  ) {
    this.ended = createChildController(signal);
  }

  get workCount(): number {
    return this.running.size;
  }

  announceDrain(): void {
    this.write({$case: 'leaving', value: {}});
  }

  cancelAll(reason: string): void {
    for (const work of this.running.values()) work.cancel(reason);
  }

  /**
   * Guard: a lost or partitioned proxy cannot commit any more; without a
   * rollback, its transactions would hold connections until the limits of the
   * members.
   */
  end(): void {
    this.cancelAll('the proxy that sent it is gone');
    this.running.clear();
    this.ended.abort();
  }

  onMessage({body}: PoolerRequest): void {
    switch (body?.$case) {
      case 'work':
        return this.onWork(body.value);
      case 'abandoned': {
        const {work} = body.value;
        this.running.get(work)?.cancel('its proxy gave it up');
        this.running.delete(work);
        return;
      }
      case 'alive':
        return this.write({$case: 'alive', value: {}});
    }
  }

  private onWork(request: WorkRequest): void {
    const {work: id} = request;
    const existing = this.running.get(id);
    const work = existing ?? new PooledWork(this.gateway, this.ended.signal);
    this.running.set(id, work);
    work.run(request, reply => {
      if (work.isOver && this.running.get(id) === work) this.running.delete(id);
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
