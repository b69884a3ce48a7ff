/** Rate of a {@link PacedBucket}. */
export interface Pace {
  readonly perSecond: number;
  /** Largest number of requests that may be sent at once after a pause. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Token bucket that starts empty, so that the sum over hosts that replace each other stays within
 * one rate. Requests that are sent without a token are owed.
 */
export class PacedBucket {
  private tokens = 0;

  constructor(private refilledAtMs: number) {}

  hasToken(pace: Pace, nowMs: number): boolean {
    return this.available(pace, nowMs) >= 1;
  }

  /** Number of requests that may be sent at once now. */
  available(pace: Pace, nowMs: number): number {
    this.refill(pace, nowMs);
    return Math.max(0, Math.floor(this.tokens));
  }

  take(pace: Pace, nowMs: number): void {
    this.refill(pace, nowMs);
    this.tokens -= 1;
  }

  private refill({ perSecond, burst }: Pace, nowMs: number): void {
    const gained = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * perSecond;
    this.tokens = Math.min(burst, this.tokens + gained);
    this.refilledAtMs = nowMs;
  }
}
