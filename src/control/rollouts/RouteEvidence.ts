import { BUCKET_COUNT, bucketsForFactor, fromSparse } from '../../common/rollouts/Evidence.js';
import type { EvidenceRow, SparseCounts } from '../../common/rollouts/Evidence.js';
import type { Trials } from './SequentialTest.js';

/** Time over which lost attempts of one server count as one: a crash ends all that it runs. */
const LOST_WINDOW_MS = 1_000;

/** Half-life of recent counts: disturbances of both versions last from one to several seconds. */
const RECENT_HALF_LIFE_MS = 1_000;

/** Weight of the rate since the order in the recent one, in answers. */
const PRIOR_COUNT = 15;

/** Latency, as a multiple of the old version's median, from which an answer counts as slow. */
const SLOW_FACTOR = 2;

/**
 * A cancelled attempt counts as slow this many buckets earlier: a hedge that answers first cancels
 * it at about twice the usual latency, and its own would have been longer.
 */
const CANCELLED_LEAD_BUCKETS = bucketsForFactor(1.5);

function addTo(target: number[], counts: readonly number[], sign = 1): void {
  counts.forEach((count, bucket) => {
    target[bucket]! += sign * count;
  });
}

function sumFrom(counts: readonly number[], bucket: number): number {
  return counts.slice(Math.max(0, bucket)).reduce((sum, count) => sum + count, 0);
}

function emptyCounts(): number[] {
  return new Array<number>(BUCKET_COUNT).fill(0);
}

function sumTo(counts: readonly number[], bucket: number): number {
  return sumFrom(counts, 0) - sumFrom(counts, bucket);
}

/** Attempts at warm servers by latency, or by age until now. */
interface WarmCounts {
  readonly answered: number[];
  readonly cancelled: number[];
  readonly running: number[];
}

function emptyWarmCounts(): WarmCounts {
  return { answered: emptyCounts(), cancelled: emptyCounts(), running: emptyCounts() };
}

/** Evidence on one route and arm from all gateways. */
export class RouteEvidence {
  /** Attempts sent since the order. */
  sent = 0;

  /** Good answers of warm servers since the order. */
  warmAnswers = 0;

  private readonly counts: WarmCounts = emptyWarmCounts();

  /** Counts at the last call of {@link takeSlow}. */
  private seen: WarmCounts = emptyWarmCounts();

  private readonly recentSlow = { count: 0, badCount: 0 };

  private failureTotal: { count: number; badCount: number } = { count: 0, badCount: 0 };

  private readonly recentFailures = { count: 0, badCount: 0 };

  private pendingFailures = { count: 0, badCount: 0 };

  private readonly lostAtMs = new Map<string, number>();

  private decayedAtMs = 0;

  /** Attempts in progress at warm servers. */
  get running(): number {
    return sumFrom(this.counts.running, 0);
  }

  /** Adds the difference between two reports of one gateway on this route and arm. */
  add(row: EvidenceRow, before: EvidenceRow | undefined, nowMs: number): void {
    const difference = (after: SparseCounts, old: SparseCounts | undefined) => {
      const counts = fromSparse(after);
      if (old) addTo(counts, fromSparse(old), -1);
      return counts;
    };
    this.sent += row.sent - (before?.sent ?? 0);
    const answered = difference(row.answered, before?.answered);
    addTo(this.counts.answered, answered);
    addTo(this.counts.cancelled, difference(row.cancelled, before?.cancelled));
    addTo(this.counts.running, difference(row.running, before?.running));
    const warm = sumFrom(answered, 0);
    this.warmAnswers += warm;
    const cold = row.coldAnswered - (before?.coldAnswered ?? 0);
    const bad = row.failed - (before?.failed ?? 0) + this.countLost(row, before, nowMs);
    [this.failureTotal, this.recentFailures, this.pendingFailures].forEach((trials) => {
      trials.count += warm + cold + bad;
      trials.badCount += bad;
    });
  }

  /** Removes the attempts in progress of a gateway that no longer reports. */
  forget(row: EvidenceRow): void {
    addTo(this.counts.running, fromSparse(row.running), -1);
  }

  /** Bucket from which a latency is slow compared with this arm; undefined without enough answers. */
  slowBucket(minAnswers: number): number | undefined {
    const total = sumFrom(this.counts.answered, 0);
    if (total < minAnswers) return undefined;
    let below = 0;
    const median = this.counts.answered.findIndex((count) => {
      below += count;
      return below * 2 >= total;
    });
    return median + bucketsForFactor(SLOW_FACTOR) + 1;
  }

  /** Larger of the rate since the order and the recent rate; the second covers disturbances. */
  failureRate(): number {
    return RouteEvidence.higherRate(this.failureTotal, this.recentFailures);
  }

  /** As {@link failureRate}, of slow answers. */
  slowRate(slowBucket: number): number {
    const badCount = RouteEvidence.slowCount(this.counts, slowBucket);
    const count = badCount + sumTo(this.counts.answered, slowBucket);
    return RouteEvidence.higherRate({ count, badCount }, this.recentSlow);
  }

  /** Returns and clears the answers since the last call, by failure. */
  takeFailures(): Trials {
    const taken = this.pendingFailures;
    this.pendingFailures = { count: 0, badCount: 0 };
    return taken;
  }

  /**
   * Returns the warm attempts since the last call, by slowness. An attempt counts as slow as soon as
   * it has taken too long, and once: not again when it ends.
   */
  takeSlow(slowBucket: number): Trials {
    const { counts, seen } = this;
    const slow = (of: WarmCounts) => RouteEvidence.slowCount(of, slowBucket);
    const badCount = Math.max(0, slow(counts) - slow(seen));
    const good = sumTo(counts.answered, slowBucket) - sumTo(seen.answered, slowBucket);
    const taken = { count: badCount + good, badCount };
    this.seen = {
      answered: [...counts.answered],
      cancelled: [...counts.cancelled],
      running: [...counts.running],
    };
    this.recentSlow.count += taken.count;
    this.recentSlow.badCount += taken.badCount;
    return taken;
  }

  /** Lets recent counts fade. */
  decay(nowMs: number): void {
    const factor = 0.5 ** (Math.max(0, nowMs - this.decayedAtMs) / RECENT_HALF_LIFE_MS);
    this.decayedAtMs = nowMs;
    this.recentFailures.count *= factor;
    this.recentFailures.badCount *= factor;
    this.recentSlow.count *= factor;
    this.recentSlow.badCount *= factor;
  }

  private countLost(row: EvidenceRow, before: EvidenceRow | undefined, nowMs: number): number {
    return Object.entries(row.lost).filter(([backend, count]) => {
      if (count === (before?.lost[backend] ?? 0)) return false;
      const isSameCrash = nowMs - (this.lostAtMs.get(backend) ?? -Infinity) < LOST_WINDOW_MS;
      if (!isSameCrash) this.lostAtMs.set(backend, nowMs);
      return !isSameCrash;
    }).length;
  }

  private static slowCount({ answered, cancelled, running }: WarmCounts, bucket: number): number {
    const overdue = sumFrom(cancelled, bucket - CANCELLED_LEAD_BUCKETS);
    return sumFrom(answered, bucket) + overdue + sumFrom(running, bucket);
  }

  private static higherRate(total: Trials, recent: Trials): number {
    const overall = (total.badCount + 0.5) / (total.count + 1);
    const base = total.count < PRIOR_COUNT ? Math.min(overall, 0.05) : overall;
    const late = (recent.badCount + base * PRIOR_COUNT) / (recent.count + PRIOR_COUNT);
    return Math.max(base, late);
  }
}
