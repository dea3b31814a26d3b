/** Frames of the PostgreSQL protocol: a type byte, a length and a body. */
export interface Frame {
  /** The type byte. */
  readonly type: number;
  /** The whole frame with its header. */
  readonly bytes: Buffer;
}

/** Why a stream of frames cannot go on. */
export interface FrameError {
  readonly type: number;
  readonly length: number;
}

export const FRAME_HEADER_BYTES = 5;
const LEAST_LENGTH = 4;
const EMPTY = Buffer.alloc(0);

/** The body of a frame, without its header. */
export function bodyOf(frame: Frame): Buffer {
  return frame.bytes.subarray(FRAME_HEADER_BYTES);
}

/** The type byte of a letter. */
export function typeByteOf(letter: string): number {
  return letter.charCodeAt(0);
}

/** A frame around a body. */
export function encodeFrame(letter: string, body: Buffer = EMPTY): Buffer {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  bytes[0] = typeByteOf(letter);
  bytes.writeUInt32BE(LEAST_LENGTH + body.length, 1);
  body.copy(bytes, FRAME_HEADER_BYTES);
  return bytes;
}

/**
 * Cuts a byte stream into frames. A part of a frame is kept until the rest
 * comes; its length is checked against the limit before anything is kept.
 */
export class FrameDecoder {
  private parts: Buffer[] = [];
  private held = 0;
  private wanted = FRAME_HEADER_BYTES;

  constructor(private readonly mostBytes: number) {}

  /** The whole frames that a chunk completes, or a fault. */
  push(chunk: Buffer): readonly Frame[] | FrameError {
    this.parts.push(chunk);
    this.held += chunk.length;
    if (this.held < this.wanted) return [];
    const buffer =
      this.parts.length === 1 ? chunk : Buffer.concat(this.parts, this.held);
    return this.split(buffer);
  }

  private split(buffer: Buffer): readonly Frame[] | FrameError {
    const frames: Frame[] = [];
    let at = 0;
    this.wanted = FRAME_HEADER_BYTES;
    while (buffer.length - at >= FRAME_HEADER_BYTES) {
      const type = buffer[at]!;
      const length = buffer.readUInt32BE(at + 1);
      if (length < LEAST_LENGTH || length > this.mostBytes) {
        return {type, length};
      }
      const end = at + 1 + length;
      if (end > buffer.length) {
        this.wanted = 1 + length;
        break;
      }
      frames.push({type, bytes: buffer.subarray(at, end)});
      at = end;
    }
    const rest = buffer.subarray(at);
    this.parts = rest.length > 0 ? [rest] : [];
    this.held = rest.length;
    return frames;
  }
}
