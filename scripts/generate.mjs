// Generates code and the settings page from src/schema. With --check it writes
// nothing and fails if a generated file is out of date.
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

const isCheck = process.argv.includes('--check');
const schema = JSON.parse(readFileSync('src/schema/settings.json', 'utf8'));

const workFolder = mkdtempSync(join(tmpdir(), 'generate-'));
const outputs = new Map();

try {
  mkdirSync(join(workFolder, 'out'));
  const template = {
    version: 'v2',
    plugins: [
      {
        local: ['node_modules/.bin/protoc-gen-ts_proto'],
        out: join(workFolder, 'out'),
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
  for (const name of readdirSync(join(workFolder, 'out'))) {
    outputs.set(
      join('src/schema/generated', name),
      readFileSync(join(workFolder, 'out', name), 'utf8'),
    );
  }
} finally {
  rmSync(workFolder, {recursive: true});
}
outputs.set('src/schema/generated/settings.ts', renderSettingsModule(schema));
outputs.set('docs/SETTINGS.md', renderSettingsPage(schema));

const readExisting = path => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

let staleCount = 0;
for (const [path, text] of outputs) {
  if (readExisting(path) === text) continue;
  staleCount++;
  if (isCheck) console.error(`${path} is out of date; run npm run generate`);
  else {
    writeFileSync(path, text);
    console.log(`Wrote ${path}.`);
  }
}
process.exitCode = isCheck && staleCount > 0 ? 1 : 0;
