import {
  callerName,
  memberUser,
  type CallerName,
} from '../../../base/common/ids';
import {err, ok, type Result} from '../../../base/common/result';
import type {DatabaseRoute} from '../../../schema/generated/fleet';
import type {CatalogLease} from '../../account/common/catalog_lease';
import {digestOfKey} from '../../account/node/key_digest';
import type {CatalogIndex} from '../../catalog/common/catalog';
import {SHARED_USER} from '../../target_link/common/target_link';
import type {AccessDenial, CallerAccess} from '../common/caller_access';

/** Authenticates and authorizes callers by the current catalog. */
export class CatalogAuthorizer {
  constructor(
    private readonly catalog: () => CatalogIndex | undefined,
    private readonly lease: CatalogLease,
  ) {}

  /**
   * Authenticates a caller. A caller without a valid key does not learn whether
   * a database of that name exists.
   */
  admit(
    database: string,
    credential: string,
  ): Result<CallerAccess, AccessDenial> {
    const route = this.route(database);
    if (route && !route.keyed) return ok(this.admitKeyless(credential, route));
    const accounts = this.catalog()?.accounts;
    if (route && !this.lease.isHeld) return err('unconfirmed');
    const digest = digestOfKey(credential);
    const holder = accounts?.findByDigest(digest);
    if (!holder) {
      const isKeyed = accounts !== undefined && !accounts.isEmpty;
      return err(isKeyed ? 'not authorized' : 'unknown database');
    }
    if (!route) return err('unknown database');
    const caller = callerName(holder.account);
    return ok({
      database,
      caller,
      user: memberUser(holder.account),
      denial: () => this.denialOf(route, caller, digest),
    });
  }

  private admitKeyless(
    credential: string,
    {database}: DatabaseRoute,
  ): CallerAccess {
    return {
      database,
      caller: this.callerNameOf(credential),
      user: SHARED_USER,
      denial: () => {
        return this.route(database)?.keyed ? 'route changed' : undefined;
      },
    };
  }

  /**
   * Guard: a caller may send its key as the name for a database without keys.
   * The name appears in logs, so it is a digest as soon as there are accounts.
   */
  private callerNameOf(credential: string): CallerName {
    const isName = this.catalog()?.accounts.isEmpty ?? true;
    return callerName(isName ? credential : digestOfKey(credential));
  }

  /** Ignores a dropped route, which the next look-up of the route reports. */
  private denialOf(
    {database}: DatabaseRoute,
    caller: CallerName,
    digest: string,
  ): AccessDenial | undefined {
    const route = this.route(database);
    if (route && !route.keyed) return 'route changed';
    const holder = this.catalog()?.accounts.findByDigest(digest);
    if (holder?.account !== caller) return 'not authorized';
    return this.lease.isHeld ? undefined : 'unconfirmed';
  }

  private route(database: string): DatabaseRoute | undefined {
    return this.catalog()?.route(database);
  }
}
