import {execFileSync} from 'node:child_process';

const BUILD_SCRIPTS = ['scripts/build.mjs', 'scripts/build_platform.mjs'];

/**
 * Bundles the programs once for all test files.
 *
 * Guard: a bundle rewritten during a test run makes processes started by other
 * test files load a partial file and exit silently.
 */
export function setup(): void {
  for (const script of BUILD_SCRIPTS) {
    execFileSync(process.execPath, [script], {stdio: 'inherit'});
  }
}
