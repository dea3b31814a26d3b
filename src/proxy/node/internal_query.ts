import {serialize} from 'pg-protocol';
import type {Task} from '../../base/node/task';
import type {TargetConnection} from '../../services/pool/node/target_connection';
import {
  bodyOf,
  FrameDecoder,
  typeByteOf,
} from '../../services/wire/common/frames';
import {BodyReader} from '../../services/wire/common/body_reader';
import {Exchange, type ReplySink, type ExchangeEnd} from './exchange';

const DATA_ROW = typeByteOf('D');
const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** How an internal query ended, and the first column of its rows. */
export interface InternalQueryResult {
  readonly end: ExchangeEnd;
  readonly firstValues: readonly string[];
}

/** Runs a query of the proxy itself; nothing of it goes to the caller. */
export function* runInternalQuery(
  connection: TargetConnection,
  text: string,
): Task<InternalQueryResult> {
  const sink = new FirstColumnSink();
  const exchange = new Exchange(connection, sink, 'without ReadyForQuery');
  const bytes = serialize.query(text);
  exchange.send({bytes, relayedParses: [], hiddenCloseCount: 0}, true);
  const end = yield* exchange.wait();
  return {end, firstValues: sink.values};
}

/** Whether a query completed without an error. */
export function succeeded({end}: InternalQueryResult): boolean {
  return end.status !== undefined && end.error === undefined;
}

/** Quotes a text as an SQL literal, for standard_conforming_strings. */
export function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}

class FirstColumnSink implements ReplySink {
  readonly values: string[] = [];
  private readonly decoder = new FrameDecoder(MAX_FRAME_BYTES);

  send(bytes: Buffer): boolean {
    const frames = this.decoder.push(bytes);
    if ('type' in frames) return true;
    for (const frame of frames) {
      if (frame.type !== DATA_ROW) continue;
      const reader = new BodyReader(bodyOf(frame));
      reader.int16();
      const value = reader.bytes(reader.int32() ?? -1);
      this.values.push(value?.toString() ?? '');
    }
    return true;
  }

  whenDrained(): Promise<void> {
    return Promise.resolve();
  }
}
