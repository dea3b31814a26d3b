// Bundles each program into one file under dist/.
import {chmodSync, readFileSync} from 'node:fs';
import {build, context} from 'esbuild';

const {version} = JSON.parse(readFileSync('package.json', 'utf8'));

const options = {
  entryPoints: {
    'bulrushstage-proxy': 'src/proxy/node/main.ts',
    'bulrushstage-control': 'src/control/node/main.ts',
    bulrushctl: 'src/ctl/node/main.ts',
    'bulrushstage-standin': 'src/standin/node/main.ts',
    'bulrushstage-load': 'src/load/node/main.ts',
    demo: 'bench/demo.ts',
    bench: 'bench/relay_cost.ts',
    'bench-gap': 'bench/failover_gap.ts',
    'bench-share': 'bench/replica_share.ts',
    'bench-slopes': 'bench/slopes.ts',
  },
  outdir: 'dist',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // libpg-query loads a WASM file from its own package folder.
  external: ['libpg-query', 'pg', 'pg-native'],
  define: {PROGRAM_VERSION: JSON.stringify(version)},
  banner: {js: '#!/usr/bin/env node'},
  logLevel: 'warning',
};

if (process.argv.includes('--watch')) {
  const watcher = await context(options);
  await watcher.watch();
} else {
  await build(options);
  for (const name of Object.keys(options.entryPoints)) {
    chmodSync(`dist/${name}.cjs`, 0o755);
  }
}
