import type {WorkWait} from '../../../schema/generated/pooler';

/** An older word of a wait says nothing of the next request, in ms. */
const WORD_MS = 300;

/** Work whose wait is asked for. */
export interface WaitQuery {
  readonly service: string;
  readonly needsPrimary: boolean;
  readonly priority: number;
}

interface Word {
  readonly priority: number;
  readonly waitMs: number;
  readonly at: number;
}

/** How long work waits at one pooler, by the pooler's own words. */
export class PoolerWaits {
  /** By service and need, then by priority. */
  private readonly words = new Map<string, Map<number, Word>>();

  /** Takes the words that came with a reply. */
  update(waits: readonly WorkWait[], now: number): void {
    for (const {service, needsPrimary, priority, waitMs} of waits) {
      const key = `${service} ${needsPrimary}`;
      const own = this.words.get(key) ?? new Map<number, Word>();
      this.words.set(key, own);
      if (waitMs > 0) own.set(priority, {priority, waitMs, at: now});
      else own.delete(priority);
      if (own.size === 0) this.words.delete(key);
    }
  }

  /**
   * How long new work would wait still, in milliseconds; 0 where the pooler
   * said nothing lately. Work waits at least as long as what is more urgent.
   */
  expectedWaitMs({service, needsPrimary, priority}: WaitQuery, now: number) {
    const own = this.words.get(`${service} ${needsPrimary}`);
    if (!own) return 0;
    let longest = 0;
    for (const word of own.values()) {
      const age = now - word.at;
      if (age > WORD_MS || word.priority > priority) continue;
      longest = Math.max(longest, word.waitMs - age);
    }
    return longest;
  }
}
