import {crc32} from 'node:zlib';

/**
 * Frames of the log file: a mark, the length, a checksum and the payload.
 * What is written in one go is one frame, so a crash tears only the last one.
 */
const MARK = 0x62737431;
const HEADER_BYTES = 12;

/** What a file of frames holds. */
export interface FrameScan {
  readonly payloads: readonly Buffer[];
  /** Where the whole frames end, in bytes. */
  readonly validBytes: number;
  /** A whole frame stands after a damaged one: this is no torn tail. */
  readonly damagedAt: number | undefined;
}

/** One frame around a payload. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(MARK, 0);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

/** Reads frames up to the first that is not whole. */
export function scanFrames(file: Buffer): FrameScan {
  const payloads: Buffer[] = [];
  let at = 0;
  for (;;) {
    const payload = frameAt(file, at);
    if (!payload) break;
    payloads.push(payload);
    at += HEADER_BYTES + payload.length;
  }
  const damagedAt = hasFrameAfter(file, at) ? at : undefined;
  return {payloads, validBytes: at, damagedAt};
}

function frameAt(file: Buffer, at: number): Buffer | undefined {
  if (at + HEADER_BYTES > file.length) return undefined;
  if (file.readUInt32BE(at) !== MARK) return undefined;
  const end = at + HEADER_BYTES + file.readUInt32BE(at + 4);
  if (end > file.length) return undefined;
  const payload = file.subarray(at + HEADER_BYTES, end);
  return crc32(payload) === file.readUInt32BE(at + 8) ? payload : undefined;
}

function hasFrameAfter(file: Buffer, start: number): boolean {
  const mark = Buffer.alloc(4);
  mark.writeUInt32BE(MARK);
  let at = file.indexOf(mark, start + 1);
  while (at >= 0) {
    if (frameAt(file, at)) return true;
    at = file.indexOf(mark, at + 1);
  }
  return false;
}
