/** Options of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Maximum number of tokens that the bucket holds. */
  readonly capacity: number;
  /** Tokens gained per second; 0 for a bucket filled only by {@link TokenBucket.deposit}. */
  readonly refillPerSecond?: number;
  readonly initialTokens?: number;
}

const MS_PER_SECOND = 1000;

/** Token bucket; the current time is passed to {@link TokenBucket.tryTake}. */
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

  /** Takes one token; false if there is none. */
  tryTake(nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds a fraction of a token, such as the share of a new call in a ratio-based budget. */
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
