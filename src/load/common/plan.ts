import type {SeededRandom} from '../../base/common/random';

/** An open-loop load: requests of one class sent by one caller. */
export interface LoadClass {
  readonly name: string;
  readonly caller: string;
  readonly kind: 'read' | 'write';
  /** Mean requests per second, whether or not earlier ones have completed. */
  readonly rate: number;
  /** Number of sessions that share the requests. */
  readonly sessions: number;
}

/** Parses `name:caller:kind:rate:sessions`; undefined if it is invalid. */
export function parseLoadClass(text: string): LoadClass | undefined {
  const [name = '', caller = '', kind, rate, sessions] = text.split(':');
  if (name === '' || caller === '') return undefined;
  if (kind !== 'read' && kind !== 'write') return undefined;
  const numbers = {rate: Number(rate), sessions: Number(sessions)};
  if (!(numbers.rate > 0) || !(numbers.sessions >= 1)) return undefined;
  return {name, caller, kind, ...numbers};
}

/** Draws the arrival times of a Poisson process, as milliseconds from start. */
export function arrivalTimes(
  rate: number,
  durationMs: number,
  random: SeededRandom,
): number[] {
  const times: number[] = [];
  let time = 0;
  for (;;) {
    time += (-Math.log(1 - random.fraction()) * 1_000) / rate;
    if (time >= durationMs) return times;
    times.push(time);
  }
}
