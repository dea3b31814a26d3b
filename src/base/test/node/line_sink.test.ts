import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {buildSync} from 'esbuild';
import {expect, it} from 'vitest';

const FLOOD = `
import {LineSink} from './src/base/node/line_sink';
const sink = new LineSink(1);
const line = 'x'.repeat(1000);
let accepted = 0;
for (let i = 0; i < 5000; i++) if (sink.writeLine(line)) accepted++;
process.stderr.write(String(accepted));
`;

it('does not block on a stalled reader', async () => {
  // Guards against a paused log collector stopping the whole process through
  // a blocking write.
  const {outputFiles} = buildSync({
    stdin: {contents: FLOOD, resolveDir: process.cwd(), loader: 'ts'},
    bundle: true,
    platform: 'node',
    format: 'cjs',
    write: false,
  });
  const child = spawn(process.execPath, ['-e', outputFiles[0]!.text]);
  child.stdout.pause();
  const [accepted] = await once(child.stderr, 'data');
  child.kill();
  expect(Number(accepted)).toBeGreaterThan(100);
  expect(Number(accepted)).toBeLessThan(5_000);
});
