import {execFile} from 'node:child_process';
import {readdirSync, rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {afterEach, describe, expect, it} from 'vitest';
import {fetchJson, Fleet, waitUntil} from '../../bench/fleet/fleet';
import {reportFailedTests} from '../process_report';
import {connectToProxy, runQuery, SERVICE} from '../support';

const execute = promisify(execFile);
const VOTERS_TIMEOUT_MS = 10_000;

let fleet: Fleet;
reportFailedTests(() => fleet);
afterEach(() => fleet.stop());

interface ApplyResult {
  readonly accepted: boolean;
  readonly version: number;
  readonly winnerChangeId: string;
}

/** Runs bulrushctl and returns its JSON output. */
async function runCtl<T = ApplyResult>(...args: string[]): Promise<T> {
  const control = fleet.controls.map(({port}) => `127.0.0.1:${port}`).join(',');
  const ctlArgs = ['dist/bulrushctl.cjs', ...args, '--control', control];
  try {
    const {stdout} = await execute(process.execPath, [...ctlArgs, '--json']);
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

async function listVoters(): Promise<string[]> {
  const {configuration, leader} = await runCtl<Status>('status');
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
    async () => (await listVoters()).length === controls,
    'all voters',
    VOTERS_TIMEOUT_MS,
  );
}

/** Writes the fleet's settings with another age limit for reviews. */
function writeVariant(ageMs: number): string {
  const file = join(fleet.folder, `variant-${ageMs}.ini`);
  const text = fleet.settingsText.replace(/age_ms = 2000/, `age_ms = ${ageMs}`);
  writeFileSync(file, text);
  return file;
}

async function settingsVersions(): Promise<number[]> {
  return Promise.all(
    fleet.proxies.map(async ({statusPort}) => {
      const page = await fetchJson(statusPort, '/status');
      return (page as {settingsVersion: number}).settingsVersion;
    }),
  );
}

describe('settings changes', () => {
  it('take effect at every proxy within 2 seconds', async () => {
    await start();
    const result = await runCtl('apply', writeVariant(3_000));
    const acceptedAt = Date.now();
    expect(result).toMatchObject({accepted: true, version: 1});
    await waitUntil(
      async () => (await settingsVersions()).every(version => version === 1),
      'version 1',
    );
    expect(Date.now() - acceptedAt).toBeLessThan(2_000);
  });

  // Guards against losing one of several concurrent changes with the same base
  // version without telling its operator.
  it('are accepted once per base version, naming the winner', async () => {
    await start();
    const files = [3_000, 4_000, 5_000, 6_000].map(writeVariant);
    const results = await Promise.all(
      files.map((...[file, index]) => {
        const change = ['--change-id', `race-${index}`, '--base-version', '0'];
        return runCtl('apply', file, ...change);
      }),
    );
    const winners = results.filter(({accepted}) => accepted);
    expect(winners).toHaveLength(1);
    const winner = winners[0]!.winnerChangeId;
    for (const {accepted, winnerChangeId} of results) {
      if (!accepted) expect(winnerChangeId).toBe(winner);
    }
  });

  // Guards against applying a change twice when an operator retries it after a
  // change of the control leader.
  it('get the first reply when retried at a new leader', async () => {
    await start();
    const changeArgs = ['--change-id', 'again', '--base-version', '0'];
    const first = await runCtl('apply', writeVariant(3_000), ...changeArgs);
    await runCtl('apply', writeVariant(4_000), '--base-version', '1');
    const {instance} = await runCtl<Status>('status');
    await fleet.controls.find(({name}) => name === instance)!.kill();
    const repeated = await runCtl('apply', writeVariant(3_000), ...changeArgs);
    expect(repeated).toEqual(first);
    await waitUntil(
      async () => (await settingsVersions()).every(version => version === 2),
      'version 2',
    );
  });

  // Guards against a former control leader reverting the settings when it
  // resumes and still considers itself the leader.
  it('are not reverted by a former leader that resumes', async () => {
    await start();
    await runCtl('apply', writeVariant(3_000));
    const {instance} = await runCtl<Status>('status');
    const suspended = fleet.controls.find(({name}) => name === instance)!;
    suspended.sendSignal('SIGSTOP');
    await waitUntil(
      async () => {
        const result = await runCtl(
          'apply',
          writeVariant(4_000),
          '--base-version',
          '1',
        );
        return result.accepted;
      },
      'a change accepted by the new leader',
      15_000,
    );
    await waitUntil(
      async () => (await settingsVersions()).every(version => version === 2),
      'version 2',
    );
    suspended.sendSignal('SIGCONT');
    await new Promise(resolve => setTimeout(resolve, 1_500));
    expect(await settingsVersions()).toEqual([2, 2]);
    const caller = await connectToProxy(fleet, 0);
    expect(await runQuery(caller, 'SELECT 1 AS one')).toEqual([{one: '1'}]);
    await caller.end();
  });

  it('that are invalid are refused with the errors found', async () => {
    await start(1);
    const file = join(fleet.folder, 'wrong.ini');
    writeFileSync(file, `${fleet.settingsText}[class.x]\nage_ms = old\n`);
    await expect(runCtl('apply', file)).rejects.toThrow(/age_ms: found "old"/);
    expect(await settingsVersions()).toEqual([0, 0]);
  });
});

describe('control storage', () => {
  // An instance that lost its disk must rejoin with a new identity and catch up
  // before it votes. Guards against losing accepted changes when a second
  // instance fails afterwards.
  it('survives a lost disk and then a failed instance', async () => {
    await start();
    await runCtl('apply', writeVariant(3_000));
    const {instance} = await runCtl<Status>('status');
    const [lost, second] = fleet.controls.filter(({name}) => name !== instance);
    const votersBefore = await listVoters();
    await lost!.kill();
    for (const name of readdirSync(lost!.data)) rmSync(join(lost!.data, name));
    lost!.start();
    await waitUntil(
      async () => {
        const now = await listVoters();
        return now.length === 3 && now.some(id => !votersBefore.includes(id));
      },
      'the repaired voter',
      VOTERS_TIMEOUT_MS,
    );
    await second!.kill();
    const result = await runCtl(
      'apply',
      writeVariant(4_000),
      '--base-version',
      '1',
    );
    expect(result).toMatchObject({accepted: true, version: 2});
  });

  it('restores the settings after all instances were killed', async () => {
    await start();
    await runCtl('apply', writeVariant(3_000));
    await Promise.all(fleet.controls.map(control => control.kill()));
    for (const control of fleet.controls) control.start();
    const result = await runCtl(
      'apply',
      writeVariant(4_000),
      '--base-version',
      '1',
    );
    expect(result).toMatchObject({accepted: true, version: 2});
    const caller = await connectToProxy(fleet, 0);
    await caller.query('CREATE TABLE t (id text PRIMARY KEY)');
    await caller.end();
  });

  it('stops the instance with an error if it is damaged', async () => {
    await start(1);
    const [control] = fleet.controls;
    await control!.kill();
    writeFileSync(join(control!.data, 'snapshot'), 'rubbish');
    control!.start();
    expect(await control!.waitForExit()).toBe(74);
    expect(control!.log).toContain(
      'data folder damaged: the snapshot file has a wrong checksum',
    );
  });
});

describe('a program with invalid settings', () => {
  it('exits and reports the invalid value', async () => {
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
