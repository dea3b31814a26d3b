import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {FakeGroup} from './fake_group';
import {FakeLimits} from './fake_limits';
import {
  makeCatalog,
  makeRoute,
  READ,
  TestCaller,
  TestGateway,
} from './session_fixture';

const INSTANCES = ['a', 'b', 'c'];

let group: FakeGroup;
let limits: FakeLimits;
let gateway: TestGateway;

beforeEach(() => {
  group = new FakeGroup(INSTANCES);
  limits = new FakeLimits();
  const route = makeRoute({statementMs: 3_000});
  gateway = new TestGateway(group, makeCatalog([route]), {limits});
});

afterEach(() => gateway.stop.abort());

function loseAnswers(count: number): void {
  for (const instance of INSTANCES) {
    group.member(instance).answersToLose = count;
  }
}

/** Permits that were taken and not given back. */
function chargedCount(): number {
  return limits.admitted.length - limits.refunded.length;
}

describe('a read whose answer is lost', () => {
  it('is charged to its account at each member that may have run it', async () => {
    // Guards against an account that exceeds its limit by retried reads.
    loseAnswers(1);
    await new TestCaller(gateway, 'db').send(READ);
    expect(group.callerStatements.length).toBeGreaterThan(1);
    expect(chargedCount()).toBe(group.callerStatements.length);
  });

  it('is not sent again for an account that is over its limit', async () => {
    // Guards against a retry that runs without a permit.
    loseAnswers(1);
    limits.left = 1;
    const reply = await new TestCaller(gateway, 'db').send(READ);
    expect(group.callerStatements).toHaveLength(1);
    expect(reply.result).toMatchObject({failure: 'timeout'});
  });

  it('is not charged for a retry that got no connection', async () => {
    // Guards against permits that are lost with each failed retry.
    loseAnswers(1);
    const reply = new TestCaller(gateway, 'db').send(READ);
    for (const instance of INSTANCES) group.member(instance).isDown = true;
    await reply;
    expect(chargedCount()).toBe(group.callerStatements.length);
  });
});

describe('a read that a member refuses as busy', () => {
  it('is charged to its account once', async () => {
    // Guards against an account that pays for attempts that did not run.
    for (const instance of INSTANCES) group.member(instance).busyAnswers = 1;
    await new TestCaller(gateway, 'db').send(READ);
    expect(limits.admitted).toHaveLength(1);
  });
});
