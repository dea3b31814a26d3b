import {execFileSync} from 'node:child_process';

/** Bundles the programs once, so that process tests run what users run. */
export function setup(): void {
  execFileSync(process.execPath, ['scripts/build.mjs'], {stdio: 'inherit'});
}
