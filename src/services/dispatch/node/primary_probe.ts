import type {Clock} from '../../../base/common/clock';
import {detach} from '../../../base/node/broken_invariant';
import type {TargetReply} from '../../statement/common/statement';
import type {
  MemberObservation,
  ReleasedConnection,
} from './dispatcher_messages';
import type {PooledConnection} from './member_pool';

const PROBE_TIMEOUT_MS = 700;

/** Receives the result of a probe, and its connection. */
export type ProbeListener = (
  observation: MemberObservation,
  released: ReleasedConnection,
) => void;

/**
 * Asks a member whether it is primary, and for its position. A read-write BEGIN
 * uses no slot, and a member that is not primary refuses it.
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

  /** Probes a member; the epoch is that of the current assignment. */
  start(pooled: PooledConnection, epoch: number): void {
    const {instance} = pooled;
    this.running.add(instance);
    const requestedAt = this.clock.now();
    const [beginReply, rollbackReply] = pooled.link.send([
      {requestId: undefined, statement: {kind: 'begin', readOnly: false}},
      {requestId: undefined, statement: {kind: 'rollback'}},
    ]);
    const timer = setTimeout(() => pooled.link.close(), PROBE_TIMEOUT_MS);
    detach(
      'probe of a primary',
      Promise.all([beginReply!, rollbackReply!]).then(([begin, rollback]) => {
        clearTimeout(timer);
        this.running.delete(instance);
        const observation = {
          instance,
          epoch,
          requestedAt,
          receivedAt: this.clock.now(),
          position: begin.kind === 'answer' ? begin.position : undefined,
          kind: classifyReply(begin),
        };
        const isClean = rollback.kind === 'answer' && rollback.state === 'idle';
        this.onDidEnd(observation, {pooled, isClean});
      }),
    );
  }
}

function classifyReply(reply: TargetReply): MemberObservation['kind'] {
  if (reply.kind !== 'answer') return 'silent';
  if (reply.result.kind === 'done') return 'primary';
  return reply.result.failure === 'not primary' ? 'not primary' : 'answered';
}
