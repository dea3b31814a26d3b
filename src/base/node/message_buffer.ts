/** Removed items at the head before the array is compacted. */
const COMPACT_THRESHOLD = 1_024;

/**
 * A channel buffer that grows on demand, up to its capacity. The buffers of
 * js-csp allocate their whole capacity at once, for each session's mailbox.
 */
export class MessageBuffer {
  private items: unknown[] = [];
  private head = 0;

  constructor(private readonly capacity: number) {}

  isFull(): boolean {
    return this.count() >= this.capacity;
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
    } else if (this.head >= COMPACT_THRESHOLD) {
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
