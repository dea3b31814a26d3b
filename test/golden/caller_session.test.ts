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

// A treasurer's whole day: lodges, reads, makes mistakes, repeats a lodgement
// whose answer was lost, loses the primary in the middle and goes on. Every
// frame that the caller sees is in the golden file.
it('a whole session, frame by frame', async () => {
  const [first, second] = fleet.proxies;
  const session = await Transcript.open(first!.port, {
    user: 'treasurer',
    database: SERVICE,
  });
  await session.query('CREATE TABLE filings (id text PRIMARY KEY, state text)');
  await session.query("INSERT INTO filings VALUES ('f1', 'lodged')");
  await session.batch('', 'SELECT state FROM filings WHERE id = $1', ['f1']);
  await session.query("INSERT INTO filings VALUES ('f1', 'again')");
  await session.query('BEGIN');
  await session.query("UPDATE filings SET state = 'signed' WHERE id = 'f1'");
  await session.query('SELEC');
  await session.query("SELECT state FROM filings WHERE id = 'f1'");
  await session.query('ROLLBACK');
  await session.query('LISTEN news');
  await session.query("SET bulrush.class = 'review'");
  await session.query("SET bulrush.class = 'no such class'");
  await session.query('SHOW bulrush.class');
  await session.batch('by-id', 'SELECT id, state FROM filings', []);
  await session.query("SET bulrush.request_key = 'k1'");
  await session.query(
    "INSERT INTO filings VALUES ('f2', 'lodged') RETURNING id",
  );

  const {primary} = await fleet.primaryOf(SERVICE);
  session.note('--- the primary is killed');
  await fleet.target(primary).kill();
  await waitUntil(
    async () => (await fleet.primaryOf(SERVICE)).term > 1,
    'term 2',
  );

  const moved = await Transcript.open(second!.port, {
    user: 'treasurer',
    database: SERVICE,
    options: '-c bulrush.request_key=k1',
  });
  moved.note('--- the lodgement is repeated at another proxy');
  await moved.query("INSERT INTO filings VALUES ('f2', 'lodged') RETURNING id");
  await moved.query('SELECT id, state FROM filings ORDER BY id');
  await moved.query("INSERT INTO filings VALUES ('f3', 'lodged')");
  await moved.end();
  await session.query('SELECT count(*) FROM filings');
  await session.end();
  await expect(session.text + moved.text).toMatchFileSnapshot(
    'caller_session.golden',
  );
});
