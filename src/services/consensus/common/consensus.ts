import type {SeededRandom} from '../../../base/common/random';
import type {
  AppendReply,
  AppendRequest,
  Configuration,
  ConsensusMessage,
  LogEntry,
  Snapshot,
  SnapshotRequest,
  VoteReply,
  VoteRequest,
} from '../../../schema/generated/consensus';
import type {
  ConsensusEvent,
  ConsensusOptions,
  ConsensusRole,
  Effect,
  PersistedState,
  RequestId,
} from './consensus_types';
import {Election} from './election';
import {judgeVote} from './vote';
import {EffectList} from './effect_list';
import {EntryLog} from './entry_log';
import {nextAppend} from './next_append';
import {PendingRequests} from './pending_requests';
import {
  hasMajority,
  isSingleChange,
  isVoter,
  majorityValue,
  othersThan,
  PeerTable,
  type PeerProgress,
} from './progress';

/** A leader that hears no majority for this many election times steps down. */
const LEADER_PATIENCE = 2;

type Body = NonNullable<ConsensusMessage['body']>;

/**
 * The replicated log: leader election with pre-vote, replication, single
 * changes of configuration, snapshots and confirmation by a majority.
 *
 * Pure: events in, effects out. The caller makes saved effects durable before
 * it sends a message, and reports that with `synced`.
 */
export class Consensus {
  private readonly log: EntryLog;
  private term: number;
  private votedFor: string;
  private currentRole: ConsensusRole = 'follower';
  private currentLeader = '';
  private commit: number;
  private applied: number;
  private synced: number;
  private readonly effects: EffectList;
  private now = 0;

  private leaderHeardAt = -Infinity;
  private readonly election: Election;

  private readonly peers = new PeerTable();
  private round = 0;
  private nextHeartbeat = 0;
  private readonly pending = new PendingRequests();

  constructor(
    readonly id: string,
    persisted: PersistedState,
    private readonly options: ConsensusOptions,
    random: SeededRandom,
  ) {
    this.effects = new EffectList(id);
    this.election = new Election(options.electionMs, random);
    this.log = new EntryLog(persisted.snapshot, persisted.entries);
    this.term = persisted.hardState.term;
    this.votedFor = persisted.hardState.votedFor;
    this.commit = persisted.snapshot.index;
    this.applied = persisted.snapshot.index;
    this.synced = this.log.lastIndex;
  }

  get role(): ConsensusRole {
    return this.currentRole;
  }

  get currentTerm(): number {
    return this.term;
  }

  /** The id of the leader that this instance follows, or ''. */
  get leader(): string {
    return this.currentLeader;
  }

  get commitIndex(): number {
    return this.commit;
  }

  get lastIndex(): number {
    return this.log.lastIndex;
  }

  /** The configuration in use: the newest in the log, committed or not. */
  get configuration(): Configuration {
    return this.log.configurationAt(this.log.lastIndex).value;
  }

  get isConfigurationCommitted(): boolean {
    return this.log.configurationAt(this.log.lastIndex).index <= this.commit;
  }

  /** The snapshot that the log begins with. */
  get baseSnapshot(): Snapshot {
    return this.log.snapshot;
  }

  get snapshotIndex(): number {
    return this.log.snapshot.index;
  }

  /** Whether a leader knows the state to be complete for its term. */
  get isLeaderReady(): boolean {
    return (
      this.currentRole === 'leader' &&
      this.log.termAt(this.commit) === this.term
    );
  }

  /** A snapshot of all that was applied, around the state machine's bytes. */
  makeSnapshot(state: Buffer): Snapshot {
    const index = this.applied;
    return {
      index,
      term: this.log.termAt(index) ?? 0,
      configuration: this.log.configurationAt(index).value,
      state,
    };
  }

  /** How far a peer's log is known to match, 0 when unknown. */
  matchIndexOf(id: string): number {
    if (id === this.id) return this.synced;
    return this.peers.get(id)?.matchIndex ?? 0;
  }

  /** For how long a leader has not heard a peer, in milliseconds. */
  silenceMsOf(id: string, now: number): number {
    return this.peers.silenceOf(id, now);
  }

  /** Takes one event at a time of the monotonic clock, in milliseconds. */
  step(event: ConsensusEvent, now: number): Effect[] {
    if (!this.election.isStarted) this.election.start(now);
    this.now = now;
    this.handle(event);
    return this.effects.takeAll();
  }

  private handle(event: ConsensusEvent): void {
    switch (event.kind) {
      case 'tick':
        return this.onTick();
      case 'message':
        return this.onMessage(event.message);
      case 'propose': {
        const {ticket, command: value} = event;
        return this.onPropose(ticket, {$case: 'command', value});
      }
      case 'changeConfiguration':
        return this.onChangeConfiguration(event.ticket, event.configuration);
      case 'confirm':
        return this.onConfirm(event.ticket);
      case 'synced':
        return this.onSynced(event.index, event.term);
      case 'compacted':
        return this.onCompacted(event.snapshot);
    }
  }

  private onTick(): void {
    if (this.currentRole === 'leader') return this.leaderTick();
    if (!this.election.isDue(this.now)) return;
    this.election.resetTimer(this.now);
    if (isVoter(this.configuration.peers, this.id)) this.startElection(true);
  }

  private leaderTick(): void {
    // An isolated leader must not go on believing in itself: operators and
    // proxies would wait on it. Confirmations guard safety; this frees them.
    if (!this.hearsMajority()) return this.becomeFollower(this.term, '');
    if (this.now >= this.nextHeartbeat) this.startRound();
  }

  private hearsMajority(): boolean {
    const limit = this.now - this.options.electionMs * LEADER_PATIENCE;
    const heard = this.peers.heardSince(limit).add(this.id);
    return hasMajority(this.configuration.peers, heard);
  }

  private startElection(pre: boolean): void {
    // Votes under way go on to count: a peer that is just starting answers
    // later than the next question goes out.
    const repeats = pre && this.currentRole === 'candidate';
    if (!repeats || !this.election.isPre) this.election.begin(pre, this.id);
    this.setRole('candidate');
    if (this.leaderHeardAt === -Infinity) this.election.repeatSoon(this.now);
    this.currentLeader = '';
    if (!pre) {
      this.term++;
      this.votedFor = this.id;
      this.saveHardState();
    }
    if (hasMajority(this.configuration.peers, this.election.votes)) {
      return this.winElection();
    }
    const {lastIndex, lastTerm} = this.log;
    const body: Body = {
      $case: 'voteRequest',
      value: {lastIndex, lastTerm, pre},
    };
    const term = pre ? this.term + 1 : this.term;
    for (const peer of othersThan(this.configuration.peers, this.id)) {
      if (peer.voter) this.send(peer.id, body, term);
    }
  }

  private winElection(): void {
    if (!this.election.isPre) return this.becomeLeader();
    this.election.resetTimer(this.now);
    this.startElection(false);
  }

  private onVoteRequest(message: ConsensusMessage, ask: VoteRequest): void {
    const isSticky =
      this.currentRole === 'leader' ||
      this.now - this.leaderHeardAt < this.options.electionMs;
    if (!ask.pre && !isSticky && message.term > this.term) {
      this.becomeFollower(message.term, '');
    }
    const {granted, term} = judgeVote(message, ask, {
      term: this.term,
      votedFor: this.votedFor,
      isSticky,
      isCovered: this.log.isCoveredBy(ask),
    });
    if (granted && ask.pre) this.yieldTo(message.from);
    else if (granted) this.voteFor(message.from);
    this.sendVote(message.from, granted, ask.pre, term);
  }

  private voteFor(candidate: string): void {
    this.votedFor = candidate;
    this.saveHardState();
    this.election.resetTimer(this.now);
  }

  /**
   * Guard against split votes: after a common restart instances stand at the
   * same moment, each votes for itself, and all wait for another election. Of
   * two that still ask for pre-votes the one with the lower id goes on.
   */
  private yieldTo(candidate: string): void {
    const asksToo = this.currentRole === 'candidate' && this.election.isPre;
    if (asksToo && candidate < this.id) this.becomeFollower(this.term, '');
  }

  private sendVote(
    to: string,
    granted: boolean,
    pre: boolean,
    term: number,
  ): void {
    this.send(to, {$case: 'voteReply', value: {granted, pre}}, term);
  }

  private onVoteReply(message: ConsensusMessage, reply: VoteReply): void {
    if (this.currentRole !== 'candidate') return;
    if (reply.pre !== this.election.isPre) return;
    if (!reply.granted) {
      if (message.term > this.term) this.becomeFollower(message.term, '');
      return;
    }
    const expected = reply.pre ? this.term + 1 : this.term;
    if (message.term !== expected) return;
    this.election.addVote(message.from);
    if (hasMajority(this.configuration.peers, this.election.votes)) {
      this.winElection();
    }
  }

  private becomeLeader(): void {
    this.setRole('leader');
    this.currentLeader = this.id;
    this.peers.clear();
    for (const {id} of othersThan(this.configuration.peers, this.id)) {
      this.peers.track(id, this.log.lastIndex + 1, this.now);
    }
    // Entries of earlier terms count as committed only below an entry of
    // this leader's own term.
    this.appendOwn({$case: 'noop', value: true});
    this.startRound();
  }

  private becomeFollower(term: number, leader: string): void {
    if (term > this.term) {
      this.term = term;
      this.votedFor = '';
      this.saveHardState();
    }
    this.currentLeader = leader;
    if (this.currentRole === 'leader') {
      this.effects.refuseAll(this.pending.takeAll(), 'leadership lost');
    }
    if (this.currentRole !== 'follower') this.election.resetTimer(this.now);
    this.setRole('follower');
  }

  private setRole(role: ConsensusRole): void {
    if (role === this.role) return;
    this.currentRole = role;
    this.effects.push({kind: 'roleChanged', role});
  }

  private onMessage(message: ConsensusMessage): void {
    const body = message.body;
    // Guard against answering for a lost folder's id at the same address.
    if (!body || message.to !== this.id) return;
    if (body.$case === 'voteRequest') {
      return this.onVoteRequest(message, body.value);
    }
    if (body.$case === 'voteReply') {
      return this.onVoteReply(message, body.value);
    }
    if (message.term > this.term) this.becomeFollower(message.term, '');
    if (body.$case === 'appendReply') {
      return this.onAppendReply(message, body.value);
    }
    if (message.term < this.term) {
      return this.sendAppendReply(message.from, false, 0, 0);
    }
    this.becomeFollower(message.term, message.from);
    this.leaderHeardAt = this.now;
    this.election.resetTimer(this.now);
    if (body.$case === 'appendRequest') {
      return this.onAppendRequest(message.from, body.value);
    }
    this.onSnapshotRequest(message.from, body.value);
  }

  private onAppendRequest(from: string, ask: AppendRequest): void {
    if (ask.previousIndex < this.log.snapshot.index) {
      return this.sendAppendReply(from, true, this.commit, ask.round);
    }
    if (this.log.termAt(ask.previousIndex) !== ask.previousTerm) {
      const hint = Math.min(this.log.lastIndex, ask.previousIndex - 1);
      const retry = Math.max(hint, this.commit);
      return this.sendAppendReply(from, false, retry, ask.round);
    }
    this.takeEntries(ask.entries);
    const match = ask.previousIndex + ask.entries.length;
    this.advanceCommit(Math.min(ask.commitIndex, match));
    this.sendAppendReply(from, true, match, ask.round);
  }

  private takeEntries(entries: readonly LogEntry[]): void {
    const fresh = entries.findIndex(entry => {
      return this.log.termAt(entry.index) !== entry.term;
    });
    if (fresh < 0) return;
    const added = entries.slice(fresh);
    const first = added[0]!.index;
    if (first <= this.log.lastIndex) {
      if (first <= this.commit) {
        throw new Error(`entry ${first} conflicts with a committed one`);
      }
      this.log.truncateFrom(first);
      this.synced = Math.min(this.synced, first - 1);
      this.effects.push({kind: 'truncate', from: first});
    }
    this.log.append(added);
    this.effects.push({kind: 'append', entries: added});
  }

  private sendAppendReply(
    to: string,
    success: boolean,
    matchIndex: number,
    round: number,
  ): void {
    this.send(to, {$case: 'appendReply', value: {success, matchIndex, round}});
  }

  private onSnapshotRequest(from: string, ask: SnapshotRequest): void {
    const snapshot = ask.snapshot;
    if (!snapshot) return;
    if (snapshot.index <= this.commit) {
      return this.sendAppendReply(from, true, this.commit, ask.round);
    }
    this.log.compact(snapshot);
    this.commit = snapshot.index;
    this.applied = snapshot.index;
    this.synced = this.log.lastIndex;
    this.saveSnapshot(snapshot);
    this.sendAppendReply(from, true, snapshot.index, ask.round);
  }

  private onAppendReply(message: ConsensusMessage, reply: AppendReply): void {
    if (this.currentRole !== 'leader' || message.term !== this.term) return;
    const peer = this.peers.get(message.from);
    if (!peer) return;
    peer.heardAt = this.now;
    peer.round = Math.max(peer.round, reply.round);
    if (reply.success) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex);
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    } else {
      peer.nextIndex = Math.max(reply.matchIndex, peer.matchIndex) + 1;
    }
    this.commitByMajority();
    this.settleConfirmations();
    if (peer.nextIndex <= this.log.lastIndex) this.replicateTo(message.from);
  }

  private onPropose(
    ticket: RequestId,
    payload: NonNullable<LogEntry['payload']>,
  ): void {
    if (this.currentRole !== 'leader') {
      return this.effects.refuse(ticket, 'not leader');
    }
    const index = this.appendOwn(payload);
    this.pending.addProposal({ticket, index, term: this.term});
    this.replicateToAll();
  }

  private onChangeConfiguration(ticket: RequestId, next: Configuration): void {
    if (!this.isLeaderReady) return this.effects.refuse(ticket, 'not leader');
    // A second change before the first is committed, or one that moves two
    // voters, could give two majorities that do not meet.
    const single = isSingleChange(this.configuration.peers, next.peers);
    if (!this.isConfigurationCommitted || !single) {
      return this.effects.refuse(ticket, 'change in progress');
    }
    this.onPropose(ticket, {$case: 'configuration', value: next});
    for (const {id} of othersThan(this.configuration.peers, this.id)) {
      this.peers.track(id, this.log.lastIndex + 1, this.now);
    }
  }

  private onConfirm(ticket: RequestId): void {
    if (!this.isLeaderReady) return this.effects.refuse(ticket, 'not leader');
    const isFirst = !this.pending.hasConfirmations;
    const round = this.round + 1;
    this.pending.addConfirmation({ticket, round, index: this.commit});
    if (isFirst) this.startRound();
  }

  private startRound(): void {
    this.round++;
    this.nextHeartbeat = this.now + this.options.heartbeatMs;
    this.replicateToAll();
    this.settleConfirmations();
  }

  private settleConfirmations(): void {
    if (!this.pending.hasConfirmations) return;
    const reached = majorityValue(this.configuration.peers, id => {
      return id === this.id ? this.round : (this.peers.get(id)?.round ?? 0);
    });
    const due = this.pending.takeConfirmations(reached);
    for (const {ticket, index} of due) {
      this.effects.push({kind: 'confirmed', ticket, index});
    }
    if (due.length > 0 && this.pending.hasConfirmations) this.startRound();
  }

  private appendOwn(payload: NonNullable<LogEntry['payload']>): number {
    const index = this.log.lastIndex + 1;
    const entry: LogEntry = {index, term: this.term, payload};
    this.log.append([entry]);
    this.effects.push({kind: 'append', entries: [entry]});
    return index;
  }

  private replicateToAll(): void {
    const others = othersThan(this.configuration.peers, this.id);
    for (const {id} of others) this.replicateTo(id);
  }

  private replicateTo(id: string): void {
    const peer = this.peers.get(id);
    if (!peer) return;
    const value = nextAppend(this.log, peer, this.commit, this.round);
    if (!value) return this.sendSnapshot(id, peer);
    this.send(id, {$case: 'appendRequest', value});
    peer.nextIndex += value.entries.length;
  }

  private sendSnapshot(id: string, peer: PeerProgress): void {
    if (this.now - peer.snapshotSentAt < this.options.heartbeatMs) return;
    peer.snapshotSentAt = this.now;
    const value = {snapshot: this.log.snapshot, round: this.round};
    this.send(id, {$case: 'snapshotRequest', value});
  }

  private onSynced(index: number, term: number): void {
    // Entries that were replaced while the disk was busy are not the ones
    // that it reports.
    if (this.log.termAt(index) !== term) return;
    this.synced = Math.max(this.synced, index);
    if (this.currentRole === 'leader') this.commitByMajority();
  }

  private commitByMajority(): void {
    const index = majorityValue(this.configuration.peers, id => {
      return this.matchIndexOf(id);
    });
    if (this.log.termAt(index) === this.term) this.advanceCommit(index);
  }

  private advanceCommit(index: number): void {
    if (index <= this.commit) return;
    this.commit = index;
    while (this.applied < this.commit) {
      this.applied++;
      const entry = this.log.entryAt(this.applied)!;
      this.effects.push({kind: 'apply', entry});
      this.answerProposal(entry);
    }
    if (this.currentRole === 'leader') this.afterCommit();
  }

  private answerProposal({index, term}: LogEntry): void {
    const proposal = this.pending.takeProposal(index);
    if (!proposal) return;
    const {ticket} = proposal;
    if (proposal.term === term) {
      this.effects.push({kind: 'committed', ticket, index});
    } else {
      this.effects.refuse(ticket, 'leadership lost');
    }
  }

  private afterCommit(): void {
    const removed =
      this.isConfigurationCommitted &&
      !isVoter(this.configuration.peers, this.id);
    if (removed) this.becomeFollower(this.term, '');
  }

  private onCompacted(snapshot: Snapshot): void {
    this.log.compact(snapshot);
    this.saveSnapshot(snapshot);
  }

  private saveSnapshot(snapshot: Snapshot): void {
    const kept = this.log.from(snapshot.index + 1, Infinity);
    this.effects.push({kind: 'installSnapshot', snapshot, kept});
  }

  private saveHardState(): void {
    const {term, votedFor} = this;
    this.effects.saveHardState({term, votedFor});
  }

  private send(to: string, body: Body, term = this.term): void {
    this.effects.send(to, body, term);
  }
}
