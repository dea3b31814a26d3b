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

let edge: TestGateway;
let told: string[];
let post: ReturnType<typeof vi.spyOn>;

const makePoolers = (service: string, instances: readonly string[]) => {
  return instances.map(instance => ({
    service,
    instance,
    address: `${instance}:1`,
    site: 'a',
  }));
};

/** The members of all services, under names of their own. */
function allMembers(): Member[] {
  const group = new FakeGroup(['a', 'b', 'c']);
  return SERVICES.flatMap(service => {
    return membersOf(group).map(member => {
      return {...member, service, instance: `${service} ${member.instance}`};
    });
  });
}

beforeEach(() => {
  told = [];
  post = vi
    .spyOn(ServiceDispatcher.prototype, 'post')
    .mockImplementation((message: DispatcherMessage) => {
      if (message.kind !== 'members') return true;
      const services = new Set(message.members.map(({service}) => service));
      told.push([...services].join());
      return true;
    });
  const services = SERVICES.map(service => ({
    service,
    connections: 16,
    confirmations: 1,
  }));
  const catalog = makeCatalog([makeRoute()], {services});
  edge = new TestGateway(new FakeGroup(['a', 'b', 'c']), catalog);
  edge.gateway.setMembers({members: allMembers(), proxyCount: 100});
  told = [];
});

afterEach(() => {
  edge.stop.abort();
  post.mockRestore();
});

it('tells of members only where those of a service changed', () => {
  // While the proxies of a fleet start, its members announce themselves and
  // poolers are named: each change, told to all services with all members,
  // costs each proxy their number squared.
  const members = allMembers();
  edge.gateway.setMembers({members, proxyCount: 100});
  expect(told).toEqual([]);
  members[4] = {...members[4]!, draining: true};
  edge.gateway.setMembers({members, proxyCount: 100});
  expect(told).toEqual(['films']);
});

it('tells of poolers only where those of a service changed', () => {
  const own: PoolerEntry[] = [
    ...makePoolers('books', ['p1', 'p2']),
    ...makePoolers('films', ['p1', 'p2']),
  ];
  edge.gateway.setPoolers({poolers: own});
  expect(told).toEqual(['books', 'films']);
  told = [];
  const changed = [...own.slice(0, 3), ...makePoolers('films', ['p3'])];
  edge.gateway.setPoolers({poolers: changed});
  expect(told).toEqual(['films']);
});

it('tells of the number of proxies only where these share connections', () => {
  edge.gateway.setPoolers({poolers: makePoolers('books', ['p1', 'p2'])});
  told = [];
  edge.gateway.setMembers({members: allMembers(), proxyCount: 101});
  expect(told).toEqual(['films', 'games']);
});
