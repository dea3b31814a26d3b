// Bundles the programs for the users' platform under target/, each with a V8
// code cache that shortens its start.
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {build} from 'esbuild';

const PROGRAMS = {
  proxy: 'platform/node/proxy_main.ts',
  control: 'platform/node/control_main.ts',
};

await build({
  entryPoints: Object.fromEntries(
    Object.entries(PROGRAMS).map(([name, path]) => [`${name}.bundle`, path]),
  ),
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});

await build({
  entryPoints: Object.fromEntries(
    Object.keys(PROGRAMS).map(name => [name, 'platform/node/cached_start.ts']),
  ),
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  platform: 'node',
  format: 'cjs',
});

// V8 rejects a code cache that was written under other flags.
const deployment = readFileSync('deploy/system.toml', 'utf8');
const flags = new Set(deployment.match(/--max-[a-z-]+=\d+/g));

for (const name of Object.keys(PROGRAMS)) {
  const {status, stderr} = spawnSync(
    process.execPath,
    [...flags, `target/${name}.cjs`, '--write-code-cache'],
    {encoding: 'utf8'},
  );
  if (status !== 0) throw new Error(`No code cache for ${name}: ${stderr}`);
}
