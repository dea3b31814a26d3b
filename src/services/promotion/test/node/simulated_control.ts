import type {SeededRandom} from '../../../../base/common/random';
import {err, ok, type Result} from '../../../../base/common/result';
import {createAbortController} from '../../../../base/node/timers';
import type {FleetCommand, Member} from '../../../../schema/generated/fleet';
import {encodeCommand} from '../../../fleet_state/common/fleet_command';
import {FleetStateMachine} from '../../../fleet_state/common/fleet_state_machine';
import {LeaseHolders} from '../../../lease/common/lease_holders';
import {PublishedPrimaries} from '../../../lease/common/published_primaries';
import type {
  TargetConnector,
  TargetLink,
} from '../../../target_link/common/target_link';
import {MemberMonitor} from '../../node/member_monitor';
import type {LoggingGroup} from './logging_group';
import type {RequestSender} from './simulated_authority';
import {delay} from './virtual_time';

/** The service whose promotions are simulated. */
export const SERVICE = 'books';
/** A leader that is cut off gives up its requests after this time. */
const GIVE_UP_MS = 700;
const LINK_DELAY_MS = 5;
const REPLY_TIMEOUT_MS = 600;

const CLOSED = {kind: 'lost', reason: 'closed'} as const;

interface CommittedEntry {
  readonly command: Buffer;
  readonly committedAt: number;
}

/** A control instance, which may be suspended and may lead several times. */
export class ControlInstance {
  machine = new FleetStateMachine();
  appliedIndex = 0;
  suspendedUntil = 0;

  constructor(readonly name: string) {}

  /** A process that starts again applies the log from its beginning. */
  restart(): void {
    this.machine = new FleetStateMachine();
    this.appliedIndex = 0;
  }

  get isSuspended(): boolean {
    return Date.now() < this.suspendedUntil;
  }
}

/** One leadership of a control instance. */
export class Leadership implements RequestSender {
  readonly stop = createAbortController();
  readonly published = new PublishedPrimaries();
  readonly holders = new LeaseHolders(Date.now());
  isKilled = false;
  /** Whether its state machine holds all that was committed before it. */
  isReady = false;
  /** How long the network holds commands that let replicas receive. */
  resumeDelayMs = 0;
  private readonly monitors = new Map<string, MemberMonitor>();

  constructor(
    readonly instance: ControlInstance,
    private readonly group: LoggingGroup,
  ) {}

  get isRunning(): boolean {
    return !this.stop.signal.aborted && !this.instance.isSuspended;
  }

  async pass(milliseconds: number): Promise<void> {
    if (milliseconds > 0) await delay(milliseconds);
    while (this.instance.isSuspended) {
      await delay(this.instance.suspendedUntil - Date.now());
    }
  }

  suspendFor(milliseconds: number): void {
    const until = Date.now() + milliseconds;
    this.instance.suspendedUntil = Math.max(
      this.instance.suspendedUntil,
      until,
    );
  }

  monitorOf(member: Member): MemberMonitor {
    const known = this.monitors.get(member.instance);
    if (known) return known;
    const clock = {now: () => Date.now()};
    const {group, stop} = this;
    const connector = this.makeConnector();
    const monitor = new MemberMonitor(
      member,
      connector,
      group,
      clock,
      stop.signal,
    );
    this.monitors.set(member.instance, monitor);
    return monitor;
  }

  /** Connections that carry nothing while this instance is suspended. */
  private makeConnector(): TargetConnector {
    return {
      connect: async target => {
        await this.pass(LINK_DELAY_MS);
        const connected = await this.group.connect(target);
        return connected.map(link => this.delayLink(link));
      },
    };
  }

  private delayLink(link: TargetLink): TargetLink {
    let unansweredCount = 0;
    const send: TargetLink['send'] = calls => {
      return calls.map(async call => {
        // What was sent before a suspension arrives during it.
        await this.pass(0);
        if (this.isKilled) return CLOSED;
        unansweredCount++;
        const isHeld = call.statement.kind === 'resume';
        await delay(LINK_DELAY_MS + (isHeld ? this.resumeDelayMs : 0));
        if (link.isClosed) return CLOSED;
        const [reply] = link.send([call]);
        const received = await reply!;
        unansweredCount--;
        await this.pass(LINK_DELAY_MS);
        return received;
      });
    };
    return {
      isClosed: false,
      positionAtOpen: link.positionAtOpen,
      send,
      onDidClose: listener => link.onDidClose(listener),
      // The timers of a suspended leader expire when it goes on; those of
      // commands that it sends then begin then.
      close: () => {
        if (!this.instance.isSuspended) return link.close();
        const remainingMs = unansweredCount > 0 ? 0 : REPLY_TIMEOUT_MS;
        void this.pass(0)
          .then(() => delay(remainingMs))
          .then(() => unansweredCount > 0 && link.close());
      },
    };
  }
}

/** Three control instances with one log, of which one leads at a time. */
export class SimulatedControl {
  readonly instances = ['c1', 'c2', 'c3'].map(name => {
    return new ControlInstance(name);
  });
  /** The leader that a majority confirms. */
  current: Leadership | undefined;
  private readonly log: CommittedEntry[] = [];
  private lostAt = 0;
  private readonly elections: {index: number; at: number}[] = [];
  private lastLost: ControlInstance | undefined;

  constructor(
    private readonly group: LoggingGroup,
    private readonly random: SeededRandom,
    private readonly onDidElect: (leadership: Leadership) => void,
  ) {
    for (const {record} of group.all) this.admit(record);
  }

  /** Records a member in the log. */
  admit(member: Member): void {
    this.append(encodeCommand({$case: 'admit', value: {member}}));
  }

  /** Ends the leadership; its instance may act on for a time. */
  lose(kind: 'kill' | 'suspend' | 'isolate', actsOnMs: number): void {
    const lost = this.current;
    if (!lost) return;
    this.current = undefined;
    this.lastLost = lost.instance;
    this.lostAt = Date.now();
    lost.isKilled = kind === 'kill';
    if (kind === 'kill') {
      lost.instance.restart();
      return lost.stop.abort();
    }
    if (kind === 'suspend') lost.suspendFor(actsOnMs);
    // A suspended leader acts on until it hears of the next one.
    const hearsMs = kind === 'suspend' ? this.random.integer(5, 150) : 0;
    setTimeout(() => lost.stop.abort(), actsOnMs + hearsMs);
  }

  /**
   * Elects an instance.
   *
   * @param applyDelayMs For how long it has not applied the newest entries.
   */
  elect(instance: ControlInstance, applyDelayMs = 0): void {
    const unseenMs = applyDelayMs > 0 ? 100 : 0;
    const isRestarted =
      instance === this.lastLost && instance.appliedIndex === 0;
    const seen = this.log.filter(({committedAt}) => {
      return !isRestarted && committedAt <= this.lostAt - unseenMs;
    });
    const leadership = new Leadership(instance, this.group);
    const index = this.append(encodeCommand(NOTHING));
    this.elections.push({index, at: Date.now()});
    const applyAll = () => {
      this.apply(leadership, index);
      leadership.isReady = true;
    };
    if (applyDelayMs > 0) {
      this.apply(leadership, seen.length);
      setTimeout(applyAll, applyDelayMs);
    } else {
      applyAll();
    }
    this.current = leadership;
    this.onDidElect(leadership);
  }

  /** Elects an instance that is running; false if there is none. */
  electAny(applyDelayMs: number, mayBeLast = false): boolean {
    const able = this.instances.filter(instance => {
      const isLast = instance === this.lastLost && !mayBeLast;
      return !instance.isSuspended && !isLast;
    });
    if (able.length === 0) return false;
    this.elect(this.random.pick(able), applyDelayMs);
    return true;
  }

  /** When the leader that appended an entry had a successor. */
  leadershipEndOf(index: number): number | undefined {
    return this.elections.find(election => election.index > index)?.at;
  }

  /** Whether a majority confirms a leader after the call. */
  async confirm(leadership: Leadership): Promise<boolean> {
    await leadership.pass(this.random.integer(1, 15));
    const isConfirmed = await this.isCurrent(leadership);
    await leadership.pass(this.random.integer(1, 15));
    return isConfirmed;
  }

  /** Appends a command if the leader has a majority. */
  async propose(
    leadership: Leadership,
    body: NonNullable<FleetCommand['body']>,
  ): Promise<Result<number, string>> {
    await leadership.pass(this.random.integer(1, 15));
    if (!(await this.isCurrent(leadership))) return err('unconfirmed');
    const index = this.append(encodeCommand(body));
    await leadership.pass(this.random.integer(1, 15));
    if (leadership.isKilled) return err('stopped');
    this.apply(leadership, index);
    return ok(index);
  }

  /** Requests of a new leader complete after the entries before them. */
  private async isCurrent(leadership: Leadership): Promise<boolean> {
    while (this.current === leadership && !leadership.isReady) {
      await delay(LINK_DELAY_MS);
    }
    if (this.current === leadership) return true;
    await delay(this.random.integer(5, GIVE_UP_MS));
    return false;
  }

  private append(command: Buffer): number {
    return this.log.push({command, committedAt: Date.now()});
  }

  private apply({instance, published, stop}: Leadership, upTo: number): void {
    const {machine} = instance;
    while (instance.appliedIndex < upTo) {
      const index = ++instance.appliedIndex;
      machine.apply(index, this.log[index - 1]!.command);
    }
    if (stop.signal.aborted) return;
    for (const assignment of machine.assignments) published.offer(assignment);
  }
}

/** The entry that begins a term changes no state. */
const NOTHING = {
  $case: 'countProxies',
  value: {proxies: 0},
} as const;
