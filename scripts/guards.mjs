// Takes out one guard at a time and shows that a test goes red without it.
// Changes files in place and puts them back: for a clean tree only.
import {execFileSync, spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';

const guards = JSON.parse(readFileSync('scripts/guards.json', 'utf8'));
const wanted = process.argv[2] ?? '';

const dirty = execFileSync('git', ['status', '--porcelain', 'src', 'platform']);
if (dirty.length > 0) {
  console.error('src has changes that are not committed');
  process.exit(1);
}

let unproved = 0;
for (const {guard, file, find, replace, test} of guards) {
  if (!guard.includes(wanted)) continue;
  const text = readFileSync(file, 'utf8');
  if (text.split(find).length !== 2) {
    console.log(`NOT FOUND  ${guard}: its text is not once in ${file}`);
    unproved++;
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
  const red = run.status !== 0;
  if (!red) unproved++;
  console.log(`${red ? 'red' : 'GREEN'}  ${guard}  ${failure.slice(0, 100)}`);
}
process.exitCode = unproved > 0 ? 1 : 0;
