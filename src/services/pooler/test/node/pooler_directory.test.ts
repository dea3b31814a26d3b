import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {memberUser} from '../../../../base/common/ids';
import {ManualClock} from '../../../../base/common/clock';
import {ownController} from '../../../../base/node/timers';
import type {PoolerEntry} from '../../../../schema/generated/fleet';
import {makeLog} from '../../../gateway/test/node/session_fixture';
import {SHARED_USER} from '../../../target_link/common/target_link';
import {
  NearestPoolerRanking,
  AccountAffinityRanking,
} from '../../common/pooler_ranking';
import {PoolerDirectory} from '../../node/pooler_directory';
import type {PoolerLink} from '../../node/pooler_link';

/** Two years from now: a pooler for each of 3,400 proxies. */
const POOLERS = 3_400;
const A_SERVICE = 10;
const NOT_PASSED: ReadonlySet<PoolerLink> = new Set();

let server: Server;
let connections = 0;
let directory: PoolerDirectory;
let stop: AbortController;
let poolers: PoolerEntry[];
let ranks: ReturnType<typeof vi.spyOn>[];

/** All addresses of loopback are one server. */
function makePoolers(port: number): PoolerEntry[] {
  return Array.from({length: POOLERS}, (...[, at]) => ({
    service: `s${Math.floor(at / A_SERVICE)}`,
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
  stop = ownController();
  const here = {
    instance: 'edge',
    site: 'site1',
    primaryRegionOf: () => undefined,
    regionOf: (site: string) => site,
  };
  const {log} = makeLog();
  directory = new PoolerDirectory(here, new ManualClock(), log, stop.signal);
  poolers = makePoolers((server.address() as AddressInfo).port);
  ranks = [
    vi.spyOn(NearestPoolerRanking.prototype, 'rank'),
    vi.spyOn(AccountAffinityRanking.prototype, 'rank'),
  ];
});

afterEach(() => {
  stop.abort();
  server.close();
  for (const rank of ranks) rank.mockRestore();
});

const rankCount = () =>
  ranks.reduce((sum, {mock}) => sum + mock.calls.length, 0);

function ask(service: string, user = SHARED_USER): void {
  const wish = {service, user, needsPrimary: false};
  directory.selectLink(wish, NOT_PASSED, true);
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a proxy before 340 services', () => {
  it('links to poolers of services that its callers use only', async () => {
    // Hundreds of proxies start together. Each opens links to two poolers of
    // each service, used or not: control and the poolers take connections at
    // such a rate that the fleet is not up before its callers come.
    directory.setPoolers({poolers});
    await pause(100);
    expect(connections).toBe(0);
    ask('s7');
    await pause(100);
    expect(connections).toBe(2);
    ask('s7');
    await pause(300);
    expect(connections).toBe(2);
  });

  it('ranks one service anew where one pooler changed', () => {
    directory.setPoolers({poolers});
    expect(rankCount()).toBe(0);
    for (const service of ['s1', 's2', 's3']) ask(service);
    ask('s1', memberUser('account'));
    const before = rankCount();
    const moved = {...poolers[12]!, instance: 'other'};
    const changed = poolers.map((entry, at) => (at === 12 ? moved : entry));
    directory.setPoolers({poolers: changed});
    for (const service of ['s1', 's2', 's3']) ask(service);
    ask('s2', memberUser('account'));
    // The changed one, and the order for the account, which is a new one.
    expect(rankCount() - before).toBe(2);
  });
});
