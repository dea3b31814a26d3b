import type {SeededRandom} from '../../base/common/random';

/** Requests of one class by one caller, at a rate that waits for nobody. */
export interface LoadClass {
  readonly name: string;
  readonly caller: string;
  readonly kind: 'read' | 'write';
  /** Requests a second. */
  readonly rate: number;
  /** Sessions that share the requests. */
  readonly sessions: number;
}

/** Reads `name:caller:kind:rate:sessions`; undefined where it is not that. */
export function parseLoadClass(text: string): LoadClass | undefined {
  const [name = '', caller = '', kind, rate, sessions] = text.split(':');
  if (name === '' || caller === '') return undefined;
  if (kind !== 'read' && kind !== 'write') return undefined;
  const numbers = {rate: Number(rate), sessions: Number(sessions)};
  if (!(numbers.rate > 0) || !(numbers.sessions >= 1)) return undefined;
  return {name, caller, kind, ...numbers};
}

/** Times of arrival within a duration, in milliseconds, as Poisson has them. */
export function arrivals(
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
