const MS_PER_SECOND = 1_000;

/** Exponentially weighted rate of calls per second. */
export class DemandRate {
  private value = 0;

  private decayedAtMs: number;

  constructor(
    private readonly timeConstantMs: number,
    startedAtMs: number,
  ) {
    this.decayedAtMs = startedAtMs;
  }

  add(calls: number, nowMs: number): void {
    this.value = this.perSecond(nowMs) + (calls * MS_PER_SECOND) / this.timeConstantMs;
  }

  perSecond(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.decayedAtMs);
    this.value *= Math.exp(-elapsedMs / this.timeConstantMs);
    this.decayedAtMs = Math.max(this.decayedAtMs, nowMs);
    return this.value;
  }
}
