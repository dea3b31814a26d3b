// An operator sends one configuration whose route has an unknown kind.
import {BOUNDS, sleep} from '../standins-2/fleet.mjs';
import {runOnce} from '../standins-2/client.mjs';
import {makeConfiguration} from '../standins-2/database.mjs';
import {
  CannotRun,
  hasTrouble,
  runCase,
  startSystem,
} from '../standins-2/case.mjs';

await runCase(import.meta.dirname, async tools => {
  const {note} = tools;
  const {fleet, database} = await startSystem(tools);
  const write = async text => {
    const [ip] = fleet.proxies;
    const outcome = await runOnce(ip, fleet.ports.callers, 'lodge1', text);
    note(`client: ${outcome.id} ${text} -> ${outcome.reply.join(' | ')}`);
    return outcome.isDone;
  };
  const isServed =
    (await write('STORE 1a4 before')) || (await write('STORE 1a4 again'));
  if (!isServed) throw new CannotRun('no write was served');

  const next = makeConfiguration(2, database.name);
  if (hasTrouble) next.routes[1].kind = 'constructor';
  const body = JSON.stringify(next);
  const put = await fleet.callControl('PUT', '/config', body, 8_000);
  note(
    `operator: PUT version 2 (kind ${next.routes[1].kind}) -> ${put.statuses.join(' ')}`,
  );
  await sleep(BOUNDS.configApplyMs);

  // At the end of a day, the operator asks repeatedly for `contact-ms`.
  const versions = [];
  const until = Date.now() + 3 * BOUNDS.contactMs;
  let lastReply = '';
  while (Date.now() < until) {
    const {status, text, statuses} = await fleet.callControl(
      'GET',
      '/config',
      undefined,
      1_000,
    );
    lastReply = `${status} after ${statuses.join(' ')}`;
    if (status === 200) versions.push(JSON.parse(text).version);
    await sleep(250);
  }
  note(
    `operator: GET -> versions ${[...new Set(versions)].join(' ') || 'none'}; last reply ${lastReply}`,
  );
  await write('STORE 1a4 after');

  const breaks = [];
  const isInvalid = hasTrouble;
  if (isInvalid && put.status === 200) {
    breaks.push('an invalid configuration was acknowledged');
  }
  if (isInvalid && versions.includes(2)) {
    breaks.push('an invalid configuration is read back');
  }
  if (versions.length === 0) {
    breaks.push(
      'CONFIG: the configuration that was acknowledged (version 1) does not come',
    );
  }
  if (fleet.ends.length > 0) {
    breaks.push(
      `${fleet.ends.length} processes ended by themselves: ${fleet.ends.map(({ip, cause}) => `${ip} ${cause}`).join(', ')}`,
    );
  }
  const reason = /broken invariant: [^\n]*/.exec(fleet.logs)?.[0];
  if (reason) note(`a program printed: ${reason}`);
  return breaks;
});
