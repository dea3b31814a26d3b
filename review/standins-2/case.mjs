// Runs one case: writes its record, stops all that it started, and exits with
// 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Database, makeConfiguration} from './database.mjs';
import {Fleet, sleep} from './fleet.mjs';

const MAX_RUN_MS = 110_000;
export const hasTrouble = process.env.TROUBLE !== '0';

/** A case could not reach the state in which it is tried. */
export class CannotRun extends Error {}

/**
 * @param folder Where the record goes.
 * @param body Returns the breaks of the rule that were seen, as texts.
 */
export async function runCase(folder, body) {
  const startedAt = performance.now();
  const lines = [];
  const note = text => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${text}`);
  };
  note(`disruption: ${hasTrouble ? 'on' : 'off'}`);
  const cleanups = [];
  const limit = setTimeout(() => {
    note('the case took too long');
    void finish(2);
  }, MAX_RUN_MS);
  async function finish(code) {
    clearTimeout(limit);
    for (const cleanup of cleanups.reverse()) await cleanup();
    note(`exit ${code}`);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    console.log(lines.slice(-8).join('\n'));
    process.exit(code);
  }
  try {
    const breaks = await body({note, cleanups});
    for (const text of breaks) note(`BROKEN: ${text}`);
    await finish(breaks.length > 0 ? 1 : 0);
  } catch (error) {
    note(`could not run: ${error.stack}`);
    await finish(2);
  }
}

/** A fleet with one service that serves a write; see `runCase`. */
export async function startSystem({note, cleanups}, proxyCount) {
  const database = new Database('huvo11a', note);
  await database.start();
  cleanups.push(() => database.stop());
  const fleet = new Fleet(note, database.platformAddress, proxyCount);
  cleanups.push(() => fleet.stop());
  await fleet.start();
  const first = makeConfiguration(1, database.name);
  const put = await fleet.callControl('PUT', '/config', JSON.stringify(first));
  note(`operator: PUT version 1 -> ${put.status}`);
  if (put.status !== 200) throw new CannotRun('no configuration');
  await database.announce(fleet);
  if (!(await fleet.waitUntilReady())) throw new CannotRun('not ready');
  await sleep(1_500);
  return {fleet, database};
}
