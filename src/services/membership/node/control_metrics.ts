import {isVoter} from '../../consensus/common/configuration';
import type {Consensus} from '../../consensus/common/consensus';
import {learnerIds, voterIds} from '../common/configuration_change';

/** The part of the consensus core that metrics show. */
export type MeasuredCore = Pick<
  Consensus,
  'id' | 'role' | 'currentTerm' | 'commitIndex' | 'configuration'
> & {silenceMsOf(id: string, now: number): number};

/** Silence after which a voter counts as silent. */
const SILENT_AFTER_MS = 1_000;

/** Renders the state of the control group as this instance sees it. */
export function renderControlMetrics(
  core: MeasuredCore,
  leaderlessMs: number,
  now: number,
): string {
  const isLeader = core.role === 'leader';
  const voters = voterIds(core.configuration);
  const silent = voters.filter(id => {
    return isLeader && core.silenceMsOf(id, now) > SILENT_AFTER_MS;
  });
  const gauges: Readonly<Record<string, number>> = {
    leading: isLeader ? 1 : 0,
    term: core.currentTerm,
    commit_index: core.commitIndex,
    voting: isVoter(core.configuration, core.id) ? 1 : 0,
    voters: voters.length,
    learners: learnerIds(core.configuration).length,
    silent_voters: silent.length,
    leaderless_seconds: leaderlessMs / 1_000,
  };
  return Object.entries(gauges)
    .map(([name, value]) => {
      const full = `bulrushstage_control_${name}`;
      return `# TYPE ${full} gauge\n${full} ${value}\n`;
    })
    .join('');
}
