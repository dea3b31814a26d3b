// The core alone: the reporters for terminals cost a start 2 to 4 ms.
import {createConsola, LogLevels, type ConsolaReporter} from 'consola/core';
import {LineBudget} from '../common/line_budget';
import {LineSink} from './line_sink';
import {MonotonicClock} from './monotonic_clock';

/** A log whose lines all carry the prefix of one part. */
export interface Log {
  info(sentence: string, fields?: Fields): void;
  warn(sentence: string, fields?: Fields): void;
  error(sentence: string, fields?: Fields): void;
  debug(sentence: string, fields?: Fields): void;
}

/** What a line says besides its sentence. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** How the lines of a program look. */
export type LogFormat = 'text' | 'json' | 'events';

/** Lines of one sentence in a second; see LineBudget for the grounds. */
const LINES_PER_SECOND = 20;
const STANDARD_OUTPUT = 1;

const reporters: Record<LogFormat, ConsolaReporter> = {
  text: {
    log({date, type, tag, args}) {
      const [sentence, fields = {}] = args as [string, Fields?];
      const pairs = Object.entries(fields).map(([key, value]) => {
        return ` ${key}=${value}`;
      });
      const time = date.toISOString();
      const line = `${time} ${type} [${tag}] ${sentence}${pairs.join('')}\n`;
      process.stderr.write(line);
    },
  },
  json: {
    log({date, type, tag, args}) {
      const [sentence, fields = {}] = args as [string, Fields?];
      const line = {time: date.toISOString(), level: type, part: tag, sentence};
      process.stderr.write(`${JSON.stringify({...line, ...fields})}\n`);
    },
  },
  events: {
    log({date, type, tag, args}) {
      const [sentence, fields = {}] = args as [string, Fields?];
      events ??= new EventWriter();
      events.write({date, level: type, part: tag, sentence, fields});
    },
  },
};

interface Event {
  readonly date: Date;
  readonly level: string;
  readonly part: string;
  readonly sentence: string;
  readonly fields: Fields;
}

/**
 * One JSON object a line on standard output, within a budget for each sentence
 * and without ever waiting for the reader. The time of day may jump, so each
 * line has the steady clock as well, in milliseconds since the start.
 */
class EventWriter {
  private readonly clock = new MonotonicClock();
  private readonly budget = new LineBudget(LINES_PER_SECOND, this.clock);
  private readonly sink = new LineSink(STANDARD_OUTPUT);

  write({date, level, part, sentence, fields}: Event): void {
    const steady = Math.round(this.clock.now());
    const time = date.toISOString();
    for (const [kind, count] of this.budget.settle()) {
      const note = {time, steady, level, part, sentence: 'Lines left out.'};
      this.sink.writeLine(JSON.stringify({...note, kind, count}));
    }
    if (!this.budget.take(sentence)) return;
    const line = {time, steady, level, part, sentence, ...fields};
    this.sink.writeLine(JSON.stringify(line));
  }
}

let events: EventWriter | undefined;

let root = createConsola({
  level: LogLevels.info,
  reporters: [reporters.text],
  throttle: 0,
});

/** Sets how all later lines of this process look. */
export function configureLogs(format: LogFormat, verbose: boolean): void {
  root = createConsola({
    level: verbose ? LogLevels.debug : LogLevels.info,
    reporters: [reporters[format]],
    throttle: 0,
  });
}

/** The log of one part. */
export function createLog(prefix: string): Log {
  let base = root;
  let tagged = root.withTag(prefix);
  // An instance for each line would cost more than the line.
  const at = () => {
    if (base === root) return tagged;
    base = root;
    tagged = root.withTag(prefix);
    return tagged;
  };
  return {
    info: (sentence, fields) => at().info(sentence, fields),
    warn: (sentence, fields) => at().warn(sentence, fields),
    error: (sentence, fields) => at().error(sentence, fields),
    debug: (sentence, fields) => at().debug(sentence, fields),
  };
}
