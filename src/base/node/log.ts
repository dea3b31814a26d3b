// Without the terminal reporters, which slow down startup.
import {createConsola, LogLevels, type ConsolaReporter} from 'consola/core';
import {LineBudget} from '../common/line_budget';
import {LineSink} from './line_sink';
import {MonotonicClock} from './monotonic_clock';

/** The log of one part of the program, named in each line. */
export interface Log {
  info(sentence: string, fields?: Fields): void;
  warn(sentence: string, fields?: Fields): void;
  error(sentence: string, fields?: Fields): void;
  debug(sentence: string, fields?: Fields): void;
}

/** Structured data of a log line. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** The output format of the log; events go to standard output. */
export type LogFormat = 'text' | 'json' | 'events';

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
 * Writes one JSON object per line to standard output, without blocking on the
 * reader and with a budget for each sentence. Since the wall clock may jump,
 * lines also have the steady clock: milliseconds since the start.
 */
class EventWriter {
  private readonly clock = new MonotonicClock();
  private readonly budget = new LineBudget(LINES_PER_SECOND, this.clock);
  private readonly sink = new LineSink(STANDARD_OUTPUT);

  onceDrained(listener: () => void): void {
    this.sink.onceDrained(listener);
  }

  write({date, level, part, sentence, fields}: Event): void {
    const steady = Math.round(this.clock.now());
    const time = date.toISOString();
    for (const [kind, count] of this.budget.takeOmitted()) {
      const notice = {time, steady, level, part, sentence: 'Lines left out.'};
      this.sink.writeLine(JSON.stringify({...notice, kind, count}));
    }
    if (!this.budget.tryTake(sentence)) return;
    const line = {time, steady, level, part, sentence, ...fields};
    this.sink.writeLine(JSON.stringify(line));
  }
}

let events: EventWriter | undefined;

/** Resolves once all lines so far are written to the outputs. */
export function logsWritten(): Promise<void> {
  return new Promise(resolve => {
    if (events) events.onceDrained(resolve);
    else resolve();
  });
}

let root = createConsola({
  level: LogLevels.info,
  reporters: [reporters.text],
  throttle: 0,
});

/** Sets the format and level of all further lines of this process. */
export function configureLogs(format: LogFormat, verbose: boolean): void {
  root = createConsola({
    level: verbose ? LogLevels.debug : LogLevels.info,
    reporters: [reporters[format]],
    throttle: 0,
  });
}

/** Creates the log of one part of the program. */
export function createLog(prefix: string): Log {
  let taggedRoot = root;
  let tagged = root.withTag(prefix);
  // Cached: creating a tagged instance costs more than writing a line.
  const getTagged = () => {
    if (taggedRoot === root) return tagged;
    taggedRoot = root;
    tagged = root.withTag(prefix);
    return tagged;
  };
  return {
    info: (sentence, fields) => getTagged().info(sentence, fields),
    warn: (sentence, fields) => getTagged().warn(sentence, fields),
    error: (sentence, fields) => getTagged().error(sentence, fields),
    debug: (sentence, fields) => getTagged().debug(sentence, fields),
  };
}
