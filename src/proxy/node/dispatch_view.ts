import type {Lineage} from '../../services/position/common/lineage';
import type {Candidate} from '../../services/routing/common/router';
import type {ServiceRecord} from '../../schema/generated/control';
import type {ServiceTargets} from './service_targets';

/** The candidates of one dispatch, made once for all requests that wait. */
export class DispatchView {
  private allKnown: Candidate[] | undefined;
  private primaryKnown: Candidate[] | undefined;

  constructor(
    private readonly targets: ServiceTargets,
    private readonly record: ServiceRecord,
    private readonly lineage: Lineage,
    private readonly primaryUsable: boolean,
  ) {}

  get all(): readonly Candidate[] {
    const {targets, record, lineage, primaryUsable} = this;
    this.allKnown ??= targets.candidates(record, lineage, primaryUsable);
    return this.allKnown;
  }

  get primary(): readonly Candidate[] {
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
