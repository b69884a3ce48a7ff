/** Options of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Most tokens that the bucket holds. */
  readonly capacity: number;
  /** Tokens gained per second; 0 for a bucket filled only by {@link TokenBucket.deposit}. */
  readonly refillPerSecond?: number;
  readonly initialTokens?: number;
}

const MS_PER_SECOND = 1000;

/** Token bucket whose time is passed in by its owner. */
export class TokenBucket {
  private tokens: number;

  private refilledAtMs = 0;

  private readonly capacity: number;

  private readonly refillPerSecond: number;

  constructor(options: TokenBucketOptions) {
    this.capacity = options.capacity;
    this.refillPerSecond = options.refillPerSecond ?? 0;
    this.tokens = options.initialTokens ?? 0;
  }

  /** Takes one token if there is one. */
  tryTake(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds a share of a token, as a ratio budget does for each fresh call. */
  deposit(share: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + share);
  }

  private refill(nowMs: number): void {
    if (this.refillPerSecond > 0 && nowMs > this.refilledAtMs && this.refilledAtMs > 0) {
      const gained = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.refillPerSecond;
      this.tokens = Math.min(this.capacity, this.tokens + gained);
    }
    this.refilledAtMs = nowMs;
  }
}
