import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {encodeFrame, FrameDecoder, type Frame} from '../../common/frames';

/** Pushes bytes in pieces of random length. */
function pushInPieces(
  splitter: FrameDecoder,
  bytes: Buffer,
  random: SeededRandom,
): Frame[] | string {
  const frames: Frame[] = [];
  let at = 0;
  while (at < bytes.length) {
    const end = Math.min(bytes.length, at + random.integer(1, 40));
    const pushed = splitter.push(bytes.subarray(at, end));
    if ('type' in pushed) return 'fault';
    frames.push(...pushed);
    at = end;
  }
  return frames;
}

describe('frames of a byte stream', () => {
  it('come out whole however the bytes come in', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = new SeededRandom(seed);
      const sent = Array.from({length: 20}, () => {
        const body = Buffer.alloc(random.integer(0, 120), 'x');
        return encodeFrame(random.pick(['Q', 'P', 'D']), body);
      });
      const splitter = new FrameDecoder(1_000);
      const frames = pushInPieces(splitter, Buffer.concat(sent), random);
      if (typeof frames === 'string') throw new Error(`seed ${seed}`);
      expect(frames.map(({bytes}) => bytes)).toEqual(sent);
    }
  });

  // A caller announces a message of 2 GB. Collecting it would take the memory
  // of everybody else.
  it('are refused by their length before anything is collected', () => {
    const splitter = new FrameDecoder(1_000);
    const head = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
    expect(splitter.push(head)).toMatchObject({type: 0x51});
    const short = new FrameDecoder(1_000);
    expect(short.push(Buffer.from([0x51, 0, 0, 0, 3]))).toMatchObject({
      length: 3,
    });
  });

  it('never make the splitter throw', () => {
    for (let seed = 1; seed <= 300; seed++) {
      const random = new SeededRandom(seed);
      const bytes = Buffer.from(
        Array.from({length: 200}, () => random.integer(0, 255)),
      );
      pushInPieces(new FrameDecoder(5_000), bytes, random);
    }
  });
});
