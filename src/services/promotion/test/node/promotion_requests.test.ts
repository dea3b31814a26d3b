import {expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {startTask} from '../../../../base/node/task';
import {makeAssignment} from '../../../lease/test/common/lease_fixture';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {RequestOrder} from '../../common/request_order';
import type {
  PromotionAuthority,
  PromotionReply,
} from '../../node/promotion_authority';
import type {PromotionDependencies} from '../../node/promotion_dependencies';
import {PromotionRequests} from '../../node/promotion_requests';

/** Promotes a member through an authority; returns the lines of the requests. */
async function promoteWith(
  promote: (
    clock: ManualClock,
    isFresh: () => boolean,
  ) => PromotionReply | Error,
): Promise<string[]> {
  const clock = new ManualClock(1_000);
  const {lines, log} = makeLog();
  const authority: PromotionAuthority = {
    prepare: () => {},
    promote: (...[, isFresh]) => {
      const reply = promote(clock, isFresh);
      return reply instanceof Error
        ? Promise.reject(reply)
        : Promise.resolve(reply);
    },
  };
  const dependencies: Partial<PromotionDependencies> = {
    service: 'books',
    holder: 'control-1',
    clock,
    log,
    access: {authority, isFenced: false, clock},
    members: () => [],
    confirmLeadership: () => Promise.resolve(false),
    recordCopies: () => Promise.resolve(true),
  };
  const requests = new PromotionRequests(
    dependencies as PromotionDependencies,
    new RequestOrder(false, clock.now()),
  );
  const {signal} = new AbortController();
  await startTask('requests', function* () {
    const assignment = {...makeAssignment('b', 7), pending: true};
    yield* requests.promote(assignment, clock.now(), signal);
  });
  return lines;
}

it('logs a stop between the check of a request and its write', async () => {
  // Guards against a late request that looks like one that was sent in time.
  const lines = await promoteWith((clock, isFresh) => {
    clock.advance(20);
    expect(isFresh()).toBe(true);
    clock.advance(2_000);
    const writtenAt = clock.now();
    clock.advance(30);
    return {outcome: 'refused', status: 409, writtenAt};
  });
  expect(lines).toEqual([
    'Requested a promotion. {"service":"books","instance":"b",' +
      '"holder":"control-1","token":7,"copy":1,"outcome":"refused",' +
      '"status":409,"checkedAgeMs":20,"writtenAgeMs":2020,"replyMs":30,' +
      '"mayTakeEffectMs":0}',
  ]);
});

it('logs a request that was too old to be sent, without a write', async () => {
  // Guards against a request that was held back and looks like one that was
  // sent without a reply.
  const lines = await promoteWith((clock, isFresh) => {
    clock.advance(400);
    expect(isFresh()).toBe(false);
    clock.advance(5_000);
    return {outcome: 'not now'};
  });
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain('"outcome":"not now","checkedAgeMs":400,');
  expect(lines[0]).not.toContain('writtenAgeMs');
});

it('logs a request of an authority that failed as unknown', async () => {
  const lines = await promoteWith(clock => {
    clock.advance(5_000);
    return new Error('failed');
  });
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain('"outcome":"unknown","mayTakeEffectMs":14500');
});
