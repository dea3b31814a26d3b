import {once} from 'node:events';
import {createServer} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {PortBlock} from '../../bench/fleet/port_block';

const claimed: PortBlock[] = [];

async function claim(): Promise<PortBlock> {
  const block = await PortBlock.claim();
  claimed.push(block);
  return block;
}

afterEach(async () => {
  await Promise.all(claimed.splice(0).map(block => block.release()));
});

it('gives no port to two fleets, also while nothing listens on it', async () => {
  // Guards against a process that cannot listen because another fleet drew its
  // port, which it does not use yet or has not used since a process was killed.
  const blocks = await Promise.all(Array.from({length: 60}, claim));
  const ports = (await Promise.all(blocks.map(one => one.take(8)))).flat();
  expect(new Set(ports).size).toBe(60 * 8);
});

it('leaves out a port that is in use at another address', async () => {
  // Guards against ports that are free at one address only: the processes of a
  // fleet listen at several.
  const block = await claim();
  const [first = 0] = await block.take(1);
  const occupant = createServer().listen(first + 1, '127.0.0.5');
  await once(occupant, 'listening');
  expect(await block.take(2)).toEqual([first + 2, first + 3]);
  occupant.close();
});

it('fails instead of repeating a port', async () => {
  // Guards against a port that one fleet gets twice.
  const block = await claim();
  await expect(block.take(200)).rejects.toThrow('ports remain');
});
