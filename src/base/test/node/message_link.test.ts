import {createServer, connect, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {encodeBytes, FrameReader} from '../../node/message_frames';
import {
  openLink,
  type LinkProtocol,
  type MessageLink,
} from '../../node/message_link';
import {MessageServer} from '../../node/message_server';
import {createAbortController} from '../../node/timers';

const TEXT = {
  encode: (text: string) => ({finish: () => Buffer.from(text)}),
  decode(bytes: Uint8Array) {
    const text = Buffer.from(bytes).toString();
    if (text === 'unreadable') throw new Error('not a text');
    return text;
  },
};

const PROTOCOL: LinkProtocol<string, string> = {
  name: 'texts',
  requests: TEXT,
  responses: TEXT,
  maxSilenceMs: 140,
};

type Link = MessageLink<string, string>;

let stop: AbortController;
let logLines: string[];
let accepted: Link[];
let received: string[];
let serverEndReasons: string[];
let address: string;

beforeEach(async () => {
  stop = createAbortController();
  logLines = [];
  accepted = [];
  received = [];
  serverEndReasons = [];
  const record = (sentence: string, fields: object = {}) => {
    logLines.push(`${sentence} ${JSON.stringify(fields)}`);
  };
  const log = {info: record, warn: record, error: record, debug: record};
  const server = new MessageServer(log);
  server.serve(PROTOCOL, link => {
    accepted.push(link);
    link.start({
      onDidReceive: text => received.push(text),
      onDidEnd: reason => serverEndReasons.push(reason),
    });
  });
  const port = await server.listen('127.0.0.1:0', stop.signal);
  address = `127.0.0.1:${port.unwrapOr(0)}`;
});

afterEach(() => stop.abort());

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function until(condition: () => boolean): Promise<void> {
  for (let count = 0; count < 400 && !condition(); count++) await pause(5);
  expect(condition()).toBe(true);
}

/** Opens a link to the server and records its messages and its end. */
function open(to = address) {
  const responses: string[] = [];
  const endReasons: string[] = [];
  const link = openLink(to, PROTOCOL, stop.signal);
  link.start({
    onDidReceive: text => responses.push(text),
    onDidEnd: reason => endReasons.push(reason),
  });
  return {link, responses, endReasons};
}

/** Forwards bytes until it simulates a partition, without a reset. */
class Relay {
  private readonly sockets: Socket[] = [];
  private readonly server: Server;
  isPartitioned = false;

  constructor(to: string) {
    const port = Number(to.split(':')[1]);
    this.server = createServer(clientSocket => {
      const serverSocket = connect(port, '127.0.0.1');
      this.forward(clientSocket, serverSocket);
      this.forward(serverSocket, clientSocket);
    });
  }

  async start(): Promise<string> {
    await new Promise<void>(done => {
      this.server.listen(0, '127.0.0.1', () => done());
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.push(from);
    from.on('data', bytes => {
      if (!this.isPartitioned) to.write(bytes);
    });
    from.on('error', () => {});
  }
}

describe('frames', () => {
  it('are complete however their bytes are split', () => {
    const texts = ['', 'a', 'b'.repeat(200), 'c'.repeat(20_000)];
    const bytes = Buffer.concat(
      texts.map(text => encodeBytes(Buffer.from(text))),
    );
    for (const size of [1, 2, 3, 7, 128, 5_000, bytes.length]) {
      const reader = new FrameReader();
      const read: string[] = [];
      for (let at = 0; at < bytes.length; at += size) {
        const frames = reader.push(bytes.subarray(at, at + size));
        read.push(...frames.map(frame => frame.toString()));
      }
      expect(read).toEqual(texts);
    }
  });

  it('above the size limit are rejected', () => {
    const reader = new FrameReader();
    const oversized = Buffer.from([0xff, 0xff, 0xff, 0xff, 0x07, 1, 2]);
    expect(() => reader.push(oversized)).toThrow('2147483647 bytes');
  });
});

describe('a link', () => {
  it('carries messages in both directions, in order', async () => {
    const {link, responses} = open();
    for (const text of ['one', 'two', 'three']) link.write(text);
    await until(() => received.length === 3);
    expect(received).toEqual(['one', 'two', 'three']);
    accepted[0]!.write('four');
    await until(() => responses.length === 1);
    expect(responses).toEqual(['four']);
  });

  it('stays open while no messages are sent', async () => {
    const {endReasons} = open();
    await pause(PROTOCOL.maxSilenceMs * 4);
    expect([endReasons, serverEndReasons]).toEqual([[], []]);
  });

  it('ends on both sides after a network partition', async () => {
    // Guards against both sides keeping a dead connection for as long as the
    // kernel retransmits packets.
    const relay = new Relay(address);
    const {endReasons, link} = open(await relay.start());
    link.write('before');
    await until(() => received.length === 1);
    relay.isPartitioned = true;
    await until(() => endReasons.length === 1 && serverEndReasons.length === 1);
    expect([endReasons, serverEndReasons]).toEqual([['silent'], ['silent']]);
    relay.close();
  });

  it('sends queued messages before it ends', async () => {
    const {responses, endReasons} = open();
    await until(() => accepted.length === 1);
    accepted[0]!.write('last message');
    accepted[0]!.endAfterFlush();
    accepted[0]!.write('too late');
    await until(() => endReasons.length === 1);
    expect(responses).toEqual(['last message']);
    expect(serverEndReasons).toEqual([]);
  });

  it('ends when the peer sends an unreadable message', async () => {
    const {link, endReasons} = open();
    link.write('unreadable');
    await until(() => endReasons.length === 1);
    expect(serverEndReasons).toEqual(['unreadable message: not a text']);
  });

  it('ends when the peer does not read', async () => {
    // Guards against a hung process filling the memory of its peers, whose
    // connections to it stay open.
    const {link, endReasons} = open();
    await until(() => accepted.length === 1);
    const large = 'x'.repeat(1024 * 1024);
    for (let count = 0; count < 8; count++) link.write(large);
    expect(endReasons).toEqual(['the peer does not read']);
  });

  it('ends when nothing listens at the address', async () => {
    const {endReasons} = open('127.0.0.1:1');
    await until(() => endReasons.length === 1);
    expect(endReasons[0]).toContain('ECONNREFUSED');
  });
});

describe('a connection with another protocol', () => {
  it.each([
    ['an unknown name', encodeBytes(Buffer.from('chess')), 'unknown protocol'],
    ['an HTTP client', Buffer.from('\xff\xff\xff\xff\x07GET /'), 'bytes'],
  ])('is rejected: %s', async (...[, bytes, reason]) => {
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
    socket.on('error', () => {});
    const closed = new Promise(resolve => socket.on('close', resolve));
    socket.write(bytes);
    await closed;
    expect(logLines.join('\n')).toContain(reason);
    expect(accepted).toEqual([]);
  });
});
