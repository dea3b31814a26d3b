import {expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {makeConfiguration} from '../../common/configuration';
import {ConsensusSimulation, makePeer} from './consensus_simulation';

// Guards against a learner that is dropped again as soon as it is back, since
// its silence counts from before it was dropped.
it('a peer that was removed and returns has not been silent meanwhile', () => {
  const group = new ConsensusSimulation(1, new SeededRandom(1));
  group.run(500);
  const leader = group.leader!;
  const change = (...ids: string[]) => {
    const learners = ids.map(id => makePeer(id, false));
    const request = group.changeConfiguration(
      leader,
      makeConfiguration([makePeer('m0'), ...learners]),
    );
    expect(group.outcomes.get(request)).toBe('committed');
  };
  change('m1');
  group.run(30_000);
  expect(leader.core!.silenceMsOf('m1', group.now)).toBeGreaterThan(29_000);
  change();
  group.run(5_000);
  change('m1');
  expect(leader.core!.silenceMsOf('m1', group.now)).toBe(0);
});
