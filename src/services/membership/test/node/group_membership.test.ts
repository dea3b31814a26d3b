import {expect, it} from 'vitest';
import {ok} from '../../../../base/common/result';
import type {Log} from '../../../../base/node/log';
import type {Configuration, Peer} from '../../../../schema/generated/consensus';
import {
  completeReplacement,
  isJoint,
  makeConfiguration,
} from '../../../consensus/common/configuration';
import type {ConsensusNode} from '../../../consensus/node/consensus_node';
import {GroupMembership} from '../../node/group_membership';
import {replacementSilenceMs} from '../../common/replacement_silence';

const peer = (id: string, voter = true): Peer => ({id, address: id, voter});

/** A leader `c` whose changes are committed at once. */
function makeGroup(peers: readonly Peer[], catchUpMs: number) {
  let now = 0;
  const endedAt = new Map<string, number>();
  const core = {
    configuration: makeConfiguration(peers),
    isConfigurationCommitted: true,
    commitIndex: 100,
    currentTerm: 2,
    matchIndexOf: () => 100,
    silenceMsOf: (id: string) => now - (endedAt.get(id) ?? now),
  };
  const log = {info: () => {}, warn: () => {}} as unknown as Log;
  const membership = new GroupMembership({
    desiredVoterCount: 3,
    replaceSilentAfterMs: replacementSilenceMs({catchUpMs, minSilenceMs: 700}),
    node: {
      core,
      isLeading: true,
      changeConfiguration: async (next: Configuration) => {
        core.configuration = next;
        return ok(1);
      },
    } as unknown as ConsensusNode,
    clock: {now: () => now},
    log,
  });
  return {
    core,
    membership,
    /** Has an instance stop in good order, as `handOverVote` does. */
    async stop(id: string) {
      for (let count = 0; count < 3; count++) {
        membership.onLeave(id);
        await settle();
        now += 100;
      }
      endedAt.set(id, now);
    },
    wait(milliseconds: number) {
      now += milliseconds;
    },
    voters: () => {
      const {configuration} = core;
      const {peers: all} = isJoint(configuration)
        ? completeReplacement(configuration)
        : configuration;
      return all.filter(({voter}) => voter).map(({id}) => id);
    },
  };
}

async function settle(): Promise<void> {
  for (let count = 0; count < 20; count++) await Promise.resolve();
}

// Guards against a vote that goes to an instance which stopped a moment before:
// the next loss then leaves no majority, although each successor had its time.
it.each([2_000, 4_000, 6_000, 0])(
  'gives no vote to an instance that has just stopped, with a catch-up time of %s ms',
  async catchUpMs => {
    for (let waitMs = 0; waitMs <= 2_000; waitMs += 100) {
      const peers = [peer('a'), peer('b'), peer('c')];
      const learners = [peer('d', false), peer('e', false)];
      const group = makeGroup([...peers, ...learners], catchUpMs);
      await group.stop('a');
      expect([waitMs, group.voters().sort()]).toEqual([
        waitMs,
        ['b', 'c', 'd'],
      ]);
      group.wait(waitMs);
      await group.stop('b');
      expect([waitMs, group.voters().sort()]).toEqual([
        waitMs,
        ['c', 'd', 'e'],
      ]);
    }
  },
);
