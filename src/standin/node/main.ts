import {command, flag, run} from 'cmd-ts';
import {textOption, numberOption} from '../../base/node/arguments';
import {parseAddress} from '../../base/common/address';
import {detach} from '../../base/node/broken_invariant';
import {createServer, listen} from '../../base/node/grpc';
import {configureLogs, createLog} from '../../base/node/log';
import {MonotonicClock} from '../../base/node/monotonic_clock';
import {newIncarnation} from '../../base/node/incarnation';
import {
  EXIT_USAGE,
  exit,
  listenOrExit,
  createStopSignal,
  VERSION,
} from '../../base/node/program';
import {every} from '../../base/node/timers';
import {Announcer} from '../../services/announcement/node/announcer';
import {PostgresGrammar} from '../../services/sql/node/postgres_grammar';
import {ReplicationService as ReplicationDefinition} from '../../schema/generated/replication';
import {DatabaseServer} from './database_server';
import {GroupMember, type MemberIdentity} from './group_member';
import {ReplicationService} from './replication_service';
import {Slots} from './slots';
import {GrpcUpstreams} from './upstream';

const APPLY_INTERVAL_MS = 5;

interface Arguments {
  readonly service: string;
  readonly instance: string;
  readonly site: string;
  readonly listen: string;
  readonly replication: string;
  readonly announce: string;
  readonly slots: number;
  readonly connections: number;
  readonly connectionCostMs: number;
  readonly statementCostMs: number;
  readonly receiveDelayMs: number;
  readonly applyLagMs: number;
  readonly jsonLogs: boolean;
}

async function main(args: Arguments): Promise<void> {
  configureLogs(args.jsonLogs ? 'json' : 'text', false);
  const log = createLog('standin');
  const address = parseAddress(args.listen);
  if (!address) {
    exit(EXIT_USAGE, [`--listen ${args.listen}: expected host:port`]);
  }
  const signal = createStopSignal();
  const identity: MemberIdentity = {
    service: args.service,
    instance: args.instance,
    site: args.site,
    incarnation: newIncarnation(),
    address: args.listen,
    replicationAddress: args.replication,
  };
  const upstreams = new GrpcUpstreams(signal);
  const member = new GroupMember(identity, upstreams, new MonotonicClock());
  member.delays.receiveMs = args.receiveDelayMs;
  member.delays.applyMs = args.applyLagMs;
  every(signal, APPLY_INTERVAL_MS, () => member.applyDueEntries());

  const replicationServer = createServer();
  const replication = new ReplicationService(member, signal);
  replicationServer.addService(ReplicationDefinition, replication.handlers);
  await listenOrExit(
    log,
    {address: args.replication, clients: 'members'},
    listen(replicationServer, args.replication, signal),
  );

  const dependencies = {
    member,
    grammar: await PostgresGrammar.load(),
    slots: new Slots(args.slots),
    statementCostMs: args.statementCostMs,
    trySet: (name: string, value: string) => applySetting(member, name, value),
  };
  const databaseServer = new DatabaseServer(dependencies, args, signal);
  await listenOrExit(
    log,
    {address: args.listen, clients: 'proxies'},
    databaseServer.listen(address.port, address.host),
  );
  const announcers = args.announce
    .split(',')
    .filter(text => text !== '')
    .map(observer => new Announcer(member, observer, signal));
  member.onDidChange(() => {
    for (const announcer of announcers) announcer.announce();
  });
  log.info('Ready.', {
    service: identity.service,
    instance: identity.instance,
    address: args.listen,
  });
}

function applySetting(
  member: GroupMember,
  name: string,
  value: string,
): boolean {
  switch (name) {
    case 'member.apply_lag_ms':
      member.delays.applyMs = Number(value);
      return true;
    case 'member.receive_delay_ms':
      member.delays.receiveMs = Number(value);
      return true;
    case 'member.leaving':
      member.isLeaving = value === 'on' || value === 'true';
      member.notifyChange();
      return true;
    default:
      return false;
  }
}

const program = command({
  name: 'bulrushstage-standin',
  version: VERSION,
  description: 'Stand-in database member for development and tests.',
  args: {
    service: textOption('service', 'name of the service'),
    instance: textOption('instance', 'name of this member'),
    site: textOption('site', 'site of this member'),
    listen: textOption('listen', 'host:port for callers'),
    replication: textOption('replication', 'host:port for replicas'),
    announce: textOption('announce', 'observers as host:port,host:port', ''),
    slots: numberOption('slots', 'maximum concurrent transactions', 2),
    connections: numberOption('connections', 'maximum open connections', 16),
    connectionCostMs: numberOption(
      'connection-cost-ms',
      'duration of connecting',
      0,
    ),
    statementCostMs: numberOption(
      'statement-cost-ms',
      'duration of a statement',
      0,
    ),
    receiveDelayMs: numberOption(
      'receive-delay-ms',
      'delay before receiving',
      0,
    ),
    applyLagMs: numberOption('apply-lag-ms', 'delay before applying', 0),
    jsonLogs: flag({long: 'json-logs', description: 'write logs as JSON'}),
  },
  handler: main,
});

detach('program', run(program, process.argv.slice(2)));
