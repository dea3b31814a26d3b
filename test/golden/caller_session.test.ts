import {afterAll, beforeAll, expect, it} from 'vitest';
import {Fleet, waitUntil} from '../../bench/fleet/fleet';
import {SERVICE} from '../support';
import {Transcript} from './transcript';

let fleet: Fleet;
beforeAll(async () => {
  fleet = await Fleet.start({
    controls: 1,
    proxies: 2,
    services: [SERVICE],
    members: 3,
    service: {connections: 8},
  });
});
afterAll(() => fleet.stop());

// Covers writes, reads, errors, a failover and a retry with a request key. The
// golden file holds every frame that the caller receives.
it('matches the recorded frames of a session', async () => {
  const [firstProxy, secondProxy] = fleet.proxies;
  const session = await Transcript.open(firstProxy!.port, {
    user: 'treasurer',
    database: SERVICE,
  });
  await session.runQuery(
    'CREATE TABLE filings (id text PRIMARY KEY, state text)',
  );
  await session.runQuery("INSERT INTO filings VALUES ('f1', 'lodged')");
  await session.runBatch('', 'SELECT state FROM filings WHERE id = $1', ['f1']);
  await session.runQuery("INSERT INTO filings VALUES ('f1', 'again')");
  await session.runQuery('BEGIN');
  await session.runQuery("UPDATE filings SET state = 'signed' WHERE id = 'f1'");
  await session.runQuery('SELEC');
  await session.runQuery("SELECT state FROM filings WHERE id = 'f1'");
  await session.runQuery('ROLLBACK');
  await session.runQuery('LISTEN news');
  await session.runQuery("SET bulrush.class = 'review'");
  await session.runQuery("SET bulrush.class = 'no such class'");
  await session.runQuery('SHOW bulrush.class');
  await session.runBatch('by-id', 'SELECT id, state FROM filings', []);
  await session.runQuery("SET bulrush.request_key = 'k1'");
  await session.runQuery(
    "INSERT INTO filings VALUES ('f2', 'lodged') RETURNING id",
  );

  const {primary} = await fleet.primaryOf(SERVICE);
  session.addLine('--- the primary is killed');
  await fleet.target(primary).kill();
  await waitUntil(
    async () => (await fleet.primaryOf(SERVICE)).term > 1,
    'term 2',
  );

  const secondSession = await Transcript.open(secondProxy!.port, {
    user: 'treasurer',
    database: SERVICE,
    options: '-c bulrush.request_key=k1',
  });
  secondSession.addLine('--- the lodgement is repeated at another proxy');
  await secondSession.runQuery(
    "INSERT INTO filings VALUES ('f2', 'lodged') RETURNING id",
  );
  await secondSession.runQuery('SELECT id, state FROM filings ORDER BY id');
  await secondSession.runQuery("INSERT INTO filings VALUES ('f3', 'lodged')");
  await secondSession.terminate();
  await session.runQuery('SELECT count(*) FROM filings');
  await session.terminate();
  await expect(session.text + secondSession.text).toMatchFileSnapshot(
    'caller_session.golden',
  );
});
