import type { Timeline } from './Timeline.js';

/** Timers and arrivals of a modelled process, which may be paused or ended. */
export class PausableProcess {
  private readonly dueTimers: (() => void)[] = [];

  private readonly arrived: (() => void)[] = [];

  paused = false;

  ended = false;

  constructor(private readonly timeline: Timeline) {}

  get nowMs(): number {
    return this.timeline.nowMs;
  }

  /** Runs an action that a message causes. */
  receive(action: () => void): void {
    this.run(action, this.arrived);
  }

  /** Runs an action after a delay; returns a function that cancels it. */
  after(delayMs: number, action: () => void): () => void {
    let cancelled = false;
    const fire = () => {
      if (!cancelled) action();
    };
    this.timeline.after(delayMs, () => this.run(fire, this.dueTimers));
    return () => {
      cancelled = true;
    };
  }

  /** Runs an action at an interval; returns a function that ends this. */
  every(intervalMs: number, action: () => void): () => void {
    let cancel = () => {};
    const next = () => {
      cancel = this.after(intervalMs, () => {
        next();
        action();
      });
    };
    next();
    return () => cancel();
  }

  /**
   * Ends a pause. A process that was paused while it waited for input reads what has arrived before its
   * timers run; another one runs its timers first.
   */
  resume(readsFirst: boolean): void {
    this.paused = false;
    const queues = [this.dueTimers, this.arrived];
    if (readsFirst) queues.reverse();
    queues.forEach((queue) => queue.splice(0).forEach((action) => action()));
  }

  private run(action: () => void, queue: (() => void)[]): void {
    if (this.ended) return;
    if (this.paused) queue.push(action);
    else action();
  }
}
