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
import {
  EXIT_SETTINGS,
  EXIT_UNAVAILABLE,
  fail,
  VERSION,
} from '../../base/node/program';
import {toError} from '../../base/node/task';
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
  describeJournal,
  describeStatus,
  mergeHistograms,
  table,
  type EncodedHistogram,
} from './report';

const EXIT_REFUSED = 1;
const VERSION_IN_FORCE = -1;

const control = option({
  long: 'control',
  type: string,
  description: 'control addresses, as host:port with commas',
});
const json = flag({long: 'json', description: 'print JSON'});
const changeId = option({
  long: 'change-id',
  type: string,
  defaultValue: () => randomUUID(),
  description: 'name of the change; the same one gets the first answer',
});

function callsTo(text: string): ControlCalls {
  return new ControlCalls(text.split(',').map(item => item.trim()));
}

async function change(
  addresses: string,
  asJson: boolean,
  call: Call<OperatorReply>,
): Promise<void> {
  const calls = callsTo(addresses);
  const outcome = await calls.change(call);
  calls.close();
  if (outcome.isErr) fail(EXIT_UNAVAILABLE, [outcome.error]);
  console.log(
    asJson ? JSON.stringify(outcome.value) : describeOutcome(outcome.value),
  );
  if (!outcome.value.accepted) process.exitCode = EXIT_REFUSED;
}

function describeOutcome(outcome: ChangeOutcome): string {
  const {accepted, version, winnerChangeId, detail} = outcome;
  if (accepted) return `accepted; settings version ${version}`;
  const winner =
    winnerChangeId === '' ? '' : `; in force is change ${winnerChangeId}`;
  return `refused: ${detail}${winner}`;
}

const apply = command({
  name: 'apply',
  description: 'Puts a base file of settings in force.',
  args: {
    file: positional({type: string, displayName: 'file'}),
    control,
    changeId,
    baseVersion: option({
      long: 'base-version',
      type: number,
      defaultValue: () => VERSION_IN_FORCE,
      description: 'version that the change is based on; else the one in force',
    }),
    json,
  },
  async handler(args) {
    const text = readFileSync(args.file, 'utf8');
    const parsed = parseSettings({file: args.file, text});
    if (parsed.isErr) {
      fail(EXIT_SETTINGS, parsed.error.map(formatSettingsError));
    }
    const baseVersion =
      args.baseVersion === VERSION_IN_FORCE
        ? await versionInForce(args.control)
        : args.baseVersion;
    const value = {changeId: args.changeId, baseVersion, text};
    await change(args.control, args.json, (client, ...rest) => {
      client.apply({change: value}, ...rest);
    });
  },
});

async function versionInForce(addresses: string): Promise<number> {
  const calls = callsTo(addresses);
  const status = await calls.status();
  calls.close();
  if (status.isErr) fail(EXIT_UNAVAILABLE, [status.error]);
  return status.value.state?.settingsVersion ?? 0;
}

const drain = command({
  name: 'drain',
  description: 'Takes a target out of service, or back in with --undo.',
  args: {
    target: positional({type: string, displayName: 'service/instance'}),
    undo: flag({long: 'undo', description: 'take it back in'}),
    control,
    changeId,
    json,
  },
  async handler(args) {
    const [service = '', instance = ''] = args.target.split('/');
    const draining = !args.undo;
    const value = {changeId: args.changeId, service, instance, draining};
    await change(args.control, args.json, (client, ...rest) => {
      client.drain({change: value}, ...rest);
    });
  },
});

const force = command({
  name: 'force',
  description:
    'Lets a blocked change of primary pass; acknowledged writes may be lost.',
  args: {
    service: positional({type: string, displayName: 'service'}),
    control,
    json,
  },
  async handler(args) {
    const {service} = args;
    await change(args.control, args.json, (client, ...rest) => {
      client.force({service}, ...rest);
    });
  },
});

const status = command({
  name: 'status',
  description: 'Shows control, services, members and proxies.',
  args: {control, json},
  async handler(args) {
    const calls = callsTo(args.control);
    const reply = await calls.status();
    calls.close();
    if (reply.isErr) fail(EXIT_UNAVAILABLE, [reply.error]);
    console.log(
      args.json ? JSON.stringify(reply.value) : describeStatus(reply.value),
    );
  },
});

const explain = command({
  name: 'explain',
  description: 'Says what the system did and why.',
  args: {
    subject: positional({type: string, displayName: 'word in the subject'}),
    control,
    json,
  },
  async handler(args) {
    const calls = callsTo(args.control);
    const reply = await calls.status();
    calls.close();
    if (reply.isErr) fail(EXIT_UNAVAILABLE, [reply.error]);
    const entries = (reply.value.state?.journal ?? []).filter(({subject}) => {
      return subject.includes(args.subject);
    });
    console.log(args.json ? JSON.stringify(entries) : describeJournal(entries));
  },
});

const histograms = command({
  name: 'histograms',
  description: 'Shows times by caller and class, merged over proxies.',
  args: {
    proxies: option({
      long: 'proxies',
      type: string,
      description: 'status addresses of proxies, as host:port with commas',
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
    console.log(table([...head, ...times], cells));
  },
});

async function fetchHistograms(address: string): Promise<EncodedHistogram[]> {
  try {
    const response = await fetch(`http://${address}/histograms`);
    return (await response.json()) as EncodedHistogram[];
  } catch (thrown) {
    fail(EXIT_UNAVAILABLE, [`${address}: ${toError(thrown).message}`]);
  }
}

const program = subcommands({
  name: 'bulrushctl',
  version: VERSION,
  description: 'Drives and explains a bulrushstage system.',
  cmds: {apply, drain, explain, force, histograms, status},
});

void run(program, process.argv.slice(2));
