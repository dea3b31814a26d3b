import {command, flag, run} from 'cmd-ts';
import {textOption, numberOption} from '../../base/node/arguments';
import {parseAddress} from '../../base/common/address';
import {createServer, listen} from '../../base/node/grpc';
import {configureLogs, createLog} from '../../base/node/log';
import {MonotonicClock} from '../../base/node/monotonic_clock';
import {newIncarnation} from '../../base/node/incarnation';
import {
  EXIT_UNAVAILABLE,
  EXIT_USAGE,
  fail,
  stopSignal,
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

const APPLY_TICK_MS = 5;

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
    fail(EXIT_USAGE, [`--listen ${args.listen}: host:port is allowed`]);
  }
  const signal = stopSignal();
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
  every(signal, APPLY_TICK_MS, () => member.applyDue());

  const links = createServer();
  const replication = new ReplicationService(member, signal);
  links.addService(ReplicationDefinition, replication.handlers);
  const linked = await listen(links, args.replication, signal);
  if (linked.isErr) fail(EXIT_UNAVAILABLE, [linked.error.message]);

  const host = {
    member,
    grammar: await PostgresGrammar.load(),
    slots: new Slots(args.slots),
    statementCostMs: args.statementCostMs,
    setting: (name: string, value: string) => applySetting(member, name, value),
  };
  const server = new DatabaseServer(host, args, signal);
  await server.listen(address.port, address.host);
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
      member.leaving = value === 'on' || value === 'true';
      member.onUpstreamChange();
      return true;
    default:
      return false;
  }
}

const program = command({
  name: 'bulrushstage-standin',
  version: VERSION,
  description: 'A stand-in database member for development and tests.',
  args: {
    service: textOption('service', 'name of the group'),
    instance: textOption('instance', 'name of this member'),
    site: textOption('site', 'site it stands in'),
    listen: textOption('listen', 'host:port for callers'),
    replication: textOption('replication', 'host:port for replicas'),
    announce: textOption('announce', 'host:port list to announce to', ''),
    slots: numberOption('slots', 'transactions at once', 2),
    connections: numberOption('connections', 'connections at once', 16),
    connectionCostMs: numberOption(
      'connection-cost-ms',
      'cost of opening one',
      0,
    ),
    statementCostMs: numberOption(
      'statement-cost-ms',
      'cost of a statement',
      0,
    ),
    receiveDelayMs: numberOption('receive-delay-ms', 'delay of replication', 0),
    applyLagMs: numberOption('apply-lag-ms', 'lag of applying', 0),
    jsonLogs: flag({long: 'json-logs', description: 'log lines as JSON'}),
  },
  handler: main,
});

void run(program, process.argv.slice(2));
