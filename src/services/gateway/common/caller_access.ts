import type {CallerName, MemberUser} from '../../../base/common/ids';

/** Why a caller is not served, at its startup or with a later statement. */
export type AccessDenial =
  /** The route requires a key now and did not before, or the reverse. */
  | 'route changed'
  | 'unknown database'
  /** No account holds the key. */
  | 'not authorized'
  /** The catalog lease expired, so the key may have been withdrawn. */
  | 'unconfirmed';

/** The identity and rights of an authenticated caller. */
export interface CallerAccess {
  readonly database: string;
  readonly caller: CallerName;
  /** The user whose member connections its statements use. */
  readonly user: MemberUser;
  /** Why its next statement may not run; undefined if it may. */
  denial(): AccessDenial | undefined;
}
