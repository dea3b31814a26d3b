// A stand-in for one replicated service of the users' platform: its members
// with their logs, and the call that promotes one of them.
import {Member} from './member.mjs';

/** A commit reaches a replica after this time. */
const NETWORK_MS = 2;
/** A replica applies what it received after this time. */
const APPLY_MS = 20;
/** A promotion takes effect this long after its call. */
const PROMOTE_MS = 300;
/** A commit that no replica receives in this time is answered TIMEOUT. */
const COMMIT_MS = 2_000;

/** One service: a primary and its replicas. */
export class Group {
  members = [];
  term = 1;
  lastToken = 0;
  /** Called with the member that leads and the old log when it takes effect. */
  onDidPromote = () => {};

  /**
   * @param service The name of the service.
   * @param record Called with each line of the record.
   */
  constructor(service, record) {
    this.service = service;
    this.record = record;
  }

  get primary() {
    return this.members.find(member => member.isPrimary && member.isUp);
  }

  member(id) {
    return this.members.find(member => member.id === id);
  }

  /** Adds a member that starts with the given log. */
  add(id, address, {isPrimary = false, log = []} = {}) {
    const member = new Member(this, id, address);
    member.isPrimary = isPrimary;
    member.log = [...log];
    member.appliedCount = log.length;
    this.members.push(member);
    return member;
  }

  /** Forgets a member that is gone for good. */
  remove(member) {
    this.members = this.members.filter(other => other !== member);
  }

  /** Whether a member receives what the primary commits. */
  receives(member) {
    const {primary} = this;
    const isReplica = primary !== undefined && member !== primary;
    return isReplica && member.isUp && !member.isPaused && !member.isDeaf;
  }

  /** Copies the primary's log to a replica, which rolls back what differs. */
  synchronize(member) {
    if (!this.receives(member)) return;
    const {log} = this.primary;
    member.log = [...log];
    member.term = this.term;
    setTimeout(() => member.apply(log.length), APPLY_MS);
  }

  /** Commits at the primary; calls back once one replica has received it. */
  commit(member, entries, onDidEnd) {
    const number = member.log.length + 1;
    member.log.push({term: this.term, number, entries});
    member.apply(number);
    let isOver = false;
    const end = isDone => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      onDidEnd(isDone);
    };
    const timer = setTimeout(() => end(false), COMMIT_MS);
    for (const replica of this.members) {
      if (!this.receives(replica)) continue;
      setTimeout(() => {
        if (this.primary !== member || !this.receives(replica)) return;
        if (replica.log.length < number) this.synchronize(replica);
        end(true);
      }, NETWORK_MS);
    }
  }

  /** Handles a call of POST /promote; returns the HTTP status. */
  promote(id, token, holder) {
    const member = this.member(id);
    const isAccepted = token >= this.lastToken && member?.isUp === true;
    const status = isAccepted ? 200 : 409;
    this.record(`platform: promote ${id} ${holder} ${token}: ${status}`);
    this.lastToken = Math.max(this.lastToken, token);
    if (!isAccepted || member === this.primary) return status;
    setTimeout(() => this.lead(member), PROMOTE_MS);
    return status;
  }

  /** The named member leads the next term with what it had received. */
  lead(member) {
    if (!member.isUp || member === this.primary) return;
    for (const other of this.members) {
      other.isPrimary = false;
      other.isPaused = false;
    }
    this.term++;
    member.isPrimary = true;
    member.term = this.term;
    this.record(
      `platform: ${member.id} leads term ${this.term} at ${member.received}`,
    );
    this.onDidPromote(member);
    const number = member.log.length + 1;
    member.log.push({term: this.term, number, entries: []});
    member.apply(number);
    for (const other of this.members) this.synchronize(other);
    for (const other of this.members) other.announce();
  }
}
