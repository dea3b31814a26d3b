import type {AccountEntry} from '../../../schema/generated/fleet';

/** Finds the accounts of one catalog by the digests of their keys. */
export class AccountIndex {
  private readonly byDigest: ReadonlyMap<string, AccountEntry>;

  constructor(private readonly accounts: readonly AccountEntry[]) {
    this.byDigest = new Map(
      accounts.flatMap(entry => {
        return entry.keyDigests.map(digest => [digest, entry] as const);
      }),
    );
  }

  findByDigest(digest: string): AccountEntry | undefined {
    return this.byDigest.get(digest);
  }

  get isEmpty(): boolean {
    return this.accounts.length === 0;
  }
}
