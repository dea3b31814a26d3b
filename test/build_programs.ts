import {execFileSync} from 'node:child_process';

const BUILDS = ['scripts/build.mjs', 'scripts/build_platform.mjs'];

/**
 * Bundles the programs once, so that process tests run what users run.
 *
 * Guard: while one file's tests bundled them again, a program that another
 * file's tests started loaded half a file and ended without a word.
 */
export function setup(): void {
  for (const script of BUILDS) {
    execFileSync(process.execPath, [script], {stdio: 'inherit'});
  }
}
