import {expect, it} from 'vitest';
import type {ConsensusRole} from '../../../consensus/common/consensus_types';
import {makeConfiguration} from '../../../consensus/common/configuration';
import {renderControlMetrics} from '../../node/control_metrics';

function makeCore(role: ConsensusRole) {
  const peers = ['a', 'b', 'c', 'd'].map(id => {
    return {id, address: id, voter: id !== 'd'};
  });
  return {
    id: 'a',
    role,
    currentTerm: 3,
    commitIndex: 40,
    configuration: makeConfiguration(peers),
    silenceMsOf: (id: string) => (id === 'b' ? 1_001 : 0),
  };
}

it('shows the members of the group and who is silent', () => {
  const text = renderControlMetrics(makeCore('leader'), 0, 0);
  const values = text.split('\n').filter(line => line.startsWith('bulrush'));
  expect(values).toEqual([
    'bulrushstage_control_leading 1',
    'bulrushstage_control_term 3',
    'bulrushstage_control_commit_index 40',
    'bulrushstage_control_voting 1',
    'bulrushstage_control_voters 3',
    'bulrushstage_control_learners 1',
    'bulrushstage_control_silent_voters 1',
    'bulrushstage_control_leaderless_seconds 0',
  ]);
});

it('counts no voter as silent at a follower', () => {
  const text = renderControlMetrics(makeCore('follower'), 1_500, 0);
  expect(text).toContain('bulrushstage_control_silent_voters 0');
  expect(text).toContain('bulrushstage_control_leaderless_seconds 1.5');
});
