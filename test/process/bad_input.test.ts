import {createConnection} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {serialize} from 'pg-protocol';
import {Fleet} from '../../bench/fleet/fleet';
import {FrameDecoder} from '../../src/services/wire/common/frames';
import {SeededRandom} from '../../src/base/common/random';
import {reportFailedTests} from '../process_report';
import {connectToProxy, runQuery, SERVICE} from '../support';

const TRY_COUNT = 120;

let fleet: Fleet;
reportFailedTests(() => fleet);
beforeAll(async () => {
  fleet = await Fleet.start({
    controls: 1,
    proxies: 1,
    services: [SERVICE],
    members: 3,
  });
});
afterAll(() => fleet.stop());

/** Sends bytes and returns the reply up to the close or the timeout. */
function exchange(parts: readonly Buffer[], timeoutMs = 150): Promise<Buffer> {
  return new Promise(resolve => {
    const received: Buffer[] = [];
    const socket = createConnection(fleet.proxies[0]!.port, '127.0.0.1');
    socket.on('data', chunk => received.push(chunk));
    socket.on('error', () => {});
    socket.on('close', () => resolve(Buffer.concat(received)));
    for (const part of parts) socket.write(part);
    setTimeout(() => socket.destroy(), timeoutMs);
  });
}

const startup = serialize.startup({user: 'u', database: SERVICE} as never);

describe('invalid input from a caller', () => {
  // Guards against a port scanner or a broken driver affecting other sessions.
  it('does not affect other sessions', async () => {
    const other = await connectToProxy(fleet, 0);
    for (let seed = 1; seed <= TRY_COUNT; seed++) {
      const random = new SeededRandom(seed);
      const randomBytes = Buffer.from(
        Array.from({length: random.integer(1, 300)}, () =>
          random.integer(0, 255),
        ),
      );
      const valid = serialize.query('SELECT 1');
      const truncated = valid.subarray(0, random.integer(1, valid.length));
      const parts = random.pick([
        [randomBytes],
        [startup, randomBytes],
        [startup, truncated],
        [startup, valid, randomBytes],
        [startup, serialize.bind({statement: 'none'}), serialize.sync()],
        [startup, serialize.execute(), serialize.execute(), serialize.sync()],
        [startup, serialize.parse({text: 'SELECT 1'}), randomBytes],
      ]);
      const exchanged = exchange(parts, 30);
      const reply = await runQuery(other, 'SELECT 1 AS one');
      expect(reply, `seed ${seed}`).toEqual([{one: '1'}]);
      await exchanged;
    }
    expect(fleet.proxies[0]!.isRunning).toBe(true);
    await other.end();
  });

  it('gets an error that names the problem', async () => {
    const oversized = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
    const text = (await exchange([startup, oversized])).toString('latin1');
    expect(text).toContain('08P01');
    expect(text).toContain('message of 2147483647 bytes');
    const oldStartup = Buffer.from([0, 0, 0, 8, 0, 2, 0, 0]);
    expect((await exchange([oldStartup])).toString('latin1')).toContain(
      'unknown protocol version',
    );
  });

  // Guards against a missing or second ReadyForQuery after a rejected batch,
  // which leaves the driver waiting or out of sync.
  it('completes a rejected batch once, at its Sync', async () => {
    const parse = serialize.parse({text: 'LISTEN news'});
    const parts = [startup, parse, serialize.flush(), serialize.sync()];
    const frames = new FrameDecoder(100_000).push(await exchange(parts));
    if ('type' in frames) throw new Error('received an invalid frame');
    const frameTypes = frames
      .map(({type}) => String.fromCharCode(type))
      .join('');
    expect(frameTypes).toMatch(/Z[^Z]*EZ$/);
  });

  it('gets an error for an unknown service or class', async () => {
    const other = serialize.startup({user: 'u', database: 'x'} as never);
    expect((await exchange([other])).toString('latin1')).toContain('3D000');
    await expect(connectToProxy(fleet, 0, {class: 'none'})).rejects.toThrow(
      'unknown class',
    );
  });
});
