/** After this, a request may connect to another member. */
const CONNECT_WAIT_MS = 150;

interface PendingConnect {
  readonly instance: string;
  readonly startedAt: number;
}

/**
 * The connects in progress for queued requests.
 *
 * Guard: a request of an account without connections would open one to each
 * member of the service in turn while the first connect is still in progress.
 */
export class PendingConnects<R extends object> {
  private readonly connects = new WeakMap<R, PendingConnect>();

  set(request: R, instance: string, now: number): void {
    this.connects.set(request, {instance, startedAt: now});
  }

  /** The member that is being connected for a request, if any. */
  instanceFor(request: R, now: number): string | undefined {
    const connect = this.connects.get(request);
    if (!connect || now - connect.startedAt > CONNECT_WAIT_MS) return undefined;
    return connect.instance;
  }
}
