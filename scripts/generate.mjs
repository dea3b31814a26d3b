// Generates code and reference pages from src/schema; --check only compares.
import {execFileSync} from 'node:child_process';
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
  mkdirSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {renderSettingsModule, renderSettingsPage} from './render_settings.mjs';

const check = process.argv.includes('--check');
const SCHEMA = JSON.parse(readFileSync('src/schema/settings.json', 'utf8'));

const work = mkdtempSync(join(tmpdir(), 'generate-'));
const outputs = new Map();

try {
  mkdirSync(join(work, 'out'));
  const template = {
    version: 'v2',
    plugins: [
      {
        local: ['node_modules/.bin/protoc-gen-ts_proto'],
        out: join(work, 'out'),
        opt: [
          'outputServices=grpc-js',
          'esModuleInterop=true',
          'oneof=unions-value',
          'env=node',
          'forceLong=number',
          'outputJsonMethods=false',
          'outputPartialMethods=false',
          'useOptionals=none',
          'enumsAsLiterals=false',
          'stringEnums=false',
          'snakeToCamel=true',
        ],
      },
    ],
  };
  execFileSync(
    'node_modules/.bin/buf',
    ['generate', 'src/schema', '--template', JSON.stringify(template)],
    {stdio: 'inherit'},
  );
  for (const name of readdirSync(join(work, 'out'))) {
    outputs.set(
      join('src/schema/generated', name),
      readFileSync(join(work, 'out', name), 'utf8'),
    );
  }
} finally {
  rmSync(work, {recursive: true});
}
outputs.set('src/schema/generated/settings.ts', renderSettingsModule(SCHEMA));
outputs.set('docs/SETTINGS.md', renderSettingsPage(SCHEMA));

const read = path => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

let stale = 0;
for (const [path, text] of outputs) {
  if (read(path) === text) continue;
  stale++;
  if (check) console.error(`${path} is not up to date: run npm run generate`);
  else {
    writeFileSync(path, text);
    console.log(`wrote ${path}`);
  }
}
process.exitCode = check && stale > 0 ? 1 : 0;
