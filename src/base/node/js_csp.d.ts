declare module 'js-csp' {
  interface Channel {
    close(): void;
  }
  interface Buffer {
    isFull(): boolean;
    add(item: unknown): void;
    remove(): unknown;
    count(): number;
    closeBuffer(): void;
  }
  const csp: {
    CLOSED: null;
    NO_VALUE: unknown;
    chan(buffer?: number | Buffer): Channel;
    take(channel: Channel): unknown;
    put(channel: Channel, value: unknown): unknown;
    offer(channel: Channel, value: unknown): boolean;
    poll(channel: Channel): unknown;
    putAsync(channel: Channel, value: unknown): void;
    spawn(generator: Generator<unknown, unknown, unknown>): Channel;
  };
  export default csp;
}
