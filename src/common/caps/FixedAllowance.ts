import { LevelBucket } from './LevelBucket.js';
import type { CapBounds, CapLimit } from './Types.js';

/** Options of a {@link FixedAllowance}. */
export interface FixedAllowanceOptions {
  readonly limit: CapLimit;
  readonly bounds: CapBounds;
  /** Share of the cap that this gateway may use; those of all gateways sum up to at most one. */
  readonly share: number;
  readonly nowMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/**
 * Share of the burst that is available at the loss of updates; the gateways that still have updates
 * may use the burst, too.
 */
const INITIAL_BURST_SHARE = 0.5;

/** Share of the allowed excess that gateways without updates use; most caps are small beside it. */
const SLACK_SHARE = 0.4;

/**
 * Calls that one gateway admits without updates: its share of the cap. Many shares are below one
 * call; a random fraction of a call is added once, so that the expected sum over all gateways
 * equals the sum of their shares.
 */
export class FixedAllowance {
  private readonly bucket: LevelBucket;

  private readonly rounding: number;

  constructor({ limit, bounds, share, nowMs, random }: FixedAllowanceOptions) {
    const burst = limit.burst * INITIAL_BURST_SHARE + bounds.slackCalls * SLACK_SHARE;
    const own = { ratePerSecond: limit.ratePerSecond * share, burst: burst * share };
    this.rounding = random;
    this.bucket = new LevelBucket({ ...own, burst: own.burst + 1 }, nowMs, own.burst);
  }

  tryTake(nowMs: number): boolean {
    if (this.bucket.level(nowMs) + this.rounding < 1) return false;
    this.bucket.spend(1, nowMs);
    return true;
  }
}
