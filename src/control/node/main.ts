import {randomInt} from 'node:crypto';
import {command, flag, option, run, string} from 'cmd-ts';
import {SeededRandom} from '../../base/common/random';
import {detach} from '../../base/node/broken_invariant';
import {createServer, listen} from '../../base/node/grpc';
import {configureLogs, createLog} from '../../base/node/log';
import {MonotonicClock} from '../../base/node/monotonic_clock';
import {
  EXIT_IO_ERROR,
  EXIT_SETTINGS,
  EXIT_USAGE,
  exit,
  listenOrExit,
  createStopSignal,
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
import {MembershipWatch} from '../../services/consensus/common/membership_watch';
import {ConsensusNode} from '../../services/consensus/node/consensus_node';
import {requestJoinWhileOutside} from '../../services/consensus/node/join_requests';
import {LogStorage} from '../../services/consensus/node/log_storage';
import {MembershipLog} from '../../services/membership/node/membership_log';
import {
  formatSettingsError,
  type Settings,
} from '../../services/settings/common/settings';
import {loadSettings} from '../../services/settings/node/settings_files';
import {AnnouncementService} from '../../schema/generated/announcement_service';
import {ConsensusService} from '../../schema/generated/consensus_service';
import {ControlService} from '../../schema/generated/control';
import {consensusHandlers} from './consensus_handlers';
import {ControlStateMachine} from './control_state_machine';
import {Leadership} from './leadership';
import {OperatorService} from './operator_service';
import {PeerTransport} from './peer_transport';
import {SettingsInForce} from './settings_in_force';

const DRIVE_INTERVAL_MS = 20;
const RECONCILE_INTERVAL_MS = 200;
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
  const fileSettings = loadSettingsOrExit(args.settings);
  const self = fileSettings.control.find(
    ({instance}) => instance === args.instance,
  );
  if (!self) {
    const names = fileSettings.control.map(({instance}) => instance).join(', ');
    exit(EXIT_USAGE, [
      `--instance ${args.instance}: expected one of: ${names}`,
    ]);
  }
  const signal = createStopSignal();
  const clock = new MonotonicClock();
  const {core, storage} = await openConsensus(args, fileSettings, self.address);
  const stateMachine = new ControlStateMachine(log);
  stateMachine.restore(core.baseSnapshot.state);
  const {machine} = stateMachine;

  let leadership: Leadership | undefined;
  const membershipLog = new MembershipLog(core, log);
  const settings = new SettingsInForce(machine, fileSettings, log);
  const transport = new PeerTransport(self.address, signal);
  const node: ConsensusNode = new ConsensusNode(
    core,
    storage,
    stateMachine,
    transport,
    {
      onDidChangeRole: role => {
        log.info('The consensus role changed.', {role, term: core.currentTerm});
        leadership?.end();
        leadership =
          role === 'leader'
            ? new Leadership(dependencies, clock.now())
            : undefined;
      },
      onDidApply: () => leadership?.drive(),
      onDidChangeConfiguration: () => membershipLog.onDidChangeConfiguration(),
      onDidFail: ({kind, detail}) => {
        exit(EXIT_IO_ERROR, [`control: data folder ${kind}: ${detail}`]);
      },
    },
    clock,
    ENTRIES_PER_SNAPSHOT,
  );
  const directory = new TargetDirectory();
  const observer = new AnnouncementObserver(directory, clock, {
    onDidChangeTarget: (...[, status]) => {
      if (status) leadership?.onTargetStatus(status);
      leadership?.drive();
    },
    onDidSample: () => {},
    onDidReplyToOrder: () => leadership?.drive(),
  });
  const dependencies = {
    machine,
    directory,
    observer,
    node,
    clock,
    settings: () => settings.get(),
  };

  const leaderAddress = () => {
    return transport.addressOf(node.leader, core.configuration);
  };
  const operators = new OperatorService({
    instance: args.instance,
    log,
    machine,
    node,
    settings,
    leadership: () => (node.isLeading ? leadership : undefined),
    leaderAddress,
    now: () => clock.now(),
  });
  const server = createServer();
  server.addService(ControlService, operators.handlers);
  server.addService(AnnouncementService, observer.handlers);
  server.addService(
    ConsensusService,
    consensusHandlers({
      receive(message) {
        transport.recordAddress(message);
        node.receive(message);
      },
      join(request) {
        const isLeader = core.role === 'leader';
        if (isLeader) leadership?.onJoinRequest(request);
        return isLeader;
      },
      leaderAddress,
    }),
  );
  await listenOrExit(
    log,
    {address: self.address, clients: 'instances'},
    listen(server, self.address, signal),
  );

  observer.start(fileSettings.system.pingMs, signal);
  every(signal, DRIVE_INTERVAL_MS, () => leadership?.drive());
  every(signal, RECONCILE_INTERVAL_MS, () => leadership?.reconcile());
  const joinRequest = {id: core.id, address: self.address, leaving: false};
  const otherInstances = fileSettings.control.filter(other => other !== self);
  const addresses = () => otherInstances.map(({address}) => address);
  const membership = new MembershipWatch(core, self.address);
  const isOutside = () => membership.isOutside(clock.now());
  requestJoinWhileOutside(joinRequest, addresses, isOutside, transport, signal);
  log.info('Ready.', {id: core.id, address: self.address});
  await node.start(signal);
}

function loadSettingsOrExit(file: string): Settings {
  const settings = loadSettings(file, '');
  if (settings.isErr) {
    exit(EXIT_SETTINGS, settings.error.map(formatSettingsError));
  }
  return settings.value;
}

async function openConsensus(
  args: Arguments,
  settings: Settings,
  address: string,
) {
  const opened = await LogStorage.open(args.data, args.instance);
  if (opened.isErr) {
    const {kind, detail} = opened.error;
    exit(EXIT_IO_ERROR, [`control: data folder ${kind}: ${detail}`]);
  }
  const {storage, id} = opened.value;
  let {persisted} = opened.value;
  // Of several instances only the one with --bootstrap creates the group; two
  // instances that did so on their own would be two separate groups.
  const startsGroup = args.bootstrap || settings.control.length === 1;
  if (!persisted && startsGroup) {
    persisted = singlePeerState({id, address, voter: true});
    const {snapshot} = persisted;
    const installed = await storage.install(snapshot, []);
    if (installed.isErr) exit(EXIT_IO_ERROR, [installed.error.detail]);
  }
  const core = new Consensus(
    id,
    persisted ?? emptyState(),
    settings.system,
    new SeededRandom(randomInt(2 ** 31)),
  );
  return {core, storage};
}

const program = command({
  name: 'bulrushstage-control',
  version: VERSION,
  description: 'Runs one instance of control: replicated log and failover.',
  args: {
    settings: option({
      long: 'settings',
      type: string,
      description: 'base settings file',
    }),
    instance: option({
      long: 'instance',
      type: string,
      description: 'name of this instance in [system] control',
    }),
    data: option({long: 'data', type: string, description: 'data folder'}),
    bootstrap: flag({
      long: 'bootstrap',
      description: 'create a new system if the data folder is empty',
    }),
    jsonLogs: flag({long: 'json-logs', description: 'write log lines as JSON'}),
    verbose: flag({long: 'verbose', description: 'write debug lines too'}),
  },
  handler: main,
});

detach('program', run(program, process.argv.slice(2)));
