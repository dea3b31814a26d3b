// Bundles the programs for the users' platform under target/.
import {build} from 'esbuild';

await build({
  entryPoints: {
    proxy: 'platform/node/proxy_main.ts',
    control: 'platform/node/control_main.ts',
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  logLevel: 'warning',
});
