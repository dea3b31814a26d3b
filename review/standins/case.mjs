// What all scripts share: the record, the configuration and the end.
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Fleet} from './fleet.mjs';
import {Group} from './group.mjs';

/** A script that takes longer has not run. */
const MAX_MS = 110_000;
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

const LIMITS = {
  'max-header-bytes': 16_384,
  'max-body-bytes': 262_144,
  'header-timeout-ms': 3_000,
  'idle-timeout-ms': 15_000,
  'tx-idle-ms': 3_000,
};

/** The name of a service; the first one is 1. */
const serviceName = number => `accounts${number}`;

/** The configuration of some services with a route of each kind for each. */
export function makeConfiguration(version, serviceCount = 1) {
  const numbers = [...Array(serviceCount).keys()].map(index => index + 1);
  return {
    version,
    routes: numbers.flatMap(number => [
      makeRoute(number, 'lodge', 'primary'),
      makeRoute(number, 'review', 'bounded', {'max-staleness-ms': 1_500}),
      makeRoute(number, 'reconcile', 'session', {'max-staleness-ms': 2_500}),
    ]),
    services: numbers.map(number => ({
      name: serviceName(number),
      'health-path': '/healthz',
      'max-conns': 16,
      proto: 'h1',
      tls: false,
      'sync-replicas': 1,
    })),
    limits: LIMITS,
  };
}

function makeRoute(number, name, kind, more = {}) {
  const host = `${name}${number}`;
  return {
    name: `r-${host}`,
    host,
    prefix: '/',
    kind,
    'timeout-ms': 800,
    'slo-ms': 800,
    priority: 1,
    service: serviceName(number),
    attempts: 2,
    ...more,
  };
}

/** Starts a fleet and services of three members, and sends a configuration. */
async function startDeployment(record, serviceCount) {
  const fleet = new Fleet(record);
  const configuration = makeConfiguration(1, serviceCount);
  const groups = configuration.services.map(({name}) => {
    return new Group(name, record);
  });
  await fleet.start((service, id, token, holder) => {
    const group = groups.find(other => other.service === service);
    return group?.promote(id, token, holder) ?? 409;
  });
  for (const [number, group] of groups.entries()) {
    for (let index = 1; index <= 3; index++) {
      const id = `m-${number + 1}-${index}`;
      const options = {isPrimary: index === 1};
      await group.add(id, fleet.takeAddress(), options).start(fleet.seeds);
    }
  }
  const isServed = (await fleet.submit(JSON.stringify(configuration))) === 200;
  const isReady = isServed && (await fleet.waitUntilReady());
  return {fleet, groups, isReady};
}

/**
 * Runs a script, with or without its disruption, writes its record and exits
 * with its result.
 */
export async function runCase(folder, {play, hasTrouble, serviceCount = 1}) {
  const startedAt = Date.now();
  const lines = [];
  const record = text => {
    const seconds = ((Date.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} s  ${text}`);
  };
  record(`the script runs ${hasTrouble ? 'with' : 'without'} the disruption`);
  const deployment = await startDeployment(record, serviceCount);
  const {fleet, groups, isReady} = deployment;
  const end = async (result, reason) => {
    record(`result ${result}: ${reason}`);
    const members = groups.flatMap(group => group.members);
    for (const member of members) if (member.isUp) await member.crash();
    await fleet.stop();
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    console.log(`${reason}; exit ${result}`);
    process.exit(result);
  };
  const timer = setTimeout(() => end(NOT_RUN, 'it took too long'), MAX_MS);
  process.once('uncaughtException', error => void end(NOT_RUN, error.message));
  process.once('SIGTERM', () => void end(NOT_RUN, 'it was stopped'));
  if (!isReady) return end(NOT_RUN, 'the deployment did not start');
  const {result, reason} = await play({fleet, groups, record, hasTrouble});
  clearTimeout(timer);
  await end(result, reason);
}
