import type {
  ConsensusMessage,
  HardState,
} from '../../../schema/generated/consensus';
import type {Effect, RefusalReason, RequestId} from './consensus_types';

/** Collects the effects of one step in order. */
export class EffectList {
  private items: Effect[] = [];

  constructor(private readonly self: string) {}

  /** Returns all effects and clears the list. */
  takeAll(): Effect[] {
    const {items} = this;
    this.items = [];
    return items;
  }

  push(effect: Effect): void {
    this.items.push(effect);
  }

  refuse(requestId: RequestId, reason: RefusalReason): void {
    this.push({kind: 'refused', requestId, reason});
  }

  refuseAll(requestIds: readonly RequestId[], reason: RefusalReason): void {
    for (const requestId of requestIds) this.refuse(requestId, reason);
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
