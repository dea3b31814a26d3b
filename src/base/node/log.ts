import {createConsola, LogLevels, type ConsolaReporter} from 'consola';

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
export type LogFormat = 'text' | 'json';

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
};

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
  const at = () => root.withTag(prefix);
  return {
    info: (sentence, fields) => at().info(sentence, fields),
    warn: (sentence, fields) => at().warn(sentence, fields),
    error: (sentence, fields) => at().error(sentence, fields),
    debug: (sentence, fields) => at().debug(sentence, fields),
  };
}
