import {once} from 'node:events';
import {createServer} from 'node:net';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {Fleet} from '../../bench/fleet/fleet';
import type {FleetProcess} from '../../bench/fleet/fleet_process';
import {reportFailedTests} from '../process_report';
import {SERVICE} from '../support';

let fleet: Fleet;
reportFailedTests(() => fleet);

beforeEach(async () => {
  fleet = await Fleet.prepare({
    controls: 1,
    proxies: 1,
    services: [SERVICE],
    members: 1,
  });
});

afterEach(() => fleet.stop());

interface Listener {
  readonly process: FleetProcess;
  readonly port: number;
}

const LISTENERS: Record<string, () => Listener> = {
  'proxy for callers': () => listenerOf(fleet.proxies[0]!, 'port'),
  'proxy for targets': () => listenerOf(fleet.proxies[0]!, 'announcementsPort'),
  'proxy for operators': () => listenerOf(fleet.proxies[0]!, 'statusPort'),
  'control instance': () => listenerOf(fleet.controls[0]!, 'port'),
  'member for proxies': () => listenerOf(fleet.targets[0]!, 'port'),
  'member for members': () => listenerOf(fleet.targets[0]!, 'replicationPort'),
};

function listenerOf<Key extends string>(
  process: FleetProcess & Readonly<Record<Key, number>>,
  key: Key,
): Listener {
  return {process, port: process[key]};
}

it.each(Object.keys(LISTENERS))(
  'logs that a %s cannot listen, and exits',
  async name => {
    // Guards against a program that stops without a log line that names the
    // address.
    const {process, port} = LISTENERS[name]!();
    const occupant = createServer().listen(port, '127.0.0.1');
    await once(occupant, 'listening');
    process.start();
    expect(await process.waitForExit()).toBe(69);
    occupant.close();
    const line = process.log.split('\n').find(text => {
      return text.includes('Cannot listen, exiting.');
    });
    expect(line).toContain(`address=127.0.0.1:${port}`);
    expect(line).toMatch(/ error .*clients=.*EADDRINUSE/);
  },
);
