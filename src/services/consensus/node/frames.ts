import {crc32} from 'node:zlib';

/**
 * Frames of the log file: magic number, length, checksum and payload. Each
 * write is one frame, so a crash can only tear the last one.
 */
const MAGIC = 0x62737431;
const HEADER_BYTES = 12;

/** Content of a file of frames. */
export interface FrameScan {
  readonly payloads: readonly Buffer[];
  /** Length of the whole frames at the start of the file, in bytes. */
  readonly validBytes: number;
  /** Offset of a damaged frame before a whole one, which is no torn tail. */
  readonly damagedOffset: number | undefined;
}

/** Encodes a payload as one frame. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(MAGIC, 0);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

/** Reads frames up to the first one that is not whole. */
export function scanFrames(file: Buffer): FrameScan {
  const payloads: Buffer[] = [];
  let offset = 0;
  for (;;) {
    const payload = frameAt(file, offset);
    if (!payload) break;
    payloads.push(payload);
    offset += HEADER_BYTES + payload.length;
  }
  const damagedOffset = hasFrameAfter(file, offset) ? offset : undefined;
  return {payloads, validBytes: offset, damagedOffset};
}

function frameAt(file: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > file.length) return undefined;
  if (file.readUInt32BE(offset) !== MAGIC) return undefined;
  const end = offset + HEADER_BYTES + file.readUInt32BE(offset + 4);
  if (end > file.length) return undefined;
  const payload = file.subarray(offset + HEADER_BYTES, end);
  return crc32(payload) === file.readUInt32BE(offset + 8) ? payload : undefined;
}

function hasFrameAfter(file: Buffer, start: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC);
  let offset = file.indexOf(magic, start + 1);
  while (offset >= 0) {
    if (frameAt(file, offset)) return true;
    offset = file.indexOf(magic, offset + 1);
  }
  return false;
}
