import {writeFileSync} from 'node:fs';
import {command, multioption, array, number, option, run, string} from 'cmd-ts';
import {textOption} from '../../base/node/arguments';
import {EXIT_USAGE, fail, stopSignal, VERSION} from '../../base/node/program';
import {parseLoadClass, type LoadClass} from '../common/plan';
import {runLoad} from './load_run';
import {renderReport} from './report_page';

const EXIT_PROMISE_BROKEN = 2;

interface Arguments {
  readonly proxies: string;
  readonly service: string;
  readonly classes: string[];
  readonly seconds: number;
  readonly seed: number;
  readonly json: string;
  readonly html: string;
}

async function main(args: Arguments): Promise<void> {
  const classes = args.classes.map(checkedClass);
  const report = await runLoad(
    {
      proxies: args.proxies.split(','),
      service: args.service,
      classes,
      seconds: args.seconds,
      seed: args.seed,
    },
    stopSignal(),
  );
  const text = JSON.stringify(report, null, 2);
  if (args.json === '') console.log(text);
  else writeFileSync(args.json, `${text}\n`);
  if (args.html !== '') writeFileSync(args.html, renderReport(report));
  const broken = report.lost + report.doubled + report.returned > 0;
  process.exit(broken ? EXIT_PROMISE_BROKEN : 0);
}

function checkedClass(text: string): LoadClass {
  const load = parseLoadClass(text);
  if (load) return load;
  const allowed = 'class:caller:read|write:rate:sessions';
  return fail(EXIT_USAGE, [`--class ${text}: allowed: ${allowed}`]);
}

const program = command({
  name: 'bulrushstage-load',
  version: VERSION,
  description:
    'Open-loop load from a seed; exits with 2 where a promise was broken.',
  args: {
    proxies: textOption(
      'proxies',
      'addresses of proxies, host:port with commas',
    ),
    service: textOption('service', 'service to load'),
    classes: multioption({
      long: 'class',
      type: array(string),
      description: 'class:caller:read|write:rate a second:sessions',
    }),
    seconds: option({
      long: 'seconds',
      type: number,
      defaultValue: () => 10,
      description: 'how long',
    }),
    seed: option({
      long: 'seed',
      type: number,
      defaultValue: () => 1,
      description: 'seed of the arrivals',
    }),
    json: textOption('json', 'file for the report; else standard output', ''),
    html: textOption('html', 'file for the report as a page', ''),
  },
  handler: main,
});

void run(program, process.argv.slice(2));
