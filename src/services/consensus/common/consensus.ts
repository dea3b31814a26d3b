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
import {decideVote} from './vote';
import {EffectList} from './effect_list';
import {EntryLog} from './entry_log';
import {makeAppendRequest} from './append_request';
import {PendingRequests} from './pending_requests';
import {
  hasMajority,
  isSafeChange,
  isVoter,
  majorityValue,
  peersExcept,
} from './configuration';
import {PeerTable, type PeerProgress} from './progress';

/** A leader without a majority for this many election times steps down. */
export const LEADER_TIMEOUT_FACTOR = 2;

type Body = NonNullable<ConsensusMessage['body']>;

/**
 * The Raft state machine: leader election with pre-vote, log replication,
 * changes of voters, snapshots and confirmation of leadership.
 *
 * It does no I/O. The caller makes the entries of a step durable before it
 * sends the messages of the step, and reports that with a `synced` event.
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
  private nextHeartbeatAt = 0;
  private readonly pending = new PendingRequests();

  constructor(
    readonly id: string,
    persisted: PersistedState,
    readonly options: ConsensusOptions,
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

  /** Id of the current leader; '' if it is unknown. */
  get leader(): string {
    return this.currentLeader;
  }

  get commitIndex(): number {
    return this.commit;
  }

  get lastIndex(): number {
    return this.log.lastIndex;
  }

  /** The newest configuration in the log, whether committed or not. */
  get configuration(): Configuration {
    return this.log.configurationAt(this.log.lastIndex).value;
  }

  get isConfigurationCommitted(): boolean {
    return this.log.configurationAt(this.log.lastIndex).index <= this.commit;
  }

  /** The snapshot that the log starts with. */
  get baseSnapshot(): Snapshot {
    return this.log.snapshot;
  }

  get snapshotIndex(): number {
    return this.log.snapshot.index;
  }

  /** Whether this is a leader that has committed an entry of its own term. */
  get isLeaderReady(): boolean {
    return (
      this.currentRole === 'leader' &&
      this.log.termAt(this.commit) === this.term
    );
  }

  /** Makes a snapshot at the applied index with the state machine's bytes. */
  makeSnapshot(state: Buffer): Snapshot {
    const index = this.applied;
    return {
      index,
      term: this.log.termAt(index) ?? 0,
      configuration: this.log.configurationAt(index).value,
      state,
    };
  }

  /** Up to which index a peer's log is known to match; 0 if unknown. */
  matchIndexOf(id: string): number {
    if (id === this.id) return this.synced;
    return this.peers.get(id)?.matchIndex ?? 0;
  }

  /** Time since a peer last replied to this leader, in milliseconds. */
  silenceMsOf(id: string, now: number): number {
    return this.peers.silenceMsOf(id, now);
  }

  /** Handles one event; `now` is the time of a monotonic clock, in ms. */
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
        const {requestId, command: value} = event;
        return this.onPropose(requestId, {$case: 'command', value});
      }
      case 'changeConfiguration':
        return this.onChangeConfiguration(event.requestId, event.configuration);
      case 'confirm':
        return this.onConfirm(event.requestId);
      case 'synced':
        return this.onSynced(event.index, event.term);
      case 'compacted':
        return this.compactTo(event.snapshot);
    }
  }

  private onTick(): void {
    if (this.currentRole === 'leader') return this.leaderTick();
    if (!this.election.isDue(this.now)) return;
    this.election.resetTimer(this.now);
    // Whoever is redirected to a silent leader would find nobody there.
    this.currentLeader = '';
    if (isVoter(this.configuration, this.id)) this.startPreVote();
  }

  private leaderTick(): void {
    // An isolated leader steps down, so that operators and proxies do not wait
    // for it. Safety does not depend on this but on confirmations.
    if (!this.isFollowedByMajority()) return this.becomeFollower(this.term, '');
    if (this.now >= this.nextHeartbeatAt) this.startRound();
  }

  private isFollowedByMajority(): boolean {
    const minAt = this.now - this.options.electionMs * LEADER_TIMEOUT_FACTOR;
    const replied = this.peers.repliedSince(minAt).add(this.id);
    return hasMajority(this.configuration, replied);
  }

  private startPreVote(): void {
    // A retry keeps the pre-votes granted so far: a peer that is just starting
    // may reply only after the next request was sent.
    const isRetry = this.currentRole === 'candidate' && this.election.isPreVote;
    if (!isRetry) this.election.beginPreVote(this.id);
    this.becomeCandidate();
    if (this.election.isPreVoteWon(this.configuration)) return this.startVote();
    this.requestVotes(true, this.term + 1);
  }

  private startVote(): void {
    this.election.resetTimer(this.now);
    this.election.beginVote(this.id);
    this.becomeCandidate();
    this.term++;
    this.votedFor = this.id;
    this.saveHardState();
    if (this.election.isVoteWon(this.configuration)) return this.becomeLeader();
    this.requestVotes(false, this.term);
  }

  private becomeCandidate(): void {
    this.setRole('candidate');
    if (this.leaderHeardAt === -Infinity) this.election.retrySoon(this.now);
    this.currentLeader = '';
  }

  private requestVotes(pre: boolean, term: number): void {
    const {lastIndex, lastTerm} = this.log;
    const body: Body = {
      $case: 'voteRequest',
      value: {lastIndex, lastTerm, pre},
    };
    for (const peer of peersExcept(this.configuration.peers, this.id)) {
      if (isVoter(this.configuration, peer.id)) this.send(peer.id, body, term);
    }
  }

  private onVoteRequest(message: ConsensusMessage, request: VoteRequest): void {
    const hasLeader =
      this.currentRole === 'leader' ||
      this.now - this.leaderHeardAt < this.options.electionMs;
    if (!request.pre && !hasLeader && message.term > this.term) {
      this.becomeFollower(message.term, '');
    }
    const {granted, term} = decideVote(message, request, {
      term: this.term,
      votedFor: this.votedFor,
      hasLeader,
      isUpToDate: this.log.isUpToDate(request),
    });
    if (granted && request.pre) this.yieldTo(message.from);
    if (granted && !request.pre) {
      this.votedFor = message.from;
      this.saveHardState();
      this.election.resetTimer(this.now);
    }
    const value = {granted, pre: request.pre};
    this.send(message.from, {$case: 'voteReply', value}, term);
  }

  /**
   * Guard: after a common restart, instances that start an election together
   * would split the votes and wait for another one. Of two that request
   * pre-votes, only the one with the lower id continues.
   */
  private yieldTo(candidate: string): void {
    const isRival = this.currentRole === 'candidate' && this.election.isPreVote;
    if (isRival && candidate < this.id) this.becomeFollower(this.term, '');
  }

  private onVoteReply(message: ConsensusMessage, reply: VoteReply): void {
    if (this.currentRole !== 'candidate') return;
    if (reply.granted && reply.pre) return this.onPreVoteGranted(message);
    if (reply.granted) return this.onVoteGranted(message);
    const isAwaited = reply.pre === this.election.isPreVote;
    if (!isAwaited || message.term <= this.term) return;
    this.becomeFollower(message.term, '');
  }

  private onPreVoteGranted({from, term}: ConsensusMessage): void {
    if (!this.election.isPreVote || term !== this.term + 1) return;
    this.election.addPreVote(from);
    if (this.election.isPreVoteWon(this.configuration)) this.startVote();
  }

  private onVoteGranted({from, term}: ConsensusMessage): void {
    if (term !== this.term) return;
    this.election.addVote(from);
    if (this.election.isVoteWon(this.configuration)) this.becomeLeader();
  }

  private becomeLeader(): void {
    this.setRole('leader');
    this.currentLeader = this.id;
    this.peers.clear();
    for (const {id} of peersExcept(this.configuration.peers, this.id)) {
      this.peers.track(id, this.log.lastIndex + 1, this.now);
    }
    // Entries of earlier terms are only committed together with an entry of
    // this leader's term.
    this.appendNew({$case: 'noop', value: true});
    this.startRound();
  }

  private becomeFollower(term: number, leader: string): void {
    if (term > this.term) {
      this.term = term;
      this.votedFor = '';
      this.saveHardState();
    }
    this.currentLeader = leader;
    this.election.endVote();
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
    // Guard: messages to an id whose data directory was lost still arrive at
    // this address.
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

  private onAppendRequest(from: string, request: AppendRequest): void {
    if (request.previousIndex < this.log.snapshot.index) {
      return this.sendAppendReply(from, true, this.commit, request.round);
    }
    if (this.log.termAt(request.previousIndex) !== request.previousTerm) {
      const hint = Math.min(this.log.lastIndex, request.previousIndex - 1);
      const retry = Math.max(hint, this.commit);
      return this.sendAppendReply(from, false, retry, request.round);
    }
    this.appendReceived(request.entries);
    const match = request.previousIndex + request.entries.length;
    this.advanceCommit(Math.min(request.commitIndex, match));
    this.sendAppendReply(from, true, match, request.round);
  }

  private appendReceived(entries: readonly LogEntry[]): void {
    const firstNew = entries.findIndex(entry => {
      return this.log.termAt(entry.index) !== entry.term;
    });
    if (firstNew < 0) return;
    const added = entries.slice(firstNew);
    const first = added[0]!.index;
    if (first <= this.log.lastIndex) {
      if (first <= this.commit) {
        throw new Error(`entry ${first} conflicts with a committed entry`);
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

  private onSnapshotRequest(from: string, request: SnapshotRequest): void {
    const snapshot = request.snapshot;
    if (!snapshot) return;
    if (snapshot.index <= this.commit) {
      return this.sendAppendReply(from, true, this.commit, request.round);
    }
    this.compactTo(snapshot);
    this.commit = snapshot.index;
    this.applied = snapshot.index;
    this.synced = this.log.lastIndex;
    this.sendAppendReply(from, true, snapshot.index, request.round);
  }

  private onAppendReply(message: ConsensusMessage, reply: AppendReply): void {
    if (this.currentRole !== 'leader' || message.term !== this.term) return;
    const peer = this.peers.get(message.from);
    if (!peer) return;
    peer.lastReplyAt = this.now;
    peer.round = Math.max(peer.round, reply.round);
    if (reply.success) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex);
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    } else {
      peer.nextIndex = Math.max(reply.matchIndex, peer.matchIndex) + 1;
    }
    this.commitByMajority();
    this.completeConfirmations();
    if (peer.nextIndex <= this.log.lastIndex) this.replicateTo(message.from);
  }

  private onPropose(
    requestId: RequestId,
    payload: NonNullable<LogEntry['payload']>,
  ): void {
    if (this.currentRole !== 'leader') {
      return this.effects.refuse(requestId, 'not leader');
    }
    const index = this.appendNew(payload);
    this.pending.addProposal({requestId, index, term: this.term});
    this.replicateToAll();
  }

  private onChangeConfiguration(request: RequestId, next: Configuration): void {
    if (!this.isLeaderReady) return this.effects.refuse(request, 'not leader');
    // A second uncommitted change could result in two majorities that do not
    // overlap.
    const isSafe = isSafeChange(this.configuration, next);
    if (!this.isConfigurationCommitted || !isSafe) {
      return this.effects.refuse(request, 'change in progress');
    }
    this.peers.retain(new Set(next.peers.map(({id}) => id)));
    this.onPropose(request, {$case: 'configuration', value: next});
    for (const {id} of peersExcept(this.configuration.peers, this.id)) {
      this.peers.track(id, this.log.lastIndex + 1, this.now);
    }
  }

  private onConfirm(request: RequestId): void {
    if (!this.isLeaderReady) return this.effects.refuse(request, 'not leader');
    const isFirst = !this.pending.hasConfirmations;
    const round = this.round + 1;
    this.pending.addConfirmation({
      requestId: request,
      round,
      index: this.commit,
    });
    if (isFirst) this.startRound();
  }

  private startRound(): void {
    this.round++;
    this.nextHeartbeatAt = this.now + this.options.heartbeatMs;
    this.replicateToAll();
    this.completeConfirmations();
  }

  private completeConfirmations(): void {
    if (!this.pending.hasConfirmations) return;
    const confirmedRound = majorityValue(this.configuration, id => {
      return id === this.id ? this.round : (this.peers.get(id)?.round ?? 0);
    });
    const due = this.pending.takeConfirmations(confirmedRound);
    for (const {requestId, index} of due) {
      this.effects.push({kind: 'confirmed', requestId, index});
    }
    if (due.length > 0 && this.pending.hasConfirmations) this.startRound();
  }

  private appendNew(payload: NonNullable<LogEntry['payload']>): number {
    const index = this.log.lastIndex + 1;
    const entry: LogEntry = {index, term: this.term, payload};
    this.log.append([entry]);
    this.effects.push({kind: 'append', entries: [entry]});
    return index;
  }

  private replicateToAll(): void {
    const others = peersExcept(this.configuration.peers, this.id);
    for (const {id} of others) this.replicateTo(id);
  }

  private replicateTo(id: string): void {
    const peer = this.peers.get(id);
    if (!peer) return;
    const value = makeAppendRequest(this.log, peer, this.commit, this.round);
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
    // The reported entry may have been replaced during the sync.
    if (this.log.termAt(index) !== term) return;
    this.synced = Math.max(this.synced, index);
    if (this.currentRole === 'leader') this.commitByMajority();
  }

  private commitByMajority(): void {
    const index = majorityValue(this.configuration, id => {
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
      this.completeProposal(entry);
    }
    if (this.currentRole === 'leader') this.stepDownIfRemoved();
  }

  private completeProposal({index, term}: LogEntry): void {
    const proposal = this.pending.takeProposal(index);
    if (!proposal) return;
    const {requestId} = proposal;
    if (proposal.term === term) {
      this.effects.push({kind: 'committed', requestId, index});
    } else {
      this.effects.refuse(requestId, 'leadership lost');
    }
  }

  private stepDownIfRemoved(): void {
    const isRemoved =
      this.isConfigurationCommitted && !isVoter(this.configuration, this.id);
    if (isRemoved) this.becomeFollower(this.term, '');
  }

  /** Replaces the entries that a snapshot covers, in memory and on disk. */
  private compactTo(snapshot: Snapshot): void {
    this.log.compact(snapshot);
    const remaining = this.log.entriesFrom(snapshot.index + 1, Infinity);
    this.effects.push({kind: 'installSnapshot', snapshot, remaining});
  }

  private saveHardState(): void {
    const {term, votedFor} = this;
    this.effects.saveHardState({term, votedFor});
  }

  private send(to: string, body: Body, term = this.term): void {
    this.effects.send(to, body, term);
  }
}
