import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
import type {Log} from '../../../base/node/log';
import type {Configuration} from '../../../schema/generated/consensus';
import type {ConsensusNode} from '../../consensus/node/consensus_node';
import {planElasticMembership} from '../common/elastic_membership_plan';
import type {Joiner} from '../common/membership_plan';
import {GroupChangeLog} from './group_change_log';

/** The dependencies of `GroupMembership`. */
export interface GroupMembershipDependencies {
  /** Number of voters that the control group should have. */
  readonly desiredVoterCount: number;
  /** Silence after which a voter is replaced, in milliseconds. */
  readonly replaceSilentAfterMs: number;
  readonly node: ConsensusNode;
  readonly clock: Clock;
  readonly log: Log;
}

/** Covers the time from the last request of an instance to its last reply. */
const LEAVE_REQUEST_MARGIN_MS = 1_000;

/** Changes the members of the control group while this instance leads. */
export class GroupMembership {
  private readonly joiners = new Map<string, Joiner>();
  /** When each instance that stops last said so. */
  private readonly leaveRequestedAt = new Map<string, number>();
  private readonly changes: GroupChangeLog;
  private isChanging = false;

  constructor(private readonly dependencies: GroupMembershipDependencies) {
    this.changes = new GroupChangeLog(dependencies.clock, dependencies.log);
  }

  /** Whether the group has as many voters as it should have. */
  get hasEnoughVoters(): boolean {
    const {node, desiredVoterCount} = this.dependencies;
    const {peers} = node.core.configuration;
    return peers.filter(({voter}) => voter).length >= desiredVoterCount;
  }

  /** Handles the request of an instance to join; it repeats the request. */
  onJoin(joiner: Joiner): void {
    this.leaveRequestedAt.delete(joiner.id);
    this.joiners.set(joiner.id, joiner);
    this.reconcile();
  }

  /** Handles the request of a peer that stops. */
  onLeave(id: string): void {
    const {peers} = this.dependencies.node.core.configuration;
    if (!peers.some(peer => peer.id === id)) return;
    this.leaveRequestedAt.set(id, this.dependencies.clock.now());
    this.reconcile();
  }

  onDidChangeRole(): void {
    this.joiners.clear();
    this.leaveRequestedAt.clear();
  }

  /** Begins the next change that the group needs, if any. */
  reconcile(): void {
    const {core, isLeading} = this.dependencies.node;
    if (!isLeading || this.isChanging || !core.isConfigurationCommitted) return;
    const next = this.planNext();
    if (next) detach('change of the group', this.change(next));
  }

  private planNext(): Configuration | undefined {
    const {node, clock, desiredVoterCount, replaceSilentAfterMs} =
      this.dependencies;
    const {core} = node;
    const now = clock.now();
    // An instance that still wants to join retries. A kept request of one that
    // is gone would bring its lost data folder back instead of the new one.
    const joiners = [...this.joiners.values()];
    this.joiners.clear();
    return planElasticMembership({
      configuration: core.configuration,
      joiners,
      desiredVoterCount,
      replaceSilentAfterMs,
      commitIndex: core.commitIndex,
      matchIndexOf: id => core.matchIndexOf(id),
      silentMsOf: id => core.silenceMsOf(id, now),
      isLeaving: id => this.isLeaving(id, now),
    });
  }

  private isLeaving(id: string, now: number): boolean {
    const requestedAt = this.leaveRequestedAt.get(id) ?? -Infinity;
    // Guard: until its silence tells, an instance that stopped seems to be up,
    // and would get the vote of the next one that stops.
    const validMs =
      this.dependencies.replaceSilentAfterMs + LEAVE_REQUEST_MARGIN_MS;
    if (now - requestedAt < validMs) return true;
    this.leaveRequestedAt.delete(id);
    return false;
  }

  private async change(next: Configuration): Promise<void> {
    const {node, clock} = this.dependencies;
    const {core} = node;
    this.isChanging = true;
    const end = this.changes.begin({
      before: core.configuration,
      after: next,
      term: core.currentTerm,
      silenceMsOf: id => core.silenceMsOf(id, clock.now()),
    });
    const changed = await node.changeConfiguration(next);
    this.isChanging = false;
    end(changed);
    // The successor's time is bounded, so the next step does not wait.
    if (changed.isOk) this.reconcile();
  }
}
