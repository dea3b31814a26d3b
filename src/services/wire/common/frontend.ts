import {bodyOf, encodeFrame, typeByteOf, type Frame} from './frames';
import {BodyReader} from './body_reader';

/** A message of a caller, decoded as far as the proxy needs it. */
export type FrontendMessage =
  | {readonly kind: 'query'; readonly text: string}
  | {
      readonly kind: 'parse';
      readonly name: string;
      readonly text: string;
      /** The undecoded parameter types, which are passed on as received. */
      readonly rest: Buffer;
    }
  | {
      readonly kind: 'bind';
      readonly portal: string;
      readonly statement: string;
      readonly rest: Buffer;
    }
  | {
      readonly kind: 'describe' | 'close';
      readonly objectKind: 'statement' | 'portal';
      readonly name: string;
    }
  | {
      readonly kind: 'execute';
      readonly portal: string;
      readonly maxRows: number;
    }
  | {readonly kind: 'sync'}
  | {readonly kind: 'flush'}
  | {readonly kind: 'terminate'}
  | {readonly kind: 'other'; readonly type: number};

/** Decodes a frame of a caller; undefined if its body is invalid. */
export function decodeFrontend(frame: Frame): FrontendMessage | undefined {
  const reader = new BodyReader(bodyOf(frame));
  switch (String.fromCharCode(frame.type)) {
    case 'Q':
      return decodeQuery(reader);
    case 'P':
      return decodeParse(reader);
    case 'B':
      return decodeBind(reader);
    case 'D':
      return decodeNamed('describe', reader);
    case 'C':
      return decodeNamed('close', reader);
    case 'E':
      return decodeExecute(reader);
    case 'S':
      return {kind: 'sync'};
    case 'H':
      return {kind: 'flush'};
    case 'X':
      return {kind: 'terminate'};
    default:
      return {kind: 'other', type: frame.type};
  }
}

function decodeQuery(reader: BodyReader): FrontendMessage | undefined {
  const text = reader.cstring();
  return text === undefined ? undefined : {kind: 'query', text};
}

function decodeParse(reader: BodyReader): FrontendMessage | undefined {
  const name = reader.cstring();
  const text = reader.cstring();
  if (name === undefined || text === undefined) return undefined;
  return {kind: 'parse', name, text, rest: reader.rest()};
}

function decodeBind(reader: BodyReader): FrontendMessage | undefined {
  const portal = reader.cstring();
  const statement = reader.cstring();
  if (portal === undefined || statement === undefined) return undefined;
  return {kind: 'bind', portal, statement, rest: reader.rest()};
}

function decodeNamed(
  kind: 'describe' | 'close',
  reader: BodyReader,
): FrontendMessage | undefined {
  const of = reader.byte();
  const name = reader.cstring();
  if (name === undefined) return undefined;
  if (of === typeByteOf('S')) return {kind, objectKind: 'statement', name};
  if (of === typeByteOf('P')) return {kind, objectKind: 'portal', name};
  return undefined;
}

function decodeExecute(reader: BodyReader): FrontendMessage | undefined {
  const portal = reader.cstring();
  const mostRows = reader.int32();
  if (portal === undefined || mostRows === undefined) return undefined;
  return {kind: 'execute', portal, maxRows: mostRows};
}

/** Protocol version 3.0 in a startup packet. */
export const PROTOCOL_VERSION = 196_608;
export const SSL_REQUEST = 80_877_103;
export const GSS_REQUEST = 80_877_104;
export const CANCEL_REQUEST = 80_877_102;

/** The first packet of a connection, which has no type byte. */
export type StartupPacket =
  | {readonly kind: 'startup'; readonly parameters: Map<string, string>}
  | {readonly kind: 'encryption'}
  | {readonly kind: 'cancel'; readonly processId: number; readonly key: number}
  | {readonly kind: 'invalid'; readonly reason: string};

/** Decodes a startup packet, given without its length field. */
export function decodeStartup(body: Buffer): StartupPacket {
  const reader = new BodyReader(body);
  const code = reader.int32();
  if (code === SSL_REQUEST || code === GSS_REQUEST) {
    return {kind: 'encryption'};
  }
  if (code === CANCEL_REQUEST) {
    const processId = reader.int32() ?? 0;
    return {kind: 'cancel', processId, key: reader.int32() ?? 0};
  }
  if (code === undefined || code >> 16 !== PROTOCOL_VERSION >> 16) {
    return {kind: 'invalid', reason: 'unknown protocol version'};
  }
  const parameters = new Map<string, string>();
  for (;;) {
    const name = reader.cstring();
    if (!name) return {kind: 'startup', parameters};
    const value = reader.cstring();
    if (value === undefined) {
      return {kind: 'invalid', reason: 'startup parameter without a value'};
    }
    parameters.set(name, value);
  }
}

const ZERO = Buffer.alloc(1);

/** Encodes text with a terminating zero byte. */
export function cstring(text: string): Buffer {
  return Buffer.concat([Buffer.from(text), ZERO]);
}

/** Encodes a Parse message with another statement name. */
export function encodeParse(name: string, text: string, rest: Buffer): Buffer {
  return encodeFrame('P', Buffer.concat([cstring(name), cstring(text), rest]));
}

/** Encodes a Bind message with another statement name. */
export function encodeBind(
  portal: string,
  statement: string,
  rest: Buffer,
): Buffer {
  const body = Buffer.concat([cstring(portal), cstring(statement), rest]);
  return encodeFrame('B', body);
}

/** Encodes a Describe message for a statement. */
export function encodeDescribeStatement(name: string): Buffer {
  return encodeFrame('D', Buffer.concat([Buffer.from('S'), cstring(name)]));
}
