import {writeFileSync} from 'node:fs';
import {command, multioption, array, number, option, run, string} from 'cmd-ts';
import {textOption} from '../../base/node/arguments';
import {detach} from '../../base/node/broken_invariant';
import {
  EXIT_USAGE,
  exit,
  createStopSignal,
  VERSION,
} from '../../base/node/program';
import {parseLoadClass, type LoadClass} from '../common/plan';
import {runLoad} from './load_run';
import {renderReport} from './report_page';

const EXIT_GUARANTEE_VIOLATED = 2;

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
  const classes = args.classes.map(requireLoadClass);
  const report = await runLoad(
    {
      proxies: args.proxies.split(','),
      service: args.service,
      classes,
      seconds: args.seconds,
      seed: args.seed,
    },
    createStopSignal(),
  );
  const text = JSON.stringify(report, null, 2);
  if (args.json === '') console.log(text);
  else writeFileSync(args.json, `${text}\n`);
  if (args.html !== '') writeFileSync(args.html, renderReport(report));
  const isViolated = report.lost + report.doubled + report.returned > 0;
  process.exit(isViolated ? EXIT_GUARANTEE_VIOLATED : 0);
}

function requireLoadClass(text: string): LoadClass {
  const loadClass = parseLoadClass(text);
  if (loadClass) return loadClass;
  const format = 'class:caller:read|write:rate:sessions';
  return exit(EXIT_USAGE, [`--class ${text}: expected ${format}`]);
}

const program = command({
  name: 'bulrushstage-load',
  version: VERSION,
  description:
    'Runs a seeded open-loop load; exits with 2 if a guarantee was violated.',
  args: {
    proxies: textOption(
      'proxies',
      'addresses of the proxies as host:port,host:port',
    ),
    service: textOption('service', 'service to send requests to'),
    classes: multioption({
      long: 'class',
      type: array(string),
      description: 'class:caller:read|write:rate per second:sessions',
    }),
    seconds: option({
      long: 'seconds',
      type: number,
      defaultValue: () => 10,
      description: 'duration of the run in seconds',
    }),
    seed: option({
      long: 'seed',
      type: number,
      defaultValue: () => 1,
      description: 'seed of the arrival times',
    }),
    json: textOption(
      'json',
      'file for the report; default: standard output',
      '',
    ),
    html: textOption('html', 'file for the report as an HTML page', ''),
  },
  handler: main,
});

detach('program', run(program, process.argv.slice(2)));
