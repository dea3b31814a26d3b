import {ManualClock} from '../../../../base/common/clock';

/** What happens at which time, in steps of some milliseconds. */
export class Timeline {
  readonly clock = new ManualClock();
  private readonly due = new Map<number, (() => void)[]>();

  constructor(private readonly stepMs: number) {}

  now(): number {
    return this.clock.now();
  }

  after(milliseconds: number, act: () => void): void {
    const steps = Math.max(1, Math.ceil(milliseconds / this.stepMs));
    const at = this.now() + steps * this.stepMs;
    const known = this.due.get(at);
    if (known) known.push(act);
    else this.due.set(at, [act]);
  }

  step(): void {
    this.clock.advance(this.stepMs);
    const acts = this.due.get(this.now()) ?? [];
    this.due.delete(this.now());
    for (const act of acts) act();
  }
}

/** Messages one way: they arrive in the order in which they were sent. */
export class Way {
  private lastAt = 0;
  isOpen = true;

  constructor(private readonly timeline: Timeline) {}

  send(delayMs: number, deliver: () => void): void {
    const now = this.timeline.now();
    this.lastAt = Math.max(this.lastAt, now + delayMs);
    this.timeline.after(this.lastAt - now, () => {
      if (this.isOpen) deliver();
    });
  }
}
