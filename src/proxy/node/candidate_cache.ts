import type {TermHistory} from '../../services/position/common/term_history';
import type {ReadCandidate} from '../../services/routing/common/route_read';
import type {ServiceRecord} from '../../schema/generated/control';
import type {ServiceTargets} from './service_targets';

/** Candidates that the queued requests of one dispatch share. */
export class CandidateCache {
  private cachedAll: ReadCandidate[] | undefined;
  private cachedPrimary: ReadCandidate[] | undefined;

  constructor(
    private readonly targets: ServiceTargets,
    private readonly record: ServiceRecord,
    private readonly termHistory: TermHistory,
    private readonly isPrimaryUsable: boolean,
  ) {}

  get all(): readonly ReadCandidate[] {
    const {targets, record, termHistory, isPrimaryUsable} = this;
    this.cachedAll ??= targets.candidates(record, termHistory, isPrimaryUsable);
    return this.cachedAll;
  }

  get primary(): readonly ReadCandidate[] {
    const {targets, record, isPrimaryUsable} = this;
    this.cachedPrimary ??= targets.primaryCandidate(record, isPrimaryUsable);
    return this.cachedPrimary;
  }

  /** Call after a checkout: it changes the free connections. */
  invalidate(): void {
    this.cachedAll = undefined;
    this.cachedPrimary = undefined;
  }
}
