// Checks what neither the formatter nor the linter sees in tracked files.
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

const files = execFileSync('git', ['ls-files'], {encoding: 'utf8'})
  .split('\n')
  .filter(name => name !== '' && name !== 'LICENSE');

const faults = [];
for (const name of files) {
  const base = name.split('/').pop();
  if (/\.ts$/.test(name) && !/^[a-z0-9_.]+$/.test(base)) {
    faults.push(`${name}: file names are snake_case`);
  }
  const text = readFileSync(name, 'utf8');
  if (
    /\/(work|home|root)\/[a-z]/.test(text) &&
    name !== 'scripts/hygiene.mjs'
  ) {
    faults.push(`${name}: names a path of a machine`);
  }
  if (name === 'package-lock.json' && text.includes('"resolved"')) {
    faults.push(`${name}: names a registry`);
  }
  if (/\.ts$/.test(name) && /copyright|SPDX/i.test(text)) {
    faults.push(`${name}: source files carry no notice`);
  }
  if (
    /\.test\.ts$/.test(name) &&
    /\b(it|test|describe)\.(skip|only|todo)\b/.test(text)
  ) {
    faults.push(`${name}: a test is skipped or singled out`);
  }
}
for (const fault of faults) console.error(fault);
process.exitCode = faults.length > 0 ? 1 : 0;
