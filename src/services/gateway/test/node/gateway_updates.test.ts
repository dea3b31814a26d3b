import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {Member, PoolerEntry} from '../../../../schema/generated/fleet';
import type {DispatcherMessage} from '../../../dispatch/node/dispatcher_messages';
import {ServiceDispatcher} from '../../../dispatch/node/service_dispatcher';
import {FakeGroup} from './fake_group';
import {
  makeCatalog,
  makeRoute,
  membersOf,
  TestGateway,
} from './session_fixture';

const SERVICES = ['books', 'films', 'games'];

let testGateway: TestGateway;
let updates: string[];
let post: ReturnType<typeof vi.spyOn>;

const makePoolers = (service: string, instances: readonly string[]) => {
  return instances.map(instance => ({
    service,
    instance,
    address: `${instance}:1`,
    site: 'a',
  }));
};

/** The members of all services, with distinct names. */
function allMembers(): Member[] {
  const group = new FakeGroup(['a', 'b', 'c']);
  return SERVICES.flatMap(service => {
    return membersOf(group).map(member => {
      return {...member, service, instance: `${service} ${member.instance}`};
    });
  });
}

beforeEach(() => {
  updates = [];
  post = vi
    .spyOn(ServiceDispatcher.prototype, 'post')
    .mockImplementation((message: DispatcherMessage) => {
      if (message.kind !== 'members') return true;
      const services = new Set(message.members.map(({service}) => service));
      updates.push([...services].join());
      return true;
    });
  const services = SERVICES.map(service => ({
    service,
    connections: 16,
    confirmations: 1,
  }));
  const catalog = makeCatalog([makeRoute()], {services});
  testGateway = new TestGateway(new FakeGroup(['a', 'b', 'c']), catalog);
  testGateway.gateway.setMembers({members: allMembers(), proxyCount: 100});
  updates = [];
});

afterEach(() => {
  testGateway.stop.abort();
  post.mockRestore();
});

it('sends members only to services whose members changed', () => {
  // While a fleet starts, members and poolers change all the time. Sending every
  // change to all services makes the cost quadratic in the number of services.
  const members = allMembers();
  testGateway.gateway.setMembers({members, proxyCount: 100});
  expect(updates).toEqual([]);
  members[4] = {...members[4]!, draining: true};
  testGateway.gateway.setMembers({members, proxyCount: 100});
  expect(updates).toEqual(['films']);
});

it('sends pooler changes only to the services concerned', () => {
  const own: PoolerEntry[] = [
    ...makePoolers('books', ['p1', 'p2']),
    ...makePoolers('films', ['p1', 'p2']),
  ];
  testGateway.gateway.setPoolers({poolers: own});
  expect(updates).toEqual(['books', 'films']);
  updates = [];
  const changed = [...own.slice(0, 3), ...makePoolers('films', ['p3'])];
  testGateway.gateway.setPoolers({poolers: changed});
  expect(updates).toEqual(['films']);
});

it('sends the proxy count only to services without poolers', () => {
  testGateway.gateway.setPoolers({poolers: makePoolers('books', ['p1', 'p2'])});
  updates = [];
  testGateway.gateway.setMembers({members: allMembers(), proxyCount: 101});
  expect(updates).toEqual(['films', 'games']);
});
