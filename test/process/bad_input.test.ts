import {createConnection} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {serialize} from 'pg-protocol';
import {Fleet} from '../../bench/fleet/fleet';
import {FrameDecoder} from '../../src/services/wire/common/frames';
import {SeededRandom} from '../../src/base/common/random';
import {client, outcome, SERVICE} from '../support';

const TRIES = 120;

let fleet: Fleet;
beforeAll(async () => {
  fleet = await Fleet.start({
    controls: 1,
    proxies: 1,
    services: [SERVICE],
    members: 3,
  });
});
afterAll(() => fleet.stop());

/** Sends bytes and gives back what came before the end, or after a while. */
function send(parts: readonly Buffer[], patienceMs = 150): Promise<Buffer> {
  return new Promise(resolve => {
    const received: Buffer[] = [];
    const socket = createConnection(fleet.proxies[0]!.port, '127.0.0.1');
    socket.on('data', chunk => received.push(chunk));
    socket.on('error', () => {});
    socket.on('close', () => resolve(Buffer.concat(received)));
    for (const part of parts) socket.write(part);
    setTimeout(() => socket.destroy(), patienceMs);
  });
}

const startup = serialize.startup({user: 'u', database: SERVICE} as never);

describe('bad input of a caller', () => {
  // Somebody points a scanner, a broken driver or rubbish at the proxy. That
  // caller hears an error; nobody else notices anything.
  it('never disturbs others, whatever bytes come', async () => {
    const other = await client(fleet, 0);
    for (let seed = 1; seed <= TRIES; seed++) {
      const random = new SeededRandom(seed);
      const rubbish = Buffer.from(
        Array.from({length: random.integer(1, 300)}, () =>
          random.integer(0, 255),
        ),
      );
      const valid = serialize.query('SELECT 1');
      const cut = valid.subarray(0, random.integer(1, valid.length));
      const parts = random.pick([
        [rubbish],
        [startup, rubbish],
        [startup, cut],
        [startup, valid, rubbish],
        [startup, serialize.bind({statement: 'none'}), serialize.sync()],
        [startup, serialize.execute(), serialize.execute(), serialize.sync()],
        [startup, serialize.parse({text: 'SELECT 1'}), rubbish],
      ]);
      const tried = send(parts, 30);
      const answer = await outcome(other, 'SELECT 1 AS one');
      expect(answer, `seed ${seed}`).toEqual([{one: '1'}]);
      await tried;
    }
    expect(fleet.proxies[0]!.isRunning).toBe(true);
    await other.end();
  });

  it('is answered with a clear error', async () => {
    const huge = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
    const text = (await send([startup, huge])).toString('latin1');
    expect(text).toContain('08P01');
    expect(text).toContain('message of 2147483647 bytes');
    const old = Buffer.from([0, 0, 0, 8, 0, 2, 0, 0]);
    expect((await send([old])).toString('latin1')).toContain(
      'unknown protocol version',
    );
  });

  // A driver flushes in the middle of a batch that is refused, and then waits
  // for the end of its batch for ever, or sees two ends.
  it('ends a refused batch once, at its Sync', async () => {
    const parse = serialize.parse({text: 'LISTEN news'});
    const parts = [startup, parse, serialize.flush(), serialize.sync()];
    const frames = new FrameDecoder(100_000).push(await send(parts));
    if ('type' in frames) throw new Error('not frames');
    const letters = frames.map(({type}) => String.fromCharCode(type)).join('');
    expect(letters).toMatch(/Z[^Z]*EZ$/);
  });

  it('for a service or class that does not exist says so', async () => {
    const other = serialize.startup({user: 'u', database: 'x'} as never);
    expect((await send([other])).toString('latin1')).toContain('3D000');
    await expect(client(fleet, 0, {class: 'none'})).rejects.toThrow(
      'unknown class',
    );
  });
});
