import type {Log} from '../../../base/node/log';
import type {Configuration} from '../../../schema/generated/consensus';
import type {Consensus} from '../../consensus/common/consensus';
import {isVoter, makeConfiguration} from '../../consensus/common/configuration';
import {
  changeFields,
  describeChange,
  learnerIds,
  voterIds,
} from '../common/configuration_change';

/** The part of the consensus core that is logged. */
export type ConfigurationSource = Pick<
  Consensus,
  'id' | 'configuration' | 'lastIndex' | 'commitIndex' | 'currentTerm'
>;

/** Logs each change of the configuration of the control group. */
export class MembershipLog {
  private logged: Configuration | undefined;

  constructor(
    private readonly source: ConfigurationSource,
    private readonly log: Log,
  ) {}

  /** Logs the newest configuration unless it equals the last logged one. */
  onDidChangeConfiguration(): void {
    const {id, configuration} = this.source;
    const change = describeChange(
      this.logged ?? makeConfiguration([]),
      configuration,
    );
    if (this.logged && !change) return;
    this.logged = configuration;
    const voters = voterIds(configuration);
    this.log.info('The control group changed.', {
      voters: voters.join(' '),
      learners: learnerIds(configuration).join(' '),
      lastIndex: this.source.lastIndex,
      commitIndex: this.source.commitIndex,
      term: this.source.currentTerm,
      isVoter: isVoter(configuration, id),
      ...(change && changeFields(change)),
    });
  }
}
