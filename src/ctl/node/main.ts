import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {
  command,
  flag,
  number,
  option,
  positional,
  run,
  string,
  subcommands,
} from 'cmd-ts';
import {toError} from '../../base/common/errors';
import {
  EXIT_SETTINGS,
  EXIT_UNAVAILABLE,
  exit,
  VERSION,
} from '../../base/node/program';
import {detach} from '../../base/node/broken_invariant';
import {
  formatSettingsError,
  parseSettings,
} from '../../services/settings/common/settings';
import type {
  ChangeOutcome,
  OperatorReply,
} from '../../schema/generated/control';
import {ControlCalls, type Call} from './control_calls';
import {
  formatJournal,
  formatStatus,
  mergeHistograms,
  formatTable,
  type EncodedHistogram,
} from './report';

const EXIT_REFUSED = 1;
const CURRENT_VERSION = -1;

const control = option({
  long: 'control',
  type: string,
  description: 'control addresses, as comma-separated host:port',
});
const json = flag({long: 'json', description: 'print as JSON'});
const changeId = option({
  long: 'change-id',
  type: string,
  defaultValue: () => randomUUID(),
  description:
    'id of the change; a retry with the same id gets its first outcome',
});

function createCalls(text: string): ControlCalls {
  return new ControlCalls(text.split(',').map(item => item.trim()));
}

async function submitChange(
  addresses: string,
  asJson: boolean,
  call: Call<OperatorReply>,
): Promise<void> {
  const calls = createCalls(addresses);
  const outcome = await calls.submitChange(call);
  calls.close();
  if (outcome.isErr) exit(EXIT_UNAVAILABLE, [outcome.error]);
  console.log(
    asJson ? JSON.stringify(outcome.value) : formatOutcome(outcome.value),
  );
  if (!outcome.value.accepted) process.exitCode = EXIT_REFUSED;
}

function formatOutcome(outcome: ChangeOutcome): string {
  const {accepted, version, winnerChangeId, detail} = outcome;
  if (accepted) return `accepted; settings version ${version}`;
  const winner =
    winnerChangeId === '' ? '' : `; change ${winnerChangeId} is in force`;
  return `refused: ${detail}${winner}`;
}

const apply = command({
  name: 'apply',
  description: 'Applies a base settings file.',
  args: {
    file: positional({type: string, displayName: 'file'}),
    control,
    changeId,
    baseVersion: option({
      long: 'base-version',
      type: number,
      defaultValue: () => CURRENT_VERSION,
      description:
        'settings version the change is based on; default: the current one',
    }),
    json,
  },
  async handler(args) {
    const text = readFileSync(args.file, 'utf8');
    const parsed = parseSettings({file: args.file, text});
    if (parsed.isErr) {
      exit(EXIT_SETTINGS, parsed.error.map(formatSettingsError));
    }
    const baseVersion =
      args.baseVersion === CURRENT_VERSION
        ? await fetchCurrentVersion(args.control)
        : args.baseVersion;
    const value = {changeId: args.changeId, baseVersion, text};
    await submitChange(args.control, args.json, (client, ...rest) => {
      client.apply({change: value}, ...rest);
    });
  },
});

async function fetchCurrentVersion(addresses: string): Promise<number> {
  const calls = createCalls(addresses);
  const status = await calls.fetchStatus();
  calls.close();
  if (status.isErr) exit(EXIT_UNAVAILABLE, [status.error]);
  return status.value.state?.settingsVersion ?? 0;
}

const drain = command({
  name: 'drain',
  description: 'Drains a target, or ends draining with --undo.',
  args: {
    target: positional({type: string, displayName: 'service/instance'}),
    undo: flag({long: 'undo', description: 'return it to service'}),
    control,
    changeId,
    json,
  },
  async handler(args) {
    const [service = '', instance = ''] = args.target.split('/');
    const draining = !args.undo;
    const value = {changeId: args.changeId, service, instance, draining};
    await submitChange(args.control, args.json, (client, ...rest) => {
      client.drain({change: value}, ...rest);
    });
  },
});

const force = command({
  name: 'force',
  description: 'Unblocks a change of primary; acknowledged writes may be lost.',
  args: {
    service: positional({type: string, displayName: 'service'}),
    control,
    json,
  },
  async handler(args) {
    const {service} = args;
    await submitChange(args.control, args.json, (client, ...rest) => {
      client.force({service}, ...rest);
    });
  },
});

const status = command({
  name: 'status',
  description: 'Shows control, services, members and proxies.',
  args: {control, json},
  async handler(args) {
    const calls = createCalls(args.control);
    const reply = await calls.fetchStatus();
    calls.close();
    if (reply.isErr) exit(EXIT_UNAVAILABLE, [reply.error]);
    console.log(
      args.json ? JSON.stringify(reply.value) : formatStatus(reply.value),
    );
  },
});

const explain = command({
  name: 'explain',
  description: 'Shows what the system did and why.',
  args: {
    subject: positional({type: string, displayName: 'text in the subject'}),
    control,
    json,
  },
  async handler(args) {
    const calls = createCalls(args.control);
    const reply = await calls.fetchStatus();
    calls.close();
    if (reply.isErr) exit(EXIT_UNAVAILABLE, [reply.error]);
    const entries = (reply.value.state?.journal ?? []).filter(({subject}) => {
      return subject.includes(args.subject);
    });
    console.log(args.json ? JSON.stringify(entries) : formatJournal(entries));
  },
});

const histograms = command({
  name: 'histograms',
  description: 'Shows latencies by caller and class, merged over proxies.',
  args: {
    proxies: option({
      long: 'proxies',
      type: string,
      description: 'status addresses of proxies, as comma-separated host:port',
    }),
    json,
  },
  async handler(args) {
    const pages = await Promise.all(
      args.proxies.split(',').map(address => fetchHistograms(address.trim())),
    );
    const rows = mergeHistograms(pages);
    if (args.json) return console.log(JSON.stringify(rows));
    const head = ['service', 'caller', 'class', 'part', 'count'];
    const times = ['p50 ms', 'p99 ms', 'max ms'];
    const cells = rows.map(row => [
      row.service,
      row.caller,
      row.requestClass,
      row.phase,
      row.count,
      row.p50Ms.toFixed(2),
      row.p99Ms.toFixed(2),
      row.maxMs.toFixed(2),
    ]);
    console.log(formatTable([...head, ...times], cells));
  },
});

async function fetchHistograms(address: string): Promise<EncodedHistogram[]> {
  try {
    const response = await fetch(`http://${address}/histograms`);
    return (await response.json()) as EncodedHistogram[];
  } catch (thrown) {
    exit(EXIT_UNAVAILABLE, [`${address}: ${toError(thrown).message}`]);
  }
}

const program = subcommands({
  name: 'bulrushctl',
  version: VERSION,
  description: 'Operates and inspects a bulrushstage system.',
  cmds: {apply, drain, explain, force, histograms, status},
});

detach('program', run(program, process.argv.slice(2)));
