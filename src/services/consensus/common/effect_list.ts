import type {
  ConsensusMessage,
  HardState,
} from '../../../schema/generated/consensus';
import type {Effect, RefusalReason, RequestId} from './consensus_types';

/** The effects of one step, in the order in which they are to be done. */
export class EffectList {
  private items: Effect[] = [];

  constructor(private readonly self: string) {}

  /** Takes out all effects. */
  takeAll(): Effect[] {
    const {items} = this;
    this.items = [];
    return items;
  }

  push(effect: Effect): void {
    this.items.push(effect);
  }

  refuse(ticket: RequestId, reason: RefusalReason): void {
    this.push({kind: 'refused', ticket, reason});
  }

  refuseAll(tickets: readonly RequestId[], reason: RefusalReason): void {
    for (const ticket of tickets) this.refuse(ticket, reason);
  }

  saveHardState(state: HardState): void {
    this.push({kind: 'saveHardState', state});
  }

  send(
    to: string,
    body: NonNullable<ConsensusMessage['body']>,
    term: number,
  ): void {
    const message = {from: this.self, to, term, body, fromAddress: ''};
    this.push({kind: 'send', message});
  }
}
