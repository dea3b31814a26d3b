import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../../base/common/random';
import {encodeFrame, FrameDecoder, type Frame} from '../../common/frames';

/** Pushes bytes in chunks of random length. */
function pushInPieces(
  decoder: FrameDecoder,
  bytes: Buffer,
  random: SeededRandom,
): Frame[] | string {
  const frames: Frame[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const end = Math.min(bytes.length, offset + random.integer(1, 40));
    const pushed = decoder.push(bytes.subarray(offset, end));
    if ('type' in pushed) return 'error';
    frames.push(...pushed);
    offset = end;
  }
  return frames;
}

describe('frames of a byte stream', () => {
  it('are complete for any chunking of the bytes', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = new SeededRandom(seed);
      const sent = Array.from({length: 20}, () => {
        const body = Buffer.alloc(random.integer(0, 120), 'x');
        return encodeFrame(random.pick(['Q', 'P', 'D']), body);
      });
      const decoder = new FrameDecoder(1_000);
      const frames = pushInPieces(decoder, Buffer.concat(sent), random);
      if (typeof frames === 'string') throw new Error(`seed ${seed}`);
      expect(frames.map(({bytes}) => bytes)).toEqual(sent);
    }
  });

  // Buffering a message of the announced length would exhaust the memory of the
  // process.
  it('are rejected by their length before they are buffered', () => {
    const decoder = new FrameDecoder(1_000);
    const header = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
    expect(decoder.push(header)).toMatchObject({type: 0x51});
    const short = new FrameDecoder(1_000);
    expect(short.push(Buffer.from([0x51, 0, 0, 0, 3]))).toMatchObject({
      length: 3,
    });
  });

  it('never make the decoder throw', () => {
    for (let seed = 1; seed <= 300; seed++) {
      const random = new SeededRandom(seed);
      const bytes = Buffer.from(
        Array.from({length: 200}, () => random.integer(0, 255)),
      );
      pushInPieces(new FrameDecoder(5_000), bytes, random);
    }
  });
});
