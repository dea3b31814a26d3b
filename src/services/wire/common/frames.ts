/** A frame of the PostgreSQL protocol: a type byte, a length and a body. */
export interface Frame {
  readonly type: number;
  /** The whole frame, including its header. */
  readonly bytes: Buffer;
}

/** The type and length of a frame whose length is not allowed. */
export interface FrameError {
  readonly type: number;
  readonly length: number;
}

export const FRAME_HEADER_BYTES = 5;
const MIN_LENGTH = 4;
const EMPTY = Buffer.alloc(0);

/** The body of a frame, without its header. */
export function bodyOf(frame: Frame): Buffer {
  return frame.bytes.subarray(FRAME_HEADER_BYTES);
}

/** The type byte of a letter. */
export function typeByteOf(letter: string): number {
  return letter.charCodeAt(0);
}

/** Encodes a frame with a body. */
export function encodeFrame(letter: string, body: Buffer = EMPTY): Buffer {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  bytes[0] = typeByteOf(letter);
  bytes.writeUInt32BE(MIN_LENGTH + body.length, 1);
  body.copy(bytes, FRAME_HEADER_BYTES);
  return bytes;
}

/**
 * Splits a byte stream into frames and buffers incomplete ones. The length of a
 * frame is checked against the limit before its body is buffered.
 */
export class FrameDecoder {
  private parts: Buffer[] = [];
  private bufferedBytes = 0;
  private requiredBytes = FRAME_HEADER_BYTES;

  constructor(private readonly maxBytes: number) {}

  /** The frames that a chunk completes, or an error. */
  push(chunk: Buffer): readonly Frame[] | FrameError {
    this.parts.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.requiredBytes) return [];
    const buffer =
      this.parts.length === 1
        ? chunk
        : Buffer.concat(this.parts, this.bufferedBytes);
    return this.split(buffer);
  }

  private split(buffer: Buffer): readonly Frame[] | FrameError {
    const frames: Frame[] = [];
    let offset = 0;
    this.requiredBytes = FRAME_HEADER_BYTES;
    while (buffer.length - offset >= FRAME_HEADER_BYTES) {
      const type = buffer[offset]!;
      const length = buffer.readUInt32BE(offset + 1);
      if (length < MIN_LENGTH || length > this.maxBytes) {
        return {type, length};
      }
      const end = offset + 1 + length;
      if (end > buffer.length) {
        this.requiredBytes = 1 + length;
        break;
      }
      frames.push({type, bytes: buffer.subarray(offset, end)});
      offset = end;
    }
    const rest = buffer.subarray(offset);
    this.parts = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return frames;
  }
}
