import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {memberUser} from '../../../../base/common/ids';
import {ManualClock} from '../../../../base/common/clock';
import {createAbortController} from '../../../../base/node/timers';
import type {PoolerEntry} from '../../../../schema/generated/fleet';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {
  NearestPoolerRanking,
  AccountAffinityRanking,
} from '../../common/pooler_ranking';
import {PoolerDirectory} from '../../node/pooler_directory';
import type {PoolerLink} from '../../node/pooler_link';

/** A large deployment. */
const POOLER_COUNT = 3_400;
const POOLERS_PER_SERVICE = 10;
const NONE_EXCLUDED: ReadonlySet<PoolerLink> = new Set();

let server: Server;
let connections = 0;
let directory: PoolerDirectory;
let stop: AbortController;
let poolers: PoolerEntry[];
let rankSpies: ReturnType<typeof vi.spyOn>[];

/** Poolers with distinct loopback addresses, all served by one server. */
function makePoolers(port: number): PoolerEntry[] {
  return Array.from({length: POOLER_COUNT}, (...[, at]) => ({
    service: `s${Math.floor(at / POOLERS_PER_SERVICE)}`,
    instance: `p${at}`,
    address: `127.2.${at % 256}.${1 + Math.floor(at / 256)}:${port}`,
    site: `site${at % 18}`,
  }));
}

beforeEach(async () => {
  connections = 0;
  server = createServer(socket => {
    connections++;
    socket.on('error', () => {});
  }).listen(0, '0.0.0.0');
  await once(server, 'listening');
  stop = createAbortController();
  const here = {
    instance: 'edge',
    site: 'site1',
    primaryRegionOf: () => undefined,
    regionOf: (site: string) => site,
  };
  const {log} = makeLog();
  directory = new PoolerDirectory(here, new ManualClock(), log, stop.signal);
  poolers = makePoolers((server.address() as AddressInfo).port);
  rankSpies = [
    vi.spyOn(NearestPoolerRanking.prototype, 'rank'),
    vi.spyOn(AccountAffinityRanking.prototype, 'rank'),
  ];
});

afterEach(() => {
  stop.abort();
  server.close();
  for (const rank of rankSpies) rank.mockRestore();
});

const rankCount = () =>
  rankSpies.reduce((sum, {mock}) => sum + mock.calls.length, 0);

function select(service: string, user = SHARED_USER): void {
  const requirements = {service, user, needsPrimary: false};
  directory.selectLink(requirements, NONE_EXCLUDED, true);
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a proxy before 340 services', () => {
  it('opens links only for services that its callers use', async () => {
    // Hundreds of proxies start together. With links to the poolers of all
    // services, connecting would take longer than the start of the fleet.
    directory.setPoolers({poolers});
    await pause(100);
    expect(connections).toBe(0);
    select('s7');
    await pause(100);
    expect(connections).toBe(2);
    select('s7');
    await pause(300);
    expect(connections).toBe(2);
  });

  it('computes new rankings only for a service whose poolers changed', () => {
    directory.setPoolers({poolers});
    expect(rankCount()).toBe(0);
    for (const service of ['s1', 's2', 's3']) select(service);
    select('s1', memberUser('account'));
    const before = rankCount();
    const moved = {...poolers[12]!, instance: 'other'};
    const changed = poolers.map((entry, at) => (at === 12 ? moved : entry));
    directory.setPoolers({poolers: changed});
    for (const service of ['s1', 's2', 's3']) select(service);
    select('s2', memberUser('account'));
    // One for the changed service, and one for the account, which is new.
    expect(rankCount() - before).toBe(2);
  });
});
