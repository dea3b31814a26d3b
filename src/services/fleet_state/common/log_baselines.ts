import type {
  FormerMember,
  LogBaseline,
  Member,
} from '../../../schema/generated/fleet';
import {comparePositions, type Position} from '../../position/common/position';

/** The log that a primary was chosen for. */
export interface ChosenLog {
  /** Its end; it holds every acknowledged commit. */
  readonly end: Position;
  /** The first term in which the member can lead. */
  readonly leadTerm: number;
}

/** Nothing is known: no commit was acknowledged yet. */
function emptyBaseline(service: string): LogBaseline {
  return {
    service,
    term: 0,
    offset: 0,
    former: [],
    primaryAddress: '',
    primaryBorn: 0,
    primaryLeft: false,
    primaryTerm: 0,
  };
}

/**
 * Which logs hold every acknowledged commit, for each service. Part of the
 * replicated state, so all changes are deterministic.
 */
export class LogBaselines {
  private readonly baselines = new Map<string, LogBaseline>();

  get all(): LogBaseline[] {
    return [...this.baselines.values()];
  }

  /** The baseline of a service; empty before its first primary. */
  of(service: string): LogBaseline {
    return this.baselines.get(service) ?? emptyBaseline(service);
  }

  restore(baselines: readonly LogBaseline[]): void {
    this.baselines.clear();
    for (const baseline of baselines) {
      this.baselines.set(baseline.service, baseline);
    }
  }

  /**
   * Records the primary that was assigned.
   *
   * @param isNew Whether another member was assigned before, or none.
   * @param chosen Set if it was chosen for its log; then no former member is
   *     needed any more.
   */
  assignPrimary(
    service: string,
    primary: Member | undefined,
    isNew: boolean,
    chosen: ChosenLog | undefined,
  ): void {
    this.update(service, {primaryLeft: false});
    // A primary that is kept may have restarted since it was chosen.
    if (primary && (chosen || isNew)) {
      const {address, born} = primary;
      this.update(service, {primaryAddress: address, primaryBorn: born});
    }
    if (!chosen) return;
    this.raise(service, chosen.end);
    this.update(service, {former: [], primaryTerm: chosen.leadTerm});
  }

  /** The assigned primary announced its end. */
  recordPrimaryLeft(service: string): void {
    this.update(service, {primaryLeft: true});
  }

  /** Adds an ended incarnation that may have confirmed commits alone. */
  addFormer(service: string, member: FormerMember): void {
    const {former} = this.of(service);
    if (former.some(other => isSameIncarnation(other, member))) return;
    this.update(service, {former: [...former, member]});
  }

  /** The incarnation is a member again, so that its own log counts. */
  removeFormer(service: string, member: FormerMember): void {
    const {former} = this.of(service);
    if (!former.some(other => isSameIncarnation(other, member))) return;
    const others = former.filter(other => !isSameIncarnation(other, member));
    this.update(service, {former: others});
  }

  /** Raises the baseline; members that are accounted for are dropped. */
  accountFor(
    service: string,
    end: Position,
    members: readonly FormerMember[],
  ): void {
    this.raise(service, end);
    const former = this.of(service).former.filter(member => {
      return !members.some(other => isSameIncarnation(other, member));
    });
    this.update(service, {former});
  }

  /** Raises the baseline; it never falls. */
  raise(service: string, {term, offset}: Position): void {
    const isHigher = comparePositions({term, offset}, this.of(service)) > 0;
    if (isHigher) this.update(service, {term, offset});
  }

  private update(service: string, change: Partial<LogBaseline>): void {
    this.baselines.set(service, {...this.of(service), ...change});
  }
}

/** Whether two records stand for the same incarnation of a member. */
export function isSameIncarnation(
  a: Pick<FormerMember, 'instance' | 'born'>,
  b: Pick<FormerMember, 'instance' | 'born'>,
): boolean {
  return a.instance === b.instance && a.born === b.born;
}
