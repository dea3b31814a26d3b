// Removes one guard at a time and checks that a test fails without it. Needs a
// clean working tree, because it edits files in place and restores them.
import {execFileSync, spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';

const guards = JSON.parse(readFileSync('scripts/guards.json', 'utf8'));
const filter = process.argv[2] ?? '';

const dirty = execFileSync('git', ['status', '--porcelain', 'src', 'platform']);
if (dirty.length > 0) {
  console.error('src or platform has uncommitted changes.');
  process.exit(1);
}

let unprovenCount = 0;
for (const {guard, file, find, replace, test} of guards) {
  if (!guard.includes(filter)) continue;
  const text = readFileSync(file, 'utf8');
  if (text.split(find).length !== 2) {
    console.log(
      `NOT FOUND  ${guard}: its text does not occur exactly once in ${file}`,
    );
    unprovenCount++;
    continue;
  }
  writeFileSync(
    file,
    text.replace(find, () => replace),
  );
  const args = ['node_modules/.bin/vitest', 'run', test, '--bail=1'];
  const run = spawnSync(process.execPath, args, {encoding: 'utf8'});
  writeFileSync(file, text);
  const [failure = ''] = /Error: .*/.exec(run.stdout + run.stderr) ?? [];
  const isRed = run.status !== 0;
  if (!isRed) unprovenCount++;
  console.log(`${isRed ? 'red' : 'GREEN'}  ${guard}  ${failure.slice(0, 100)}`);
}
process.exitCode = unprovenCount > 0 ? 1 : 0;
