/** Options of {@link RetryDelays}. */
export interface RetryDelaysOptions {
  readonly firstMs: number;
  readonly maxMs: number;
  /** Delays of the first length before they grow. */
  readonly quick: number;
}

const GROWTH = 2;

/**
 * Delays between attempts to connect: a few short ones, since hosts that start together must find
 * each other at once, then longer ones up to a bound.
 *
 * @example
 * new RetryDelays({ firstMs: 40, maxMs: 120, quick: 2 }).next(); // 40, then 40, 80, 120, 120
 */
export class RetryDelays {
  private delayMs = 0;

  private quickLeft = 0;

  constructor(private readonly options: RetryDelaysOptions) {
    this.reset();
  }

  /** Starts over, as after a success. */
  reset(): void {
    this.delayMs = this.options.firstMs;
    this.quickLeft = this.options.quick;
  }

  next(): number {
    if (this.quickLeft > 0) {
      this.quickLeft -= 1;
      return this.delayMs;
    }
    this.delayMs = Math.min(this.options.maxMs, this.delayMs * GROWTH);
    return this.delayMs;
  }
}
