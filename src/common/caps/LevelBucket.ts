import type { CapLimit } from './Types.js';

const MS_PER_SECOND = 1_000;

/** Token bucket whose level may be negative, so that calls above the cap are compensated later. */
export class LevelBucket {
  private tokens: number;

  constructor(
    private limit: CapLimit,
    private refilledAtMs: number,
    tokens = limit.burst,
  ) {
    this.tokens = tokens;
  }

  /** Calls that may still be made at once. */
  level(nowMs: number): number {
    const gained = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.limit.ratePerSecond;
    this.tokens = Math.min(this.limit.burst, this.tokens + Math.max(0, gained));
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
    return this.tokens;
  }

  spend(calls: number, nowMs: number): void {
    this.level(nowMs);
    this.tokens -= calls;
  }

  /** Lowers the level to that of a host that has counted for longer. */
  lowerTo(level: number, nowMs: number): void {
    this.tokens = Math.min(this.level(nowMs), level);
  }

  /** Raises a level that is too low to be compensated. */
  raiseTo(level: number, nowMs: number): void {
    this.tokens = Math.max(this.level(nowMs), level);
  }

  /** Applies a changed cap; a lower burst also lowers the level. */
  setLimit(limit: CapLimit, nowMs: number): void {
    const isUnused = this.level(nowMs) >= this.limit.burst;
    this.limit = limit;
    this.tokens = isUnused ? limit.burst : Math.min(this.tokens, limit.burst);
  }
}
