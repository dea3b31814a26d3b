import type {Clock} from '../../../base/common/clock';
import type {TargetReply} from '../../statement/common/statement';
import type {
  MemberObservation,
  ReleasedConnection,
} from './dispatcher_messages';
import type {PooledConnection} from './member_pool';

/** How long a probe may take, in milliseconds. */
const PROBE_MS = 700;

/** What a probe ends with: what it saw, and its connection. */
export type ProbeListener = (
  observation: MemberObservation,
  end: ReleasedConnection,
) => void;

/**
 * Asks a member whether it leads and what it holds. A plain begin is refused
 * by a member that does not lead, and takes no slot.
 */
export class PrimaryProbe {
  private readonly running = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly onDidEnd: ProbeListener,
  ) {}

  isRunning(instance: string): boolean {
    return this.running.has(instance);
  }

  /** Asks over a connection; the epoch is that of the lead in question. */
  start(pooled: PooledConnection, epoch: number): void {
    const {instance} = pooled;
    this.running.add(instance);
    const askedAt = this.clock.now();
    const [begun, ended] = pooled.link.send([
      {requestId: undefined, statement: {kind: 'begin', readOnly: false}},
      {requestId: undefined, statement: {kind: 'rollback'}},
    ]);
    const timer = setTimeout(() => pooled.link.close(), PROBE_MS);
    void Promise.all([begun!, ended!]).then(([first, last]) => {
      clearTimeout(timer);
      this.running.delete(instance);
      const observation = {
        instance,
        epoch,
        askedAt,
        answeredAt: this.clock.now(),
        position: first.kind === 'answer' ? first.position : undefined,
        kind: outcomeOf(first),
      };
      const clean = last.kind === 'answer' && last.state === 'idle';
      this.onDidEnd(observation, {pooled, isClean: clean});
    });
  }
}

function outcomeOf(reply: TargetReply): MemberObservation['kind'] {
  if (reply.kind !== 'answer') return 'silent';
  if (reply.result.kind === 'done') return 'leads';
  return reply.result.failure === 'not primary' ? 'not primary' : 'answered';
}
