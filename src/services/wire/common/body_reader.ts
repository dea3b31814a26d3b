/** Reads values from the body of a frame; undefined beyond its end. */
export class BodyReader {
  private offset = 0;

  constructor(private readonly body: Buffer) {}

  get atEnd(): boolean {
    return this.offset >= this.body.length;
  }

  cstring(): string | undefined {
    const end = this.body.indexOf(0, this.offset);
    if (end < 0) return undefined;
    const text = this.body.toString('utf8', this.offset, end);
    this.offset = end + 1;
    return text;
  }

  byte(): number | undefined {
    return this.offset < this.body.length
      ? this.body[this.offset++]
      : undefined;
  }

  int16(): number | undefined {
    if (this.offset + 2 > this.body.length) return undefined;
    this.offset += 2;
    return this.body.readInt16BE(this.offset - 2);
  }

  int32(): number | undefined {
    if (this.offset + 4 > this.body.length) return undefined;
    this.offset += 4;
    return this.body.readInt32BE(this.offset - 4);
  }

  bytes(count: number): Buffer | undefined {
    if (count < 0 || this.offset + count > this.body.length) return undefined;
    this.offset += count;
    return this.body.subarray(this.offset - count, this.offset);
  }

  rest(): Buffer {
    return this.body.subarray(this.offset);
  }
}
