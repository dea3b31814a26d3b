import {ORIGIN_POSITION} from '../../../position/common/position';
import type {PromotionDependencies} from '../../node/promotion_dependencies';
import type {LoggingGroup} from './logging_group';
import type {SimulatedAuthority} from './simulated_authority';
import {
  SERVICE,
  type Leadership,
  type SimulatedControl,
} from './simulated_control';

/** What the promotions of one leadership act on. */
export interface OrderContext {
  readonly group: LoggingGroup;
  readonly control: SimulatedControl;
  readonly authority: SimulatedAuthority;
  readonly failureReportsOf: PromotionDependencies['failureReportsOf'];
  /** A majority confirmed the leader, which acts on it next. */
  onDidConfirm(): void;
  /** A decision was proposed. */
  onDidDecide(successor: string): void;
  note(event: string): void;
}

/** Connects a promotion driver to the simulation, as its program would. */
export function makeOrderDependencies(
  leadership: Leadership,
  context: OrderContext,
): PromotionDependencies {
  const {group, control, authority, failureReportsOf, note} = context;
  const {instance, published, holders} = leadership;
  const {name: holder, machine} = instance;
  const clock = {now: () => Date.now()};
  const append = (sentence: string, fields: object = {}) => {
    note(`${holder}: ${sentence} ${JSON.stringify(fields)}`);
  };
  const log = {info: append, warn: append, error: append, debug: append};
  return {
    service: SERVICE,
    holder,
    clock,
    log,
    access: {
      authority: {
        prepare: () => {},
        promote: (request, isFresh, signal) => {
          return authority.promote(request, isFresh, signal, leadership);
        },
      },
      isFenced: authority.isFenced,
      clock,
    },
    members: () => group.all.map(({record}) => record),
    monitorOf: member => leadership.monitorOf(member),
    isUncertain: () => false,
    isStopped: () => false,
    baseline: () => machine.baselineOf(SERVICE),
    confirmations: () => 1,
    claimedPrimary: () => group.primary?.record,
    assignment: () => machine.assignmentOf(SERVICE),
    leadershipEndOf: epoch => control.leadershipEndOf(epoch),
    failureReportsOf,
    revokeLeases: () => published.revoke(SERVICE),
    isRevoked: () => {
      const epoch = published.epochOf(SERVICE);
      return (
        published.isRevoked(SERVICE) || holders.hasReturned(SERVICE, epoch)
      );
    },
    leaseHolders: () => {
      const epoch = published.epochOf(SERVICE);
      return holders.holdersOf(SERVICE, epoch, clock.now());
    },
    confirmLeadership: async () => {
      const isConfirmed = await control.confirm(leadership);
      if (isConfirmed) context.onDidConfirm();
      await leadership.pass(0);
      return isConfirmed;
    },
    assignPrimary: (successor, decision) => {
      const {isPending: ordered, isSingle: single, chosen} = decision;
      const {term, offset} = chosen?.end ?? ORIGIN_POSITION;
      const leadTerm = chosen?.leadTerm ?? 0;
      const end = {term, offset, leadTerm};
      const othersEnded = decision.haveOthersEnded;
      const requests = {ordered, othersEnded, single};
      const entry = {service: SERVICE, holder, instance: successor};
      const value = {...entry, ...requests, ...end};
      context.onDidDecide(successor);
      return control.propose(leadership, {$case: 'nameLead', value});
    },
    recordCopies: async (epoch, state) => {
      const value = {service: SERVICE, epoch, answered: state === 'answered'};
      const body = {$case: 'recordCopies', value} as const;
      return (await control.propose(leadership, body)).isOk;
    },
    completePromotion: async epoch => {
      const value = {service: SERVICE, epoch};
      const done = await control.propose(leadership, {
        $case: 'settleLead',
        value,
      });
      return done.isOk;
    },
    onDidPromote: successor => {
      const current = machine.assignmentOf(SERVICE);
      if (current?.instance === successor) published.publish(current);
    },
  };
}
