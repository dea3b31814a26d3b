import type {Task} from '../../../base/node/task';
import type {SessionContext} from './session_context';

/** Reads are retried soon or not at all. */
const MAX_PERMIT_WAIT_MS = 200;

type PermitContext = Pick<
  SessionContext,
  'caller' | 'user' | 'limits' | 'telemetry' | 'clock'
>;

/**
 * The permits for the attempts of one operation, which was admitted once.
 *
 * Guard: a member that ran a statement without a reply has used the permit. The
 * account would exceed its limit if other members ran it on the same permit.
 */
export class AttemptPermits {
  /** Whether there is a permit that no member can have used. */
  private isAvailable = true;
  private mightHaveRun = false;

  constructor(
    private readonly context: PermitContext,
    private readonly requestId: string,
    private readonly service: string,
  ) {}

  /** A member may have run an attempt. */
  onDidPossiblyRun(): void {
    this.isAvailable = false;
    this.mightHaveRun = true;
  }

  /**
   * Takes a permit for the next attempt unless the last one is unused; false if
   * the account is over its limit.
   *
   * @param deadline Time on the instance's clock, in milliseconds.
   */
  *acquire(deadline: number): Task<boolean> {
    if (this.isAvailable) return true;
    const {context, requestId, service} = this;
    const {caller, user, limits, telemetry, clock} = context;
    const waitUntil = Math.min(deadline, clock.now() + MAX_PERMIT_WAIT_MS);
    const admitted = yield* limits.admit(user, waitUntil);
    this.isAvailable = admitted.isOk;
    if (admitted.isErr) {
      const identity = {request: requestId, caller};
      telemetry.recordRetryOverLimit(identity, service, admitted.error);
    }
    return this.isAvailable;
  }

  /**
   * Returns an unused permit that was taken for a retry. The permit of an
   * operation that did not run at all is returned by who admitted it.
   */
  release(): void {
    if (!this.isAvailable || !this.mightHaveRun) return;
    this.isAvailable = false;
    this.context.limits.refund(this.context.user);
  }
}
