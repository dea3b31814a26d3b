import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {buildSync} from 'esbuild';
import {expect, it} from 'vitest';

const FLOOD = `
import {LineSink} from './src/base/node/line_sink';
const sink = new LineSink(1);
const line = 'x'.repeat(1000);
let taken = 0;
for (let at = 0; at < 5000; at++) if (sink.writeLine(line)) taken++;
process.stderr.write(String(taken));
`;

it('does not wait for a reader that stalls', async () => {
  // On-call pauses the program that collects the lines. A write that waits
  // would stop the proxy with it, and every caller's session.
  const {outputFiles} = buildSync({
    stdin: {contents: FLOOD, resolveDir: process.cwd(), loader: 'ts'},
    bundle: true,
    platform: 'node',
    format: 'cjs',
    write: false,
  });
  const child = spawn(process.execPath, ['-e', outputFiles[0]!.text]);
  child.stdout.pause();
  const [taken] = await once(child.stderr, 'data');
  child.kill();
  expect(Number(taken)).toBeGreaterThan(100);
  expect(Number(taken)).toBeLessThan(5_000);
});
