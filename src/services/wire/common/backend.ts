import {encodeFrame} from './frames';
import {cstring} from './frontend';
import {BodyReader} from './body_reader';

/** The transaction status of a session, as in ReadyForQuery. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

const STATUS_LETTERS: Record<TransactionStatus, string> = {
  idle: 'I',
  open: 'T',
  failed: 'E',
};

/** A column of a row description. */
export interface Column {
  readonly name: string;
  /** The OID of the column's type. */
  readonly type: number;
}

/** OIDs of PostgreSQL types. */
export const TYPE_TEXT = 25;
export const TYPE_INT8 = 20;
export const TYPE_BOOL = 16;
export const TYPE_FLOAT8 = 701;

/** The fields of an ErrorResponse or NoticeResponse. */
export interface Diagnostic {
  readonly severity: 'ERROR' | 'FATAL' | 'NOTICE' | 'WARNING';
  readonly code: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

export const AUTHENTICATION_OK = encodeFrame('R', Buffer.alloc(4));
export const PARSE_COMPLETE = encodeFrame('1');
export const BIND_COMPLETE = encodeFrame('2');
export const CLOSE_COMPLETE = encodeFrame('3');
export const NO_DATA = encodeFrame('n');
export const EMPTY_QUERY = encodeFrame('I');

const READY: Record<TransactionStatus, Buffer> = {
  idle: encodeFrame('Z', Buffer.from('I')),
  open: encodeFrame('Z', Buffer.from('T')),
  failed: encodeFrame('Z', Buffer.from('E')),
};

export function encodeReadyForQuery(status: TransactionStatus): Buffer {
  return READY[status];
}

/** Decodes the transaction status of a ReadyForQuery body. */
export function decodeReadyForQuery(body: Buffer): TransactionStatus {
  const letter = String.fromCharCode(body[0] ?? 0);
  if (letter === STATUS_LETTERS.open) return 'open';
  return letter === STATUS_LETTERS.failed ? 'failed' : 'idle';
}

export function encodeParameterStatus(name: string, value: string): Buffer {
  return encodeFrame('S', Buffer.concat([cstring(name), cstring(value)]));
}

/** Decodes the name and value of a ParameterStatus body. */
export function decodeParameterStatus(body: Buffer): [string, string] {
  const reader = new BodyReader(body);
  return [reader.cstring() ?? '', reader.cstring() ?? ''];
}

export function encodeBackendKeyData(processId: number, key: number): Buffer {
  const body = Buffer.alloc(8);
  body.writeInt32BE(processId, 0);
  body.writeInt32BE(key, 4);
  return encodeFrame('K', body);
}

export function encodeCommandComplete(tag: string): Buffer {
  return encodeFrame('C', cstring(tag));
}

/** Decodes the tag of a CommandComplete body. */
export function decodeCommandComplete(body: Buffer): string {
  return new BodyReader(body).cstring() ?? '';
}

export function encodeRowDescription(columns: readonly Column[]): Buffer {
  const parts = [int16(columns.length)];
  for (const {name, type} of columns) {
    const tail = Buffer.alloc(18);
    tail.writeInt32BE(type, 6);
    tail.writeInt16BE(-1, 10);
    tail.writeInt32BE(-1, 12);
    parts.push(cstring(name), tail);
  }
  return encodeFrame('T', Buffer.concat(parts));
}

export function encodeDataRow(values: readonly (string | null)[]): Buffer {
  const parts = [int16(values.length)];
  for (const value of values) {
    if (value === null) {
      parts.push(int32(-1));
      continue;
    }
    const bytes = Buffer.from(value);
    parts.push(int32(bytes.length), bytes);
  }
  return encodeFrame('D', Buffer.concat(parts));
}

export function encodeParameterDescription(types: readonly number[]): Buffer {
  return encodeFrame(
    't',
    Buffer.concat([int16(types.length), ...types.map(int32)]),
  );
}

export function encodeError(diagnostic: Diagnostic): Buffer {
  return encodeFrame('E', encodeDiagnostic(diagnostic));
}

export function encodeNotice(diagnostic: Diagnostic): Buffer {
  return encodeFrame('N', encodeDiagnostic(diagnostic));
}

function encodeDiagnostic(diagnostic: Diagnostic): Buffer {
  const {severity, code, message, detail, hint} = diagnostic;
  const fields: [string, string | undefined][] = [
    ['S', severity],
    ['V', severity],
    ['C', code],
    ['M', message],
    ['D', detail],
    ['H', hint],
  ];
  const parts = fields
    .filter(([, value]) => value !== undefined)
    .map(([letter, value]) => cstring(`${letter}${value}`));
  return Buffer.concat([...parts, Buffer.alloc(1)]);
}

/** Decodes an ErrorResponse or NoticeResponse body. */
export function decodeDiagnostic(body: Buffer): Diagnostic {
  const reader = new BodyReader(body);
  const fields = new Map<string, string>();
  for (;;) {
    const field = reader.cstring();
    if (!field) break;
    fields.set(field[0]!, field.slice(1));
  }
  return {
    severity: (fields.get('S') ?? 'ERROR') as Diagnostic['severity'],
    code: fields.get('C') ?? 'XX000',
    message: fields.get('M') ?? '',
    detail: fields.get('D'),
    hint: fields.get('H'),
  };
}

function int16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeInt16BE(value);
  return bytes;
}

function int32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value);
  return bytes;
}
