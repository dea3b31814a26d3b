/**
 * A request waits so long for the connection that is opened for it before one to
 * another member is, in milliseconds: three ways between regions and a turn of
 * a slot.
 */
const OPENING_WAIT_MS = 150;

interface Opening {
  readonly instance: string;
  readonly since: number;
}

/**
 * The connections that are opened for waiting requests.
 *
 * Guard: for a request of an account that has no connection anywhere, one would
 * else be opened to each member of the service, one after the other, while the
 * first one is on its way.
 */
export class PendingConnects<R extends object> {
  private readonly openings = new WeakMap<R, Opening>();

  set(request: R, instance: string, now: number): void {
    this.openings.set(request, {instance, since: now});
  }

  /** The member whose connection a request waits for; undefined for none. */
  instanceFor(request: R, now: number): string | undefined {
    const opening = this.openings.get(request);
    if (!opening || now - opening.since > OPENING_WAIT_MS) return undefined;
    return opening.instance;
  }
}
