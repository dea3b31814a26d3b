import {ManualClock} from '../../../../base/common/clock';

/** Runs scheduled actions on a manual clock, in steps. */
export class Timeline {
  readonly clock = new ManualClock();
  private readonly dueActions = new Map<number, (() => void)[]>();

  constructor(private readonly stepMs: number) {}

  now(): number {
    return this.clock.now();
  }

  after(delayMs: number, action: () => void): void {
    const steps = Math.max(1, Math.ceil(delayMs / this.stepMs));
    const at = this.now() + steps * this.stepMs;
    const known = this.dueActions.get(at);
    if (known) known.push(action);
    else this.dueActions.set(at, [action]);
  }

  step(): void {
    this.clock.advance(this.stepMs);
    const actions = this.dueActions.get(this.now()) ?? [];
    this.dueActions.delete(this.now());
    for (const action of actions) action();
  }
}

/** Delivers messages in one direction, in the order of sending. */
export class Channel {
  private lastDeliveryAt = 0;
  isOpen = true;

  constructor(private readonly timeline: Timeline) {}

  send(delayMs: number, deliver: () => void): void {
    const now = this.timeline.now();
    this.lastDeliveryAt = Math.max(this.lastDeliveryAt, now + delayMs);
    this.timeline.after(this.lastDeliveryAt - now, () => {
      if (this.isOpen) deliver();
    });
  }
}
