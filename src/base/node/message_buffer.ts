/** Taken places are given back in pieces of this many. */
const COMPACT_AFTER = 1_024;

/**
 * A channel's buffer that grows as it fills, up to a limit. The library's own
 * takes all of its memory at once: 128 KB for each session's mailbox.
 */
export class MessageBuffer {
  private items: unknown[] = [];
  private head = 0;

  constructor(private readonly limit: number) {}

  isFull(): boolean {
    return this.count() >= this.limit;
  }

  add(item: unknown): void {
    this.items.push(item);
  }

  remove(): unknown {
    const item = this.items[this.head];
    this.items[this.head] = undefined;
    this.head++;
    if (this.head === this.items.length) {
      this.items.length = 0;
      this.head = 0;
    } else if (this.head >= COMPACT_AFTER) {
      this.items.splice(0, this.head);
      this.head = 0;
    }
    return item;
  }

  count(): number {
    return this.items.length - this.head;
  }

  closeBuffer(): void {}
}
