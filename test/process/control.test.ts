import {execFile} from 'node:child_process';
import {readdirSync, rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {afterEach, describe, expect, it} from 'vitest';
import {fetchJson, Fleet, waitUntil} from '../../bench/fleet/fleet';
import {client, outcome, SERVICE} from '../support';

const execute = promisify(execFile);
const SETTLED_MS = 10_000;

let fleet: Fleet;
afterEach(() => fleet.stop());

interface Outcome {
  readonly accepted: boolean;
  readonly version: number;
  readonly winnerChangeId: string;
}

/** Runs bulrushctl; what it printed as JSON. */
async function ctl<T = Outcome>(...args: string[]): Promise<T> {
  const control = fleet.controls.map(({port}) => `127.0.0.1:${port}`).join(',');
  const words = ['dist/bulrushctl.cjs', ...args, '--control', control];
  try {
    const {stdout} = await execute(process.execPath, [...words, '--json']);
    return JSON.parse(stdout) as T;
  } catch (error) {
    const {stdout} = error as {stdout?: string};
    if (!stdout) throw error;
    return JSON.parse(stdout) as T;
  }
}

interface Status {
  readonly leader: boolean;
  readonly instance: string;
  readonly configuration: {peers: {id: string; voter: boolean}[]};
}

async function voters(): Promise<string[]> {
  const {configuration, leader} = await ctl<Status>('status');
  if (!leader) return [];
  return configuration.peers.filter(({voter}) => voter).map(({id}) => id);
}

async function start(controls = 3): Promise<void> {
  fleet = await Fleet.start({
    controls,
    proxies: 2,
    services: [SERVICE],
    members: 3,
    service: {connections: 8},
  });
  await waitUntil(
    async () => (await voters()).length === controls,
    'all voters',
    SETTLED_MS,
  );
}

/** A settings file that differs from the fleet's in the age of reviews. */
function variant(ageMs: number): string {
  const file = join(fleet.folder, `variant-${ageMs}.ini`);
  const text = fleet.settingsText.replace(/age_ms = 2000/, `age_ms = ${ageMs}`);
  writeFileSync(file, text);
  return file;
}

async function versions(): Promise<number[]> {
  return Promise.all(
    fleet.proxies.map(async ({statusPort}) => {
      const page = await fetchJson(statusPort, '/status');
      return (page as {settingsVersion: number}).settingsVersion;
    }),
  );
}

describe('changes of settings', () => {
  it('are in force at every proxy within 2 seconds', async () => {
    await start();
    const result = await ctl('apply', variant(3_000));
    const acceptedAt = Date.now();
    expect(result).toMatchObject({accepted: true, version: 1});
    await waitUntil(
      async () => (await versions()).every(v => v === 1),
      'version 1',
    );
    expect(Date.now() - acceptedAt).toBeLessThan(2_000);
  });

  // Two operators change settings at once, both based on version 0. One wins;
  // the other must hear that it did not, and who did.
  it('that race with equal numbers: one wins, the others hear which', async () => {
    await start();
    const files = [3_000, 4_000, 5_000, 6_000].map(variant);
    const results = await Promise.all(
      files.map((...[file, at]) => {
        const change = ['--change-id', `race-${at}`, '--base-version', '0'];
        return ctl('apply', file, ...change);
      }),
    );
    const winners = results.filter(({accepted}) => accepted);
    expect(winners).toHaveLength(1);
    const winner = winners[0]!.winnerChangeId;
    for (const {accepted, winnerChangeId} of results) {
      if (!accepted) expect(winnerChangeId).toBe(winner);
    }
  });

  // The answer to a change is lost, control changes its leader, and the
  // operator sends it again: it gets its first answer, and counts once.
  it('that are sent again get their first answer, after a new leader too', async () => {
    await start();
    const words = ['--change-id', 'again', '--base-version', '0'];
    const first = await ctl('apply', variant(3_000), ...words);
    await ctl('apply', variant(4_000), '--base-version', '1');
    const {instance} = await ctl<Status>('status');
    await fleet.controls.find(({name}) => name === instance)!.kill();
    const again = await ctl('apply', variant(3_000), ...words);
    expect(again).toEqual(first);
    await waitUntil(
      async () => (await versions()).every(v => v === 2),
      'version 2',
    );
  });

  // A control leader is cut off in silence, settings change without it, and it
  // returns believing that it leads. No proxy may go back to the old ones.
  it('never go back when an isolated leader returns', async () => {
    await start();
    await ctl('apply', variant(3_000));
    const {instance} = await ctl<Status>('status');
    const old = fleet.controls.find(({name}) => name === instance)!;
    old.sendSignal('SIGSTOP');
    await waitUntil(
      async () => {
        const result = await ctl(
          'apply',
          variant(4_000),
          '--base-version',
          '1',
        );
        return result.accepted;
      },
      'a change without it',
      15_000,
    );
    await waitUntil(
      async () => (await versions()).every(v => v === 2),
      'version 2',
    );
    old.sendSignal('SIGCONT');
    await new Promise(resolve => setTimeout(resolve, 1_500));
    expect(await versions()).toEqual([2, 2]);
    const caller = await client(fleet, 0);
    expect(await outcome(caller, 'SELECT 1 AS one')).toEqual([{one: '1'}]);
    await caller.end();
  });

  it('that are wrong are refused with every fault', async () => {
    await start(1);
    const file = join(fleet.folder, 'wrong.ini');
    writeFileSync(file, `${fleet.settingsText}[class.x]\nage_ms = old\n`);
    await expect(ctl('apply', file)).rejects.toThrow(/age_ms: found "old"/);
    expect(await versions()).toEqual([0, 0]);
  });
});

describe('the disks of control', () => {
  // One instance loses its disk and comes back empty. It must not vote under
  // its old name; once it has caught up it takes the old one's place. A second
  // one is lost right after: nothing that was accepted is gone.
  it('one lost, repaired, then a second one lost', async () => {
    await start();
    await ctl('apply', variant(3_000));
    const {instance} = await ctl<Status>('status');
    const [lost, second] = fleet.controls.filter(({name}) => name !== instance);
    const before = await voters();
    await lost!.kill();
    for (const name of readdirSync(lost!.data)) rmSync(join(lost!.data, name));
    lost!.start();
    await waitUntil(
      async () => {
        const now = await voters();
        return now.length === 3 && now.some(id => !before.includes(id));
      },
      'the repaired voter',
      SETTLED_MS,
    );
    await second!.kill();
    const result = await ctl('apply', variant(4_000), '--base-version', '1');
    expect(result).toMatchObject({accepted: true, version: 2});
  });

  // All three are killed at once and start again after hundreds of changes.
  it('bring everything back after a kill of all three', async () => {
    await start();
    await ctl('apply', variant(3_000));
    await Promise.all(fleet.controls.map(control => control.kill()));
    for (const control of fleet.controls) control.start();
    const result = await ctl('apply', variant(4_000), '--base-version', '1');
    expect(result).toMatchObject({accepted: true, version: 2});
    const caller = await client(fleet, 0);
    await caller.query('CREATE TABLE t (id text PRIMARY KEY)');
    await caller.end();
  });

  it('that are damaged stop the instance with a clear error', async () => {
    await start(1);
    const [control] = fleet.controls;
    await control!.kill();
    writeFileSync(join(control!.data, 'snapshot'), 'rubbish');
    control!.start();
    expect(await control!.waitForExit()).toBe(74);
    expect(control!.log).toContain('data folder damaged: snapshot file');
  });
});

describe('a program with wrong settings', () => {
  it('starts nothing and says what is wrong', async () => {
    fleet = await Fleet.prepare({
      controls: 1,
      proxies: 1,
      services: [SERVICE],
      members: 3,
      system: {lease_ms: 'soon'},
    });
    const [proxy] = fleet.proxies;
    proxy!.start();
    expect(await proxy!.waitForExit()).toBe(78);
    expect(proxy!.log).toMatch(/settings\.ini:3: lease_ms: found "soon"/);
  });
});
