import type {Log} from '../../../base/node/log';
import type {MessageLink} from '../../../base/node/message_link';
import type {MessageServer} from '../../../base/node/message_server';
import type {
  CounterRequest,
  CounterResponse,
} from '../../../schema/generated/account';
import {encodeDecision} from '../common/permit_messages';
import {COUNTER_PROTOCOL} from './counter_protocol';
import type {LocalCounter} from './local_counter';

type Link = MessageLink<CounterResponse, CounterRequest>;

/** Answers requests for permits from other proxies. */
export class CounterServer {
  constructor(
    private readonly counter: LocalCounter,
    private readonly log: Log,
  ) {}

  /** Accepts links of the counter protocol on a server. */
  serve(server: MessageServer): void {
    server.serve(COUNTER_PROTOCOL, link => this.onDidConnect(link));
  }

  private onDidConnect(link: Link): void {
    const address = link.peer;
    this.log.info('A proxy connected to this counter.', {address});
    link.start({
      onDidReceive: message => this.onMessage(link, message),
      onDidEnd: reason => {
        this.log.info('A proxy disconnected from this counter.', {
          address,
          reason,
        });
      },
    });
  }

  private onMessage(link: Link, {body}: CounterRequest): void {
    switch (body?.$case) {
      case 'permit': {
        const {number, account, wanted} = body.value;
        const decision = this.counter.requestPermits(
          account,
          Math.max(1, wanted),
        );
        const value = encodeDecision(number, decision);
        return link.write({body: {$case: 'reply', value}});
      }
      case 'returned': {
        const {account, count} = body.value;
        return this.counter.returnPermits(account, count);
      }
    }
  }
}
