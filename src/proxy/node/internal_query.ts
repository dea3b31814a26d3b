import {serialize} from 'pg-protocol';
import type {Task} from '../../base/node/task';
import type {TargetConnection} from '../../services/pool/node/target_connection';
import {
  bodyOf,
  FrameDecoder,
  typeByteOf,
} from '../../services/wire/common/frames';
import {BodyReader} from '../../services/wire/common/body_reader';
import {Exchange, type AnswerSink, type ExchangeEnd} from './exchange';

const DATA_ROW = typeByteOf('D');
const MOST_BYTES = 64 * 1024 * 1024;

/** The proxy's own query on a connection: its end and its rows' first values. */
export interface OwnAnswer {
  readonly end: ExchangeEnd;
  readonly firstValues: readonly string[];
}

/** Runs a query of the proxy's own; no caller sees its answer. */
export function* runOwnQuery(
  connection: TargetConnection,
  text: string,
): Task<OwnAnswer> {
  const sink = new FirstValues();
  const exchange = new Exchange(connection, sink, 'without ready');
  const bytes = serialize.query(text);
  exchange.send({bytes, shownParses: [], hiddenCloses: 0}, true);
  const end = yield* exchange.wait();
  return {end, firstValues: sink.values};
}

/** Whether a query came to its end without an error. */
export function succeeded({end}: OwnAnswer): boolean {
  return end.status !== undefined && end.error === undefined;
}

/** A text as an SQL literal. */
export function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}

class FirstValues implements AnswerSink {
  readonly values: string[] = [];
  private readonly splitter = new FrameDecoder(MOST_BYTES);

  send(bytes: Buffer): boolean {
    const frames = this.splitter.push(bytes);
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

  caughtUp(): Promise<void> {
    return Promise.resolve();
  }
}
