// Replicas receive nothing while another one leaves; then the primary crashes.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {BROKEN, HELD, NOT_RUN, runCase} from '../standins/case.mjs';
import {Caller} from '../standins/client.mjs';
import {BOUNDS, sleep} from '../standins/fleet.mjs';

/** The largest dose of the site file. */
const DEAF_MS = 6_500;
const CRASH_MS = 7_000;
/** How long the others receive nothing when the replica leaves. */
const DEAF_BEFORE_LEAVING_MS = 2_500;
const WATCH_MS = 12_000;
/** The services have their release one after the other. */
const STAGGER_MS = 1_500;
/** As many as the deployment has. */
const SERVICE_COUNT = 3;

async function play({fleet, groups, record, hasTrouble}) {
  const plays = groups.map(async (group, index) => {
    await sleep(index * STAGGER_MS);
    const options = {fleet, group, record, hasTrouble};
    return playGroup(`lodge${index + 1}`, options);
  });
  const results = await Promise.all(plays);
  const acked = results.reduce((sum, result) => sum + result.acked, 0);
  const lost = results.reduce((sum, result) => sum + result.lost, 0);
  if (acked === 0) return {result: NOT_RUN, reason: 'no write was served'};
  const counts = results.map(result => result.lost).join(' + ');
  const reason = `LOST: ${counts} of ${acked} acknowledged commits`;
  return {result: lost > 0 ? BROKEN : HELD, reason};
}

/** The same events for one service. */
async function playGroup(database, {fleet, group, record, hasTrouble}) {
  const caller = new Caller({
    name: database,
    proxies: fleet.proxies,
    database,
    makeText: number => `STORE item${number} data${number}`,
    intervalMs: 40,
    record,
  });
  const lost = [];
  group.onDidPromote = successor => {
    const kept = new Set(
      successor.log.flatMap(({entries}) => entries.map(({item}) => item)),
    );
    const isAcked = ({isDone}) => isDone;
    for (const {text} of caller.operations.filter(isAcked)) {
      if (!kept.has(text.split(' ')[1])) lost.push(text);
    }
    const count = lost.length;
    record(`${successor.id} leads; acknowledged, not in its log: ${count}`);
  };
  const running = caller.run();
  await sleep(1_000);
  // The release: the new member starts first, the old one drains.
  const fresh = group.add(`${database}-new`, fleet.takeAddress());
  await fresh.start(fleet.seeds);
  await sleep(1_000);
  const leaving = group.members.find(member => !member.isPrimary);
  await leaving.drain();
  await sleep(BOUNDS['drain-ms'] + 500 - DEAF_BEFORE_LEAVING_MS);
  const others = group.members.filter(member => {
    return !member.isPrimary && member !== leaving;
  });
  const deaf = hasTrouble ? others : [];
  for (const member of deaf) member.isDeaf = true;
  const names = deaf.map(({id}) => id).join(' ');
  if (hasTrouble) record(`disruption: ${names} receive nothing`);
  setTimeout(() => {
    for (const member of deaf) {
      member.isDeaf = false;
      group.synchronize(member);
    }
    if (hasTrouble) record(`disruption: ${names} receive again`);
  }, DEAF_MS);
  await sleep(DEAF_BEFORE_LEAVING_MS);
  await leaving.leave();
  await sleep(500);
  const {primary} = group;
  if (hasTrouble && primary) {
    record(`disruption: the primary ${primary.id} crashes`);
    await primary.crash();
    setTimeout(() => restart(primary, group, fleet), CRASH_MS);
  }
  await sleep(WATCH_MS);
  caller.isStopped = true;
  await running;
  const acked = caller.operations.filter(({isDone}) => isDone).length;
  return {acked, lost: lost.length};
}

/** The primary comes back with its log, at its address. */
async function restart(primary, group, fleet) {
  group.remove(primary);
  const isPrimary = group.primary === undefined;
  const options = {isPrimary, log: primary.log};
  const next = group.add(`${primary.id}-again`, primary.address, options);
  group.record(`${next.id} starts with the log of ${primary.id}`);
  await next.start(fleet.seeds);
}

await runCase(dirname(fileURLToPath(import.meta.url)), {
  play,
  hasTrouble: process.env['TROUBLE'] !== '0',
  serviceCount: SERVICE_COUNT,
});
