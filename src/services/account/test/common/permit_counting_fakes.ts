import type {
  AccountEntry,
  AccountShare,
  AccountShares,
  AccountUse,
  CounterEntry,
} from '../../../../schema/generated/fleet';
import type {
  PermitCounter,
  PermitDecision,
  ShareAllocator,
} from '../../common/permit_counting';

export function makeShare(account: string, perSecond = 5): AccountShare {
  return {account, perSecond, depth: 2, tokens: 0};
}

/** Returns an entry of the list of counters. */
export function makeCounter(
  instance: string,
  overrides: Partial<CounterEntry> = {},
): CounterEntry {
  const address = `${instance}:1`;
  return {instance, address, site: 'a', retiring: false, ...overrides};
}

/** Returns an account with a limit, or without one. */
export function makeLimited(account: string, perSecond?: number): AccountEntry {
  const limit =
    perSecond === undefined ? undefined : {perSecond, burst: perSecond};
  return {account, keyDigests: [], limit};
}

/** Records its calls, and returns the lists of shares that a test sets. */
export class FakeAllocator implements ShareAllocator {
  readonly calls: string[] = [];
  readonly lists = new Map<string, AccountShares>();
  readonly removable = new Set<string>();

  setAccounts(): void {}

  setCounters(counters: readonly CounterEntry[]): void {
    const names = counters.map(({instance}) => instance);
    this.calls.push(`counters ${names.join(' ')}`);
  }

  onDidAttach(counter: string, shares: readonly AccountShare[]): void {
    const accounts = shares.map(({account}) => account).join(' ');
    this.calls.push(`attached ${counter} with ${accounts || 'nothing'}`);
  }

  report(
    counter: string,
    uses: readonly AccountUse[],
    sharesNumber: number,
  ): void {
    for (const {account, run, refused} of uses) {
      this.calls.push(`use ${counter} ${account} ${run} ${refused}`);
    }
    if (sharesNumber > 0) {
      this.calls.push(`in force ${counter} ${sharesNumber}`);
    }
  }

  renewLease(counter: string): void {
    this.calls.push(`renewed ${counter}`);
  }

  takeChangedShares(counter: string): AccountShares | undefined {
    const list = this.lists.get(counter);
    this.lists.delete(counter);
    return list;
  }

  takeNotices(): [] {
    return [];
  }

  updateNearLimit(): [] {
    return [];
  }

  canRemove(counter: string): boolean {
    return this.removable.has(counter);
  }
}

/** Records what control sends, and returns the decision that a test sets. */
export class FakeCounter implements PermitCounter {
  readonly idleMs = 0;
  heldShares: AccountShare[] = [];
  shareListNumber = 0;
  uses: AccountUse[] = [];
  leaseExtensionCount = 0;
  detachCount = 0;
  readonly requests: string[] = [];
  readonly returnedPermits: string[] = [];
  decision: PermitDecision = {
    kind: 'granted',
    count: 1,
    validMs: 500,
    waitMs: 0,
  };

  setAccounts(): void {}

  setShares({shares, number}: AccountShares): void {
    this.heldShares = shares;
    this.shareListNumber = number;
  }

  extendLease(): void {
    this.leaseExtensionCount++;
  }

  onDidDetach(): void {
    this.detachCount++;
    this.shareListNumber = 0;
  }

  requestPermits(account: string, wanted: number): PermitDecision {
    this.requests.push(`${account} ${wanted}`);
    return this.decision;
  }

  returnPermits(account: string, count: number): void {
    this.returnedPermits.push(`${account} ${count}`);
  }

  takeReport(): AccountUse[] {
    return this.uses.splice(0);
  }
}
