// Checks tracked files for what neither the formatter nor the linter covers.
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

const files = execFileSync('git', ['ls-files'], {encoding: 'utf8'})
  .split('\n')
  .filter(name => name !== '' && name !== 'LICENSE');

const errors = [];
for (const name of files) {
  const base = name.split('/').pop();
  if (/\.ts$/.test(name) && !/^[a-z0-9_.]+$/.test(base)) {
    errors.push(`${name}: file names must be in snake_case`);
  }
  const text = readFileSync(name, 'utf8');
  if (
    /\/(work|home|root)\/[a-z]/.test(text) &&
    name !== 'scripts/hygiene.mjs'
  ) {
    errors.push(`${name}: contains a path of a machine`);
  }
  if (name === 'package-lock.json' && text.includes('"resolved"')) {
    errors.push(`${name}: contains the address of a registry`);
  }
  if (/\.ts$/.test(name) && /copyright|SPDX/i.test(text)) {
    errors.push(`${name}: source files must not contain a license notice`);
  }
  if (
    /\.test\.ts$/.test(name) &&
    /\b(it|test|describe)\.(skip|only|todo)\b/.test(text)
  ) {
    errors.push(`${name}: contains a test with skip, only or todo`);
  }
}
for (const error of errors) console.error(error);
process.exitCode = errors.length > 0 ? 1 : 0;
