import {describe, expect, it} from 'vitest';
import {
  MAX_DELAY_MS,
  MAX_EXECUTION_MS,
  REQUEST_MAX_AGE_MS,
  RequestOrder,
  type AssignmentRequests,
} from '../../common/request_order';

function makeAssignment(
  requests: Partial<AssignmentRequests> = {},
): AssignmentRequests {
  return {
    epoch: 5,
    pending: false,
    answered: false,
    contested: false,
    single: false,
    ...requests,
  };
}

function makeOrder(
  isFenced: boolean,
  inherited: Partial<AssignmentRequests> = {},
): RequestOrder {
  const order = new RequestOrder(isFenced, 0);
  order.inherit(makeAssignment(inherited));
  return order;
}

const INHERITED_END = REQUEST_MAX_AGE_MS + MAX_DELAY_MS;
const request = 5;

describe('RequestOrder without fences', () => {
  it('waits for nothing after a settled assignment', () => {
    const order = makeOrder(false);
    expect(order.allowsNewToken(0)).toBe(true);
    expect(order.allowsOtherMember(0)).toBe(true);
  });

  it('uses no new token while a request of an earlier holder can arrive', () => {
    // Guards against a request without a reply that arrives with a lower token
    // after one of the next holder, also for the same member.
    const order = makeOrder(false, {pending: true});
    expect(order.allowsNewToken(INHERITED_END - 1)).toBe(false);
    expect(order.allowsNewToken(INHERITED_END)).toBe(true);
  });

  it('chooses another member only once no request can take effect', () => {
    // Guards against a late request that replaces the member that was chosen
    // instead, whose commits would be lost.
    const order = makeOrder(false, {pending: true});
    const end = INHERITED_END + MAX_EXECUTION_MS;
    expect(order.allowsOtherMember(end - 1)).toBe(false);
    expect(order.allowsOtherMember(end)).toBe(true);
  });

  it('waits for nothing once the member of a single request leads', () => {
    const order = makeOrder(false, {pending: true, single: true});
    order.onDidTakeEffect(100);
    expect(order.allowsCompletion(100)).toBe(true);
    expect(order.allowsOtherMember(100)).toBe(true);
  });

  it('takes the lead of a member for the execution of one copy only', () => {
    // Guards against a second copy that arrives after the next primary.
    const order = makeOrder(false);
    order.onDidAssign(order.isSingle(true, 0));
    order.onDidSend(request, 'unknown', 100);
    order.onDidSend(request, 'unknown', 400);
    order.onDidTakeEffect(600);
    expect(order.allowsCompletion(400 + MAX_DELAY_MS - 1)).toBe(false);
  });

  it('takes the lead of a member for no execution if it led before', () => {
    // Guards against a request that changed nothing and arrives later, when
    // another member is the primary.
    const order = makeOrder(false);
    order.onDidAssign(order.isSingle(false, 0));
    order.onDidSend(request, 'unknown', 100);
    order.onDidTakeEffect(600);
    expect(order.allowsCompletion(600)).toBe(false);
  });

  it('takes the lead of a member for no execution if it may lead soon', () => {
    // Guards against an accepted request that takes effect late, and counts as
    // the execution of the next one for the same member.
    const order = makeOrder(false, {pending: true, answered: true});
    expect(order.isSingle(true, MAX_EXECUTION_MS - 1)).toBe(false);
    expect(order.isSingle(true, MAX_EXECUTION_MS)).toBe(true);
  });

  it('takes the lead of a member for the accepted copy, if there is one', () => {
    // Guards against a copy without a reply that arrives later.
    const order = makeOrder(false);
    order.onDidAssign(order.isSingle(true, 0));
    order.onDidSend(request, 'unknown', 100);
    order.onDidSend(request, 'accepted', 400);
    order.onDidTakeEffect(600);
    expect(order.allowsCompletion(600)).toBe(false);
  });

  it('counts from the end of the holder that sent the request', () => {
    // Guards against a wait that each change of leader begins anew.
    const order = new RequestOrder(false, 9_000);
    order.inherit(makeAssignment({pending: true}), 2_000);
    expect(order.allowsNewToken(2_000 + INHERITED_END - 1)).toBe(false);
    expect(order.allowsNewToken(2_000 + INHERITED_END)).toBe(true);
  });

  it('waits only for the effect of requests that were answered', () => {
    const order = makeOrder(false, {pending: true, answered: true});
    expect(order.allowsNewToken(0)).toBe(true);
    expect(order.allowsOtherMember(MAX_EXECUTION_MS - 1)).toBe(false);
    expect(order.allowsOtherMember(MAX_EXECUTION_MS)).toBe(true);
  });

  it('takes account of each copy without a reply', () => {
    // Guards against a reply to one copy that hides an earlier one.
    const order = makeOrder(false);
    order.onDidSend(request, 'unknown', 100);
    order.onDidSend(request, 'accepted', 400);
    expect(order.allowsNewToken(100 + MAX_DELAY_MS - 1)).toBe(false);
    order.onDidTakeEffect(600);
    expect(order.allowsCompletion(600)).toBe(false);
    expect(order.allowsCompletion(100 + MAX_DELAY_MS)).toBe(true);
  });

  it('chooses another member only after an accepted request took effect', () => {
    // Guards against a member that takes over from the next one, because its
    // request was accepted and it became the primary a little later.
    const order = makeOrder(false);
    order.onDidSend(request, 'accepted', 100);
    expect(order.allowsOtherMember(100 + MAX_EXECUTION_MS - 1)).toBe(false);
    order.onDidTakeEffect(300);
    expect(order.allowsOtherMember(300)).toBe(true);
  });

  it('does not wait for requests that were refused or not sent', () => {
    const order = makeOrder(false);
    order.onDidSend(request, 'refused', 100);
    order.onDidSend(request, 'not now', 100);
    expect(order.allowsOtherMember(100)).toBe(true);
  });
});

describe('RequestOrder with fences', () => {
  it('waits for nothing', () => {
    const order = makeOrder(true, {pending: true});
    expect(order.allowsNewToken(0)).toBe(true);
    expect(order.allowsOtherMember(0)).toBe(true);
  });

  it('lets a contested primary serve only once its token was accepted', () => {
    // Guards against a member that leads already, while a request for another
    // member arrives before any with a higher token.
    const contested = makeAssignment({pending: true, contested: true});
    const order = makeOrder(true, contested);
    expect(order.allowsService(contested, 100)).toBe(false);
    order.onDidSend(4, 'accepted', 200);
    expect(order.allowsService(contested, 200)).toBe(false);
    order.onDidSend(request, 'accepted', 300);
    const end = 300 + MAX_EXECUTION_MS;
    expect(order.allowsService(contested, end)).toBe(true);
  });

  it('waits for requests that were accepted before, if one changed nothing', () => {
    // Guards against a request for another member that was accepted first and
    // takes effect after the assigned member, which led already, was published.
    const contested = makeAssignment({pending: true, contested: true});
    const order = makeOrder(true, contested);
    order.onDidSend(request, 'accepted', 300);
    const end = 300 + MAX_EXECUTION_MS;
    expect(order.allowsService(contested, end - 1)).toBe(false);
    expect(order.allowsService(contested, end)).toBe(true);
  });
});
