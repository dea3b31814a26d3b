import {BinaryWriter, sizeDelimitedPeek} from '@bufbuild/protobuf/wire';
import {toError} from '../common/errors';

/** Encodes and decodes one message type, as generated from the schema. */
export interface MessageCodec<M> {
  encode(message: M): {finish(): Uint8Array};
  decode(bytes: Uint8Array): M;
}

/** Far above any message; a larger size means that the data is no frame. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** A message has a value that its type cannot carry. */
export class EncodingError extends Error {}

/**
 * Encodes a message as a frame: length-delimited, as in protobuf streams.
 * Throws an `EncodingError` if that is impossible.
 */
export function encodeFrame<M>(codec: MessageCodec<M>, message: M): Uint8Array {
  let bytes: Uint8Array;
  try {
    bytes = codec.encode(message).finish();
  } catch (thrown) {
    throw new EncodingError(toError(thrown).message);
  }
  return encodeBytes(bytes);
}

/** Encodes bytes as a frame: their length as a varint, then the bytes. */
export function encodeBytes(bytes: Uint8Array): Uint8Array {
  return new BinaryWriter().bytes(bytes).finish();
}

/** The peer announced a frame above the size limit. */
export class FrameSizeError extends Error {}

/** Splits a stream of bytes into frames. */
export class FrameReader {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  /** Bytes that must be pending before another frame can be complete. */
  private neededBytes = 1;

  /** Adds bytes; returns the contents of the frames that they complete. */
  push(chunk: Buffer): Buffer[] {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    if (this.pendingBytes < this.neededBytes) return [];
    const bytes =
      this.pending.length === 1 ? chunk : Buffer.concat(this.pending);
    const frames: Buffer[] = [];
    let position = 0;
    this.neededBytes = 1;
    while (position < bytes.length) {
      const rest = bytes.subarray(position);
      const {eof, size, offset} = sizeDelimitedPeek(rest);
      if (eof) {
        this.neededBytes = rest.length + 1;
        break;
      }
      if (size > MAX_FRAME_BYTES) throw new FrameSizeError(`${size} bytes`);
      const end = offset + size;
      if (rest.length < end) {
        this.neededBytes = end;
        break;
      }
      frames.push(rest.subarray(offset, end));
      position += end;
    }
    const remainder = bytes.subarray(position);
    this.pending = remainder.length === 0 ? [] : [remainder];
    this.pendingBytes = remainder.length;
    return frames;
  }
}
