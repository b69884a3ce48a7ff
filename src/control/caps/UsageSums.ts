import { admittedShare, capOfWindow } from '../../common/caps/AdmittedShare.js';
import { DemandRate } from '../../common/caps/DemandRate.js';
import { LISTED_DEMAND_SHARE, USUAL_DEMAND_MS } from '../../common/caps/UsualDemand.js';
import { LevelBucket } from '../../common/caps/LevelBucket.js';
import { ReceivedTotals } from '../../common/caps/ReceivedTotals.js';
import type {
  CapBounds,
  CapLimit,
  LevelColumns,
  Usage,
  UsageColumns,
} from '../../common/caps/Types.js';
import { UsageTotals } from '../../common/caps/UsageTotals.js';

/**
 * Time over which demand is measured: short, so that a surge is seen within two or three reports,
 * and long enough for a few calls of a customer with a small cap.
 */
const DEMAND_MS = 300;

/**
 * Factor by which demand may still grow until calls would be refused, at or below which a customer
 * is listed, in updates at the short interval: demand can double between two updates.
 */
const URGENT_GROWTH = 2;

/** Largest overshoot, as a share of a window's cap, that is compensated. */
const COMPENSATED_SHARE = 0.5;

/** Largest part of a customer's demand that absent gateways are assumed to have. */
const ABSENT_PART_MAX = 0.9;

const MS_PER_SECOND = 1_000;

/** Levels of a control host that has counted for at least a window. */
export interface SharedLevels {
  readonly customers: readonly string[];
  readonly levels: readonly number[];
}

interface CustomerSum {
  readonly bucket: LevelBucket;
  readonly demand: DemandRate;
  readonly usual: DemandRate;
}

/** Usage of all customers as counted by one control host. */
export class UsageSums {
  private limits: ReadonlyMap<string, CapLimit> = new Map();

  private readonly sums = new Map<string, CustomerSum>();

  /** Totals of the gateways that report to this host, for the other control hosts. */
  private readonly totals = new UsageTotals();

  /** Totals by sender: a session of a gateway, or a start of a control host. */
  private readonly received = new Map<string, ReceivedTotals>();

  constructor(
    private readonly bounds: CapBounds,
    private readonly startedAtMs: number,
  ) {}

  /** True once this host has counted for a whole window, so that its levels are complete. */
  isComplete(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= this.bounds.windowMs;
  }

  /** True if a customer has a cap. */
  get hasLimits(): boolean {
    return this.limits.size > 0;
  }

  /** True if there are usage counts to share. */
  get hasChanges(): boolean {
    return this.totals.hasChanges;
  }

  /** Applies the caps of the routing in force. */
  setLimits(limits: ReadonlyMap<string, CapLimit>, nowMs: number): void {
    this.limits = limits;
    this.sums.forEach(({ bucket }, name) => {
      const limit = limits.get(name);
      if (limit) bucket.setLimit(limit, nowMs);
      else this.sums.delete(name);
    });
  }

  /** Counts what a gateway reports, to be shared with the other control hosts. */
  noteReport(sender: string, columns: UsageColumns, nowMs: number): void {
    this.increments(sender, columns).forEach((usage, customer) => {
      this.totals.add(customer, usage);
      this.count(customer, usage, nowMs);
    });
  }

  /** Counts what another control host shares. */
  noteShare(sender: string, columns: UsageColumns, levels: SharedLevels, nowMs: number): void {
    this.increments(sender, columns).forEach((usage, customer) =>
      this.count(customer, usage, nowMs),
    );
    // A host that has just started does not know the calls before its start.
    if (this.isComplete(nowMs)) return;
    levels.customers.forEach((customer, index) =>
      this.sumOf(customer, nowMs)?.bucket.lowerTo(levels.levels[index] ?? 0, nowMs),
    );
  }

  /** Usual demand of a customer at all gateways, at least the one from which it is listed. */
  usualPerSecond(customer: string, nowMs: number): number {
    const least = (this.limits.get(customer)?.ratePerSecond ?? 0) * LISTED_DEMAND_SHARE;
    return Math.max(least, this.sums.get(customer)?.usual.perSecond(nowMs) ?? 0);
  }

  /**
   * Counts the calls that gateways without a session are assumed to admit: their part of a demand
   * that changes like that of the other gateways, within their part of the rate.
   *
   * @param parts - parts of the demand, by customer
   * @returns the calls that were counted, by customer
   */
  noteAbsent(
    parts: ReadonlyMap<string, number>,
    elapsedMs: number,
    nowMs: number,
  ): Map<string, number> {
    const counted = new Map<string, number>();
    parts.forEach((sum, customer) => {
      const limit = this.limits.get(customer);
      const state = this.sums.get(customer);
      if (!limit || !state) return;
      const part = Math.min(ABSENT_PART_MAX, sum);
      const demand = state.demand.perSecond(nowMs) / (1 - part);
      const calls = (part * Math.min(limit.ratePerSecond, demand) * elapsedMs) / MS_PER_SECOND;
      counted.set(customer, calls);
      this.add(customer, calls, nowMs);
      // Their part of the burst is theirs, too.
      state.bucket.lowerTo(limit.burst * (1 - part), nowMs);
    });
    return counted;
  }

  /** Takes back calls that were assumed for gateways that are back and report them. */
  takeBack(calls: ReadonlyMap<string, number>, nowMs: number): void {
    calls.forEach((count, customer) => this.add(customer, -count, nowMs));
  }

  private add(customer: string, admitted: number, nowMs: number): void {
    this.sumOf(customer, nowMs)?.bucket.spend(admitted, nowMs);
    this.totals.add(customer, { admitted, refused: 0 });
  }

  /** Forgets a session that has ended; the next one of the gateway starts a new comparison. */
  forget(sender: string): void {
    this.received.delete(sender);
  }

  /** Counts since the last call, for the other control hosts. */
  takeShare(): UsageColumns {
    return this.totals.take();
  }

  /** All counts, for a control host whose link has just opened. */
  wholeShare(): UsageColumns {
    return this.totals.whole();
  }

  /** Customers that are near their cap. */
  update(nowMs: number): LevelColumns {
    const near = [...this.sums]
      .filter(([customer, sum]) => this.isNear(customer, sum, nowMs))
      .map(([customer, { bucket, demand }]) => ({
        customer,
        level: bucket.level(nowMs),
        perSecond: demand.perSecond(nowMs),
      }));
    return {
      customers: near.map(({ customer }) => customer),
      levels: near.map(({ level }) => Math.round(level)),
      demand: near.map(({ perSecond }) => Math.round(perSecond)),
    };
  }

  /** True if calls of a customer are refused or soon may be. */
  hasUrgent(nowMs: number): boolean {
    return [...this.sums].some(([customer, sum]) => this.isUrgent(customer, sum, nowMs));
  }

  private isNear(customer: string, sum: CustomerSum, nowMs: number): boolean {
    const { ratePerSecond } = this.limits.get(customer)!;
    const isBusy = sum.usual.perSecond(nowMs) >= LISTED_DEMAND_SHARE * ratePerSecond;
    return isBusy || this.isUrgent(customer, sum, nowMs);
  }

  private isUrgent(customer: string, { bucket, demand }: CustomerSum, nowMs: number): boolean {
    const limit = this.limits.get(customer)!;
    const demandPerSecond = demand.perSecond(nowMs) * URGENT_GROWTH;
    const level = bucket.level(nowMs);
    return admittedShare({ limit, bounds: this.bounds, level, demandPerSecond }) < 1;
  }

  private increments(sender: string, columns: UsageColumns): ReadonlyMap<string, Usage> {
    let received = this.received.get(sender);
    if (!received) {
      received = new ReceivedTotals();
      this.received.set(sender, received);
    }
    return received.increments(columns);
  }

  private count(customer: string, { admitted, refused }: Usage, nowMs: number): void {
    const limit = this.limits.get(customer);
    const sum = this.sumOf(customer, nowMs);
    sum?.bucket.spend(admitted, nowMs);
    // Calls from before the window, which a gateway reports after an absence, need no compensation.
    if (limit) sum?.bucket.raiseTo(-capOfWindow(limit, this.bounds) * COMPENSATED_SHARE, nowMs);
    sum?.demand.add(admitted + refused, nowMs);
    sum?.usual.add(admitted + refused, nowMs);
  }

  private sumOf(customer: string, nowMs: number): CustomerSum | undefined {
    const limit = this.limits.get(customer);
    if (!limit) return undefined;
    let sum = this.sums.get(customer);
    if (!sum) {
      // Before a whole window has been counted, the burst may have been used already.
      const level = this.isComplete(nowMs) ? limit.burst : 0;
      sum = {
        bucket: new LevelBucket(limit, nowMs, level),
        demand: new DemandRate(DEMAND_MS, nowMs),
        usual: new DemandRate(USUAL_DEMAND_MS, nowMs),
      };
      this.sums.set(customer, sum);
    }
    return sum;
  }
}
