import type {CallerName, MemberUser} from '../../../base/common/ids';

/** Why a caller is not, or no longer, served. */
export type AccessDenial =
  /** The route in force asks for no key where it did, or the other way. */
  | 'route changed'
  | 'unknown database'
  /** No account holds the key. */
  | 'not authorized'
  /** This instance cannot tell whether the key was withdrawn. */
  | 'unconfirmed';

/** Who a caller was found to be at its start. */
export interface CallerAccess {
  readonly database: string;
  readonly caller: CallerName;
  /** Whose connections to members its work uses. */
  readonly user: MemberUser;
  /** Why its next statement may not run; undefined where it may. */
  denial(): AccessDenial | undefined;
}
