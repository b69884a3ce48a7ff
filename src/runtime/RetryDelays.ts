/** Options of {@link RetryDelays}. */
export interface RetryDelaysOptions {
  readonly firstMs: number;
  readonly maxMs: number;
  /** Number of delays of `firstMs` before they grow. */
  readonly quickRetries: number;
}

const GROWTH = 2;

/**
 * Delays between attempts to connect: a few short ones, so that hosts that start together connect
 * quickly, then longer ones up to a maximum.
 *
 * @example
 * new RetryDelays({ firstMs: 40, maxMs: 120, quickRetries: 2 }).next(); // 40, then 40, 80, 120
 */
export class RetryDelays {
  private delayMs = 0;

  private quickRetriesLeft = 0;

  constructor(private readonly options: RetryDelaysOptions) {
    this.reset();
  }

  /** Starts over with the first delay; called after a success. */
  reset(): void {
    this.delayMs = this.options.firstMs;
    this.quickRetriesLeft = this.options.quickRetries;
  }

  next(): number {
    if (this.quickRetriesLeft > 0) {
      this.quickRetriesLeft -= 1;
      return this.delayMs;
    }
    this.delayMs = Math.min(this.options.maxMs, this.delayMs * GROWTH);
    return this.delayMs;
  }
}
