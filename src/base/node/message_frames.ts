import {BinaryWriter, sizeDelimitedPeek} from '@bufbuild/protobuf/wire';

/** How messages of one kind become bytes, as generated from the schema. */
export interface MessageCodec<M> {
  encode(message: M): {finish(): Uint8Array};
  decode(bytes: Uint8Array): M;
}

/**
 * A larger message says that the other side speaks something else: the catalog
 * of 5,500 services takes 3 MB.
 */
const MOST_FRAME_BYTES = 64 * 1024 * 1024;

/** A message behind its size, as protobuf delimits messages in a stream. */
export function encodeFrame<M>(codec: MessageCodec<M>, message: M): Uint8Array {
  return frameOf(codec.encode(message).finish());
}

/** Bytes behind their size. */
export function frameOf(bytes: Uint8Array): Uint8Array {
  return new BinaryWriter().bytes(bytes).finish();
}

/** The other side sent what cannot be a frame. */
export class OversizedFrame extends Error {}

/** Cuts a stream of bytes into frames. */
export class FrameReader {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  /** Fewer bytes than this hold no whole frame. */
  private neededBytes = 1;

  /** Takes bytes; the contents of the frames that are whole by now. */
  push(chunk: Buffer): Buffer[] {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    if (this.pendingBytes < this.neededBytes) return [];
    const bytes =
      this.pending.length === 1 ? chunk : Buffer.concat(this.pending);
    const frames: Buffer[] = [];
    let at = 0;
    this.neededBytes = 1;
    while (at < bytes.length) {
      const rest = bytes.subarray(at);
      const {eof, size, offset} = sizeDelimitedPeek(rest);
      if (eof) {
        this.neededBytes = rest.length + 1;
        break;
      }
      if (size > MOST_FRAME_BYTES) throw new OversizedFrame(`${size} bytes`);
      const end = offset + size;
      if (rest.length < end) {
        this.neededBytes = end;
        break;
      }
      frames.push(rest.subarray(offset, end));
      at += end;
    }
    const left = bytes.subarray(at);
    this.pending = left.length === 0 ? [] : [left];
    this.pendingBytes = left.length;
    return frames;
  }
}
