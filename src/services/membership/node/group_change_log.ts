import type {Clock} from '../../../base/common/clock';
import {RepeatLimit} from '../../../base/common/repeat_limit';
import type {Result} from '../../../base/common/result';
import type {Log} from '../../../base/node/log';
import type {Configuration} from '../../../schema/generated/consensus';
import type {RefusalReason} from '../../consensus/common/consensus_types';
import {
  changeFields,
  describeChange,
  learnerIds,
  voterIds,
} from '../common/configuration_change';

/** A change that the leader decided on. */
export interface GroupChange {
  readonly before: Configuration;
  readonly after: Configuration;
  readonly term: number;
  /** Time since the leader last heard from a peer, in milliseconds. */
  silenceMsOf(id: string): number;
}

/** Reports how a change ended. */
export type ChangeOutcomeCallback = (
  outcome: Result<number, RefusalReason>,
) => void;

const REPEAT_INTERVAL_MS = 2_000;

/** Logs the changes of the control group that a leader decides on. */
export class GroupChangeLog {
  private readonly repeats: RepeatLimit;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.repeats = new RepeatLimit(REPEAT_INTERVAL_MS, clock);
  }

  /** Logs a decision; the returned function logs its outcome. */
  begin({
    before,
    after,
    term,
    silenceMsOf,
  }: GroupChange): ChangeOutcomeCallback {
    const change = describeChange(before, after);
    const names = change ? changeFields(change) : {};
    const suppressed = this.repeats.take(JSON.stringify(names));
    // A refused change is decided again at once and could repeat for long.
    if (suppressed === undefined) return () => {};
    const silent = (ids: readonly string[]) =>
      ids.map(id => `${id}=${Math.round(silenceMsOf(id))}`).join(' ');
    this.log.info('Changing the control group.', {
      ...names,
      term,
      voterSilenceMs: silent(voterIds(before)),
      learnerSilenceMs: silent(learnerIds(before)),
      suppressed,
    });
    const startedAt = this.clock.now();
    return outcome => {
      const tookMs = Math.round(this.clock.now() - startedAt);
      const fields = {...names, term, tookMs};
      if (outcome.isOk) {
        const index = outcome.value;
        this.log.info('Committed a change of the control group.', {
          ...fields,
          index,
        });
      } else {
        const reason = outcome.error;
        this.log.warn('A change of the control group failed.', {
          ...fields,
          reason,
        });
      }
    };
  }
}
