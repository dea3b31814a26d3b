import {randomInt} from 'node:crypto';
import {command, flag, option, run, string} from 'cmd-ts';
import {SeededRandom} from '../../base/common/random';
import {createServer, listen} from '../../base/node/grpc';
import {configureLogs, createLog} from '../../base/node/log';
import {MonotonicClock} from '../../base/node/monotonic_clock';
import {
  EXIT_IO_ERROR,
  EXIT_SETTINGS,
  EXIT_UNAVAILABLE,
  EXIT_USAGE,
  fail,
  stopSignal,
  VERSION,
} from '../../base/node/program';
import {every} from '../../base/node/timers';
import {TargetDirectory} from '../../services/announcement/common/target_directory';
import {AnnouncementObserver} from '../../services/announcement/node/announcement_observer';
import {Consensus} from '../../services/consensus/common/consensus';
import {
  singlePeerState,
  emptyState,
} from '../../services/consensus/common/initial_state';
import {ConsensusNode} from '../../services/consensus/node/consensus_node';
import {requestJoinUntilVoter} from '../../services/consensus/node/join_requests';
import {LogStorage} from '../../services/consensus/node/log_storage';
import {
  formatSettingsError,
  type Settings,
} from '../../services/settings/common/settings';
import {loadSettings} from '../../services/settings/node/settings_files';
import {AnnouncementService} from '../../schema/generated/announcement_service';
import {
  ConsensusService,
  type ConsensusServer,
} from '../../schema/generated/consensus_service';
import {ControlService} from '../../schema/generated/control';
import {ControlStateMachine} from './control_state_machine';
import {Leadership} from './leadership';
import {OperatorService} from './operator_service';
import {PeerTransport} from './peer_transport';
import {SettingsInForce} from './settings_in_force';

const DRIVE_MS = 20;
const TEND_MS = 200;
const ENTRIES_PER_SNAPSHOT = 1_000;

interface Arguments {
  readonly settings: string;
  readonly instance: string;
  readonly data: string;
  readonly bootstrap: boolean;
  readonly jsonLogs: boolean;
  readonly verbose: boolean;
}

async function main(args: Arguments): Promise<void> {
  configureLogs(args.jsonLogs ? 'json' : 'text', args.verbose);
  const log = createLog('control');
  const own = checkedSettings(args.settings);
  const self = own.control.find(({instance}) => instance === args.instance);
  if (!self) {
    const names = own.control.map(({instance}) => instance).join(', ');
    fail(EXIT_USAGE, [`--instance ${args.instance}: allowed: ${names}`]);
  }
  const signal = stopSignal();
  const clock = new MonotonicClock();
  const {core, storage} = await openCore(args, own, self.address);
  const stateMachine = new ControlStateMachine();
  stateMachine.restore(core.baseSnapshot.state);
  const {machine} = stateMachine;

  let leadership: Leadership | undefined;
  const settings = new SettingsInForce(machine, own);
  const transport = new PeerTransport(self.address, signal);
  const node: ConsensusNode = new ConsensusNode(
    core,
    storage,
    stateMachine,
    transport,
    {
      onDidChangeRole: role => {
        log.info('Changed its part.', {role, term: core.currentTerm});
        leadership?.end();
        leadership =
          role === 'leader' ? new Leadership(around, clock.now()) : undefined;
      },
      onDidApply: () => leadership?.drive(),
      onDidFail: ({kind, detail}) => {
        fail(EXIT_IO_ERROR, [`control: data folder ${kind}: ${detail}`]);
      },
    },
    clock,
    ENTRIES_PER_SNAPSHOT,
  );
  const directory = new TargetDirectory();
  const observer = new AnnouncementObserver(directory, clock, {
    onDidChangeTarget: (...[, status]) => {
      if (status) leadership?.onTarget(status);
      leadership?.drive();
    },
    onDidSample: () => {},
    onDidAnswerOrder: () => leadership?.drive(),
  });
  const around = {
    machine,
    directory,
    observer,
    node,
    clock,
    settings: () => settings.get(),
  };

  const operators = new OperatorService({
    instance: args.instance,
    machine,
    node,
    settings,
    leadership: () => (core.isLeaderReady ? leadership : undefined),
    leaderAddress: () => addressOf(core),
    now: () => clock.now(),
  });
  const server = createServer();
  server.addService(ControlService, operators.handlers);
  server.addService(AnnouncementService, observer.handlers);
  server.addService(
    ConsensusService,
    consensusHandlers(node, transport, () => leadership),
  );
  const listening = await listen(server, self.address, signal);
  if (listening.isErr) fail(EXIT_UNAVAILABLE, [listening.error.message]);

  observer.start(own.system.pingMs, signal);
  every(signal, DRIVE_MS, () => leadership?.drive());
  every(signal, TEND_MS, () => leadership?.tend());
  const joiner = {id: core.id, address: self.address};
  const others = own.control.filter(other => other !== self);
  const addresses = others.map(({address}) => address);
  const settled = () => isSettled(core, self.address);
  requestJoinUntilVoter(joiner, addresses, settled, transport, signal);
  log.info('Ready.', {id: core.id, address: self.address});
  await node.start(signal);
}

function checkedSettings(file: string): Settings {
  const settings = loadSettings(file, '');
  if (settings.isErr) {
    fail(EXIT_SETTINGS, settings.error.map(formatSettingsError));
  }
  return settings.value;
}

async function openCore(args: Arguments, own: Settings, address: string) {
  const opened = await LogStorage.open(args.data, args.instance);
  if (opened.isErr) {
    const {kind, detail} = opened.error;
    fail(EXIT_IO_ERROR, [`control: data folder ${kind}: ${detail}`]);
  }
  const {storage, id} = opened.value;
  let {persisted} = opened.value;
  // With several instances only one may start a system, and only when it is
  // told to: two that did so by themselves would be two systems.
  const starts = args.bootstrap || own.control.length === 1;
  if (!persisted && starts) {
    persisted = singlePeerState({id, address, voter: true});
    const {snapshot} = persisted;
    const installed = await storage.install(snapshot, []);
    if (installed.isErr) fail(EXIT_IO_ERROR, [installed.error.detail]);
  }
  const core = new Consensus(
    id,
    persisted ?? emptyState(),
    own.system,
    new SeededRandom(randomInt(2 ** 31)),
  );
  return {core, storage};
}

function isSettled(core: Consensus, address: string): boolean {
  return core.configuration.peers.some(peer => {
    return peer.id === core.id && peer.voter && peer.address === address;
  });
}

function addressOf(core: Consensus): string {
  const {peers} = core.configuration;
  return peers.find(({id}) => id === core.leader)?.address ?? '';
}

function consensusHandlers(
  node: ConsensusNode,
  transport: PeerTransport,
  leadership: () => Leadership | undefined,
): ConsensusServer {
  return {
    deliver(call, respond) {
      transport.learn(call.request);
      node.receive(call.request);
      respond(null, {});
    },
    join(call, respond) {
      const {core} = node;
      const accepted = core.role === 'leader';
      if (accepted) leadership()?.onJoin(call.request);
      respond(null, {accepted, leaderAddress: addressOf(core)});
    },
  };
}

const program = command({
  name: 'bulrushstage-control',
  version: VERSION,
  description: 'One instance of control: the replicated log and decisions.',
  args: {
    settings: option({
      long: 'settings',
      type: string,
      description: 'base file of the settings',
    }),
    instance: option({
      long: 'instance',
      type: string,
      description: 'name of this instance in [system] control',
    }),
    data: option({long: 'data', type: string, description: 'data folder'}),
    bootstrap: flag({
      long: 'bootstrap',
      description: 'start a new system where the data folder is empty',
    }),
    jsonLogs: flag({long: 'json-logs', description: 'log lines as JSON'}),
    verbose: flag({long: 'verbose', description: 'log more'}),
  },
  handler: main,
});

void run(program, process.argv.slice(2));
