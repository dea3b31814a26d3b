import type {TermHistory} from '../../services/position/common/term_history';
import type {ReadCandidate} from '../../services/routing/common/route_read';
import type {ServiceRecord} from '../../schema/generated/control';
import type {ServiceTargets} from './service_targets';

/** The candidates of one dispatch, made once for all requests that wait. */
export class DispatchView {
  private allKnown: ReadCandidate[] | undefined;
  private primaryKnown: ReadCandidate[] | undefined;

  constructor(
    private readonly targets: ServiceTargets,
    private readonly record: ServiceRecord,
    private readonly lineage: TermHistory,
    private readonly primaryUsable: boolean,
  ) {}

  get all(): readonly ReadCandidate[] {
    const {targets, record, lineage, primaryUsable} = this;
    this.allKnown ??= targets.candidates(record, lineage, primaryUsable);
    return this.allKnown;
  }

  get primary(): readonly ReadCandidate[] {
    const {targets, record, primaryUsable} = this;
    this.primaryKnown ??= targets.primaryCandidate(record, primaryUsable);
    return this.primaryKnown;
  }

  /** A place was taken: what is free has changed. */
  forget(): void {
    this.allKnown = undefined;
    this.primaryKnown = undefined;
  }
}
