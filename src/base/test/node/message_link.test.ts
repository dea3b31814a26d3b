import {createServer, connect, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {frameOf, FrameReader} from '../../node/message_frames';
import {
  openLink,
  type LinkProtocol,
  type MessageLink,
} from '../../node/message_link';
import {MessageServer} from '../../node/message_server';
import {ownController} from '../../node/timers';

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
  silenceMs: 140,
};

type Link = MessageLink<string, string>;

let stop: AbortController;
let lines: string[];
let accepted: Link[];
let heard: string[];
let ends: string[];
let address: string;

beforeEach(async () => {
  stop = ownController();
  lines = [];
  accepted = [];
  heard = [];
  ends = [];
  const note = (sentence: string, fields: object = {}) => {
    lines.push(`${sentence} ${JSON.stringify(fields)}`);
  };
  const log = {info: note, warn: note, error: note, debug: note};
  const server = new MessageServer(log);
  server.serve(PROTOCOL, link => {
    accepted.push(link);
    link.start({
      onDidReceive: text => heard.push(text),
      onDidEnd: reason => ends.push(reason),
    });
  });
  const port = await server.listen('127.0.0.1:0', stop.signal);
  address = `127.0.0.1:${port.unwrapOr(0)}`;
});

afterEach(() => stop.abort());

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function until(holds: () => boolean): Promise<void> {
  for (let looks = 0; looks < 400 && !holds(); looks++) await pause(5);
  expect(holds()).toBe(true);
}

/** A link to the server, with what it hears and how it ends. */
function open(to = address) {
  const answers: string[] = [];
  const over: string[] = [];
  const link = openLink(to, PROTOCOL, stop.signal);
  link.start({
    onDidReceive: text => answers.push(text),
    onDidEnd: reason => over.push(reason),
  });
  return {link, answers, over};
}

/** Passes bytes on until told to be silent: a cut that resets nothing. */
class Relay {
  private readonly sockets: Socket[] = [];
  private readonly server: Server;
  isSilent = false;

  constructor(to: string) {
    const port = Number(to.split(':')[1]);
    this.server = createServer(near => {
      const far = connect(port, '127.0.0.1');
      this.pass(near, far);
      this.pass(far, near);
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

  private pass(from: Socket, to: Socket): void {
    this.sockets.push(from);
    from.on('data', bytes => {
      if (!this.isSilent) to.write(bytes);
    });
    from.on('error', () => {});
  }
}

describe('frames', () => {
  it('are whole however their bytes are cut', () => {
    const texts = ['', 'a', 'b'.repeat(200), 'c'.repeat(20_000)];
    const bytes = Buffer.concat(texts.map(text => frameOf(Buffer.from(text))));
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

  it('of a size that nobody sends are refused', () => {
    const reader = new FrameReader();
    const endless = Buffer.from([0xff, 0xff, 0xff, 0xff, 0x07, 1, 2]);
    expect(() => reader.push(endless)).toThrow('2147483647 bytes');
  });
});

describe('a link', () => {
  it('carries messages both ways, in order', async () => {
    const {link, answers} = open();
    for (const text of ['one', 'two', 'three']) link.write(text);
    await until(() => heard.length === 3);
    expect(heard).toEqual(['one', 'two', 'three']);
    accepted[0]!.write('four');
    await until(() => answers.length === 1);
    expect(answers).toEqual(['four']);
  });

  it('stays while both sides have nothing to say', async () => {
    const {over} = open();
    await pause(PROTOCOL.silenceMs * 4);
    expect([over, ends]).toEqual([[], []]);
  });

  it('is over at both sides after a silent cut', async () => {
    // A switch drops every packet and resets nothing. A proxy would go on
    // waiting for a leader that it cannot reach, and the leader would count
    // a proxy that is gone, for as long as the kernel repeats packets.
    const relay = new Relay(address);
    const {over, link} = open(await relay.start());
    link.write('before');
    await until(() => heard.length === 1);
    relay.isSilent = true;
    await until(() => over.length === 1 && ends.length === 1);
    expect([over, ends]).toEqual([['silent'], ['silent']]);
    relay.close();
  });

  it('sends what was written before it finishes', async () => {
    const {answers, over} = open();
    await until(() => accepted.length === 1);
    accepted[0]!.write('follow another one');
    accepted[0]!.finish();
    accepted[0]!.write('too late');
    await until(() => over.length === 1);
    expect(answers).toEqual(['follow another one']);
    expect(ends).toEqual([]);
  });

  it('ends where the other side sends what cannot be read', async () => {
    const {link, over} = open();
    link.write('unreadable');
    await until(() => over.length === 1);
    expect(ends).toEqual(['unreadable: not a text']);
  });

  it('ends where the other side reads nothing', async () => {
    // A process that hangs keeps its connections. What is meant for it would
    // fill the memory of all that talk to it.
    const {link, over} = open();
    await until(() => accepted.length === 1);
    const large = 'x'.repeat(1024 * 1024);
    for (let count = 0; count < 8; count++) link.write(large);
    expect(over).toEqual(['the other side does not read']);
  });

  it('counts as lost where nobody listens', async () => {
    const {over} = open('127.0.0.1:1');
    await until(() => over.length === 1);
    expect(over[0]).toContain('ECONNREFUSED');
  });
});

describe('whoever speaks another protocol', () => {
  it.each([
    ['an unknown name', frameOf(Buffer.from('chess')), 'unknown protocol'],
    ['a caller of HTTP', Buffer.from('\xff\xff\xff\xff\x07GET /'), 'bytes'],
  ])('is refused: %s', async (...[, bytes, reason]) => {
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
    socket.on('error', () => {});
    const closed = new Promise(resolve => socket.on('close', resolve));
    socket.write(bytes);
    await closed;
    expect(lines.join('\n')).toContain(reason);
    expect(accepted).toEqual([]);
  });
});
