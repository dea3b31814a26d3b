import {command, flag, run} from 'cmd-ts';
import {textOption} from '../../base/node/arguments';
import {parseAddress, type Address} from '../../base/common/address';
import {siteId} from '../../base/common/ids';
import {detach} from '../../base/node/broken_invariant';
import {createServer, listen} from '../../base/node/grpc';
import {configureLogs, createLog} from '../../base/node/log';
import {MonotonicClock} from '../../base/node/monotonic_clock';
import {newIncarnation} from '../../base/node/incarnation';
import {
  EXIT_SETTINGS,
  EXIT_USAGE,
  exit,
  listenOrExit,
  createStopSignal,
  VERSION,
} from '../../base/node/program';
import {createAbortController} from '../../base/node/timers';
import {PostgresGrammar} from '../../services/sql/node/postgres_grammar';
import {
  formatSettingsError,
  parseSettings,
  type Settings,
} from '../../services/settings/common/settings';
import {
  loadSettings,
  readSettingsSource,
} from '../../services/settings/node/settings_files';
import {AnnouncementService} from '../../schema/generated/announcement_service';
import {CallerServer} from './caller_server';
import {ControlLink} from './control_link';
import {ProxyServices} from './proxy_services';
import {RequestMeter} from './request_meter';
import {StatusEndpoint} from './status_endpoint';

interface Arguments {
  readonly settings: string;
  readonly overlay: string;
  readonly instance: string;
  readonly listen: string;
  readonly announcements: string;
  readonly status: string;
  readonly jsonLogs: boolean;
  readonly verbose: boolean;
}

async function main(args: Arguments): Promise<void> {
  configureLogs(args.jsonLogs ? 'json' : 'text', args.verbose);
  const log = createLog('proxy');
  const callersAddress = parseAddressOrExit('--listen', args.listen);
  const statusAddress = parseAddressOrExit('--status', args.status);
  let settings = loadSettingsOrExit(args);
  let settingsVersion = 0;
  const {system} = settings;
  const stopRequested = createStopSignal();
  const running = createAbortController();
  const {signal} = running;
  const clock = new MonotonicClock();
  const meter = new RequestMeter();
  const site = siteId(settings.proxy.site);
  const services = new ProxyServices(settings, site, clock, signal);

  const announcements = createServer();
  announcements.addService(AnnouncementService, services.observer.handlers);
  await listenOrExit(
    log,
    {address: args.announcements, clients: 'targets'},
    listen(announcements, args.announcements, signal),
  );
  services.observer.start(system.pingMs, signal);

  const onSettings = (version: number, text: string) => {
    const parsed = parseSettings(
      {file: 'settings', text},
      args.overlay === '' ? undefined : readSettingsSource(args.overlay),
    );
    settingsVersion = version;
    if (parsed.isErr) {
      const faults = parsed.error.map(formatSettingsError).join('; ');
      log.error('The overlay is invalid for the new settings.', {
        version,
        faults,
      });
      return;
    }
    settings = parsed.value;
    services.applySettings(settings);
    log.info('Applied the settings.', {version});
  };
  const control = new ControlLink(
    {
      proxy: {instance: args.instance, incarnation: newIncarnation()},
      site,
      addresses: settings.control.map(({address}) => address),
      services,
      clock,
      log,
      renewalMs: system.leaseRenewalMs,
      leaseMs: system.leaseMs,
      settingsVersion: () => settingsVersion,
      onSettings,
    },
    signal,
  );
  control.start();

  const callers = new CallerServer(
    {
      services,
      grammar: await PostgresGrammar.load(),
      meter,
      log,
      settings: () => settings,
    },
    signal,
  );
  const endpoint = new StatusEndpoint({
    instance: args.instance,
    site,
    services,
    meter,
    settingsVersion: () => settingsVersion,
    isAttached: () => control.isAttached,
    sessions: () => callers.sessionCount,
  });
  await listenOrExit(
    log,
    {address: args.status, clients: 'operators'},
    endpoint.listen(statusAddress.port, statusAddress.host, signal),
  );
  await listenOrExit(
    log,
    {address: args.listen, clients: 'callers'},
    callers.listen(callersAddress.port, callersAddress.host),
  );
  log.info('Ready.', {instance: args.instance, address: args.listen});
  stopRequested.addEventListener('abort', () => {
    detach(
      'drain',
      callers.drain().then(() => {
        running.abort();
        // gRPC keeps handles open for a while; exit does not wait for them.
        process.exit(0);
      }),
    );
  });
}

function loadSettingsOrExit(args: Arguments): Settings {
  const settings = loadSettings(args.settings, args.overlay);
  if (settings.isErr) {
    exit(EXIT_SETTINGS, settings.error.map(formatSettingsError));
  }
  return settings.value;
}

function parseAddressOrExit(name: string, text: string): Address {
  const address = parseAddress(text);
  if (!address) exit(EXIT_USAGE, [`${name} ${text}: expected host:port`]);
  return address;
}

const program = command({
  name: 'bulrushstage-proxy',
  version: VERSION,
  description:
    'Serves PostgreSQL callers and routes their transactions to targets.',
  args: {
    settings: textOption('settings', 'base file of the settings'),
    overlay: textOption('overlay', 'settings overlay of the site', ''),
    instance: textOption('instance', 'name of this instance'),
    listen: textOption('listen', 'host:port for callers'),
    announcements: textOption(
      'announcements',
      'host:port for announcements of targets',
    ),
    status: textOption('status', 'host:port of the status endpoint'),
    jsonLogs: flag({long: 'json-logs', description: 'log lines as JSON'}),
    verbose: flag({long: 'verbose', description: 'log more'}),
  },
  handler: main,
});

detach('program', run(program, process.argv.slice(2)));
