import type {AccountEntry} from '../../../schema/generated/fleet';

/** The accounts of one catalog, by name and by the digests of their keys. */
export class AccountIndex {
  private readonly byName: ReadonlyMap<string, AccountEntry>;
  private readonly byDigest: ReadonlyMap<string, AccountEntry>;

  constructor(accounts: readonly AccountEntry[]) {
    this.byName = new Map(accounts.map(entry => [entry.account, entry]));
    this.byDigest = new Map(
      accounts.flatMap(entry => {
        return entry.keyDigests.map(digest => [digest, entry] as const);
      }),
    );
  }

  /** The account that holds a key; undefined where none does. */
  holderOf(digest: string): AccountEntry | undefined {
    return this.byDigest.get(digest);
  }

  get isEmpty(): boolean {
    return this.byName.size === 0;
  }

  get(account: string): AccountEntry | undefined {
    return this.byName.get(account);
  }
}
