/** Reads the body of a frame; undefined where the body is too short. */
export class BodyReader {
  private at = 0;

  constructor(private readonly body: Buffer) {}

  get atEnd(): boolean {
    return this.at >= this.body.length;
  }

  cstring(): string | undefined {
    const end = this.body.indexOf(0, this.at);
    if (end < 0) return undefined;
    const text = this.body.toString('utf8', this.at, end);
    this.at = end + 1;
    return text;
  }

  byte(): number | undefined {
    return this.at < this.body.length ? this.body[this.at++] : undefined;
  }

  int16(): number | undefined {
    if (this.at + 2 > this.body.length) return undefined;
    this.at += 2;
    return this.body.readInt16BE(this.at - 2);
  }

  int32(): number | undefined {
    if (this.at + 4 > this.body.length) return undefined;
    this.at += 4;
    return this.body.readInt32BE(this.at - 4);
  }

  bytes(count: number): Buffer | undefined {
    if (count < 0 || this.at + count > this.body.length) return undefined;
    this.at += count;
    return this.body.subarray(this.at - count, this.at);
  }

  rest(): Buffer {
    return this.body.subarray(this.at);
  }
}
