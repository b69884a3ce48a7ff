import { admittedShare, reserveCalls } from '../../common/caps/AdmittedShare.js';
import { DemandRate } from '../../common/caps/DemandRate.js';
import { FixedAllowance } from '../../common/caps/FixedAllowance.js';
import {
  limitsOf,
  type CapBounds,
  type CapLimit,
  type LevelColumns,
  type UsageColumns,
} from '../../common/caps/Types.js';
import { UsageTotals } from '../../common/caps/UsageTotals.js';
import { LISTED_DEMAND_SHARE, USUAL_DEMAND_MS } from '../../common/caps/UsualDemand.js';
import type { RandomSource } from '../../common/Random.js';
import type { Customer } from '../../common/routing/Types.js';

/** Why a call of a customer was refused. */
export enum CapRefusal {
  /** The customer is beyond its cap, according to a recent update. */
  Cap = 'cap',
  /** The gateway has no recent update and has used its own allowance. */
  NoUpdate = 'no-update',
}

/** Decision on one call. */
export type CapVerdict =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly retryAfterMs: number; readonly reason: CapRefusal };

/** Call that is counted towards a cap. */
export interface CappedCall {
  /** Undefined for a call without a known key. */
  readonly customer: string | undefined;
  readonly nowMs: number;
  /** Latency objective of the call, which bounds the retry delay; no bound by default. */
  readonly objectiveMs?: number;
}

/** Options of {@link UsageCaps}. */
export interface UsageCapsOptions {
  readonly bounds: CapBounds;
  readonly random: RandomSource;
  /** Number of gateways known, including this one. */
  readonly gatewayCount: () => number;
  /** Informs of every decision on a customer with a cap: admitted, or the reason of a refusal. */
  readonly onDecision?: (customer: string, result: string) => void;
  /** Informs of the first refusal of a customer after a window without one. */
  readonly onLimited?: (customer: string, reason: CapRefusal, level: number) => void;
}

/** Lifetime of an update: two heartbeats of the control host may be lost. */
export const UPDATE_TTL_MS = 1_000;

/** Share of a cap that is divided by recent demand while there is no update; the rest is equal. */
const DEMAND_SHARE = 0.8;

/**
 * Largest retry delay as a share of the call's objective. A later retry would use the customer's rate
 * for an answer that is late in any case; two retries and the work itself fit into the objective.
 */
const RETRY_OBJECTIVE_SHARE = 0.25;

/** Spread of a retry delay, as shares of the delay. */
const RETRY_SPREAD_MIN = 0.75;
const RETRY_SPREAD = 0.75;

/** Random values that are skipped at the start, a few times the words of the generator's state. */
const SKIPPED_RANDOM = 16;

const MS_PER_SECOND = 1_000;

const ADMITTED: CapVerdict = { admitted: true };

interface Listed {
  readonly level: number;
  readonly demandPerSecond: number;
}

/** State of a customer that calls this gateway. */
interface CustomerState {
  readonly own: DemandRate;
  /** Own demand at the last update. */
  ownPerSecond: number;
  allowance: FixedAllowance | undefined;
  refusedAtMs: number;
}

/** Usage caps at one gateway: decides on each call from the last update of a control host. */
export class UsageCaps {
  private limits = new Map<string, CapLimit>();

  private listed = new Map<string, Listed>();

  private readonly states = new Map<string, CustomerState>();

  private readonly totals = new UsageTotals();

  private updatedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: UsageCapsOptions) {
    // The first values of similar seeds are alike, and those of all gateways are added up.
    for (let skipped = 0; skipped < SKIPPED_RANDOM; skipped += 1) options.random.next();
  }

  /** Customers of the routing in force. */
  setCustomers(customers: readonly Customer[]): void {
    const limits = limitsOf(customers, this.options.bounds);
    this.states.forEach((state, name) => {
      const before = this.limits.get(name);
      const after = limits.get(name);
      if (!after) this.states.delete(name);
      else if (after.ratePerSecond !== before?.ratePerSecond || after.burst !== before.burst) {
        state.allowance = undefined;
      }
    });
    this.limits = limits;
  }

  /** True if a customer has a cap. */
  get hasLimits(): boolean {
    return this.limits.size > 0;
  }

  /** Number of customers with a cap that have called this gateway. */
  get size(): number {
    return this.states.size;
  }

  /** True while decisions follow an update of a control host. */
  isCurrent(nowMs: number): boolean {
    return nowMs - this.updatedAtMs <= UPDATE_TTL_MS;
  }

  /** Lowest level among the listed customers; undefined if none is listed. */
  get lowestLevel(): number | undefined {
    const levels = [...this.listed.values()].map(({ level }) => level);
    return levels.length > 0 ? Math.min(...levels) : undefined;
  }

  /** Takes the customers near their cap from a control host; all others are far below. */
  applyUpdate({ customers, levels, demand }: LevelColumns, nowMs: number): void {
    this.updatedAtMs = nowMs;
    this.listed = new Map(
      customers.map((customer, index) => [
        customer,
        { level: levels[index] ?? 0, demandPerSecond: demand[index] ?? 0 },
      ]),
    );
    this.states.forEach((state) => {
      state.ownPerSecond = state.own.perSecond(nowMs);
      state.allowance = undefined;
    });
  }

  /** Counts since the last report; undefined if there is none. */
  takeReport(): UsageColumns | undefined {
    return this.totals.hasChanges ? this.totals.take() : undefined;
  }

  /**
   * Decides on one call and counts it.
   *
   * @example
   * const verdict = caps.admit({ customer: 'a', nowMs });
   * if (!verdict.admitted) refuse(verdict.retryAfterMs);
   */
  admit({ customer, nowMs, objectiveMs = Infinity }: CappedCall): CapVerdict {
    const limit = customer === undefined ? undefined : this.limits.get(customer);
    if (customer === undefined || !limit) return ADMITTED;
    const state = this.stateOf(customer, nowMs);
    state.own.add(1, nowMs);
    const verdict = this.isCurrent(nowMs)
      ? this.admitListed(customer, limit, objectiveMs)
      : this.admitAlone(customer, limit, state, nowMs);
    this.totals.add(customer, {
      admitted: verdict.admitted ? 1 : 0,
      refused: verdict.admitted ? 0 : 1,
    });
    this.options.onDecision?.(customer, verdict.admitted ? 'admitted' : verdict.reason);
    if (!verdict.admitted) this.noteRefusal(customer, state, verdict.reason, nowMs);
    return verdict;
  }

  private admitListed(customer: string, limit: CapLimit, objectiveMs: number): CapVerdict {
    const listed = this.listed.get(customer);
    if (!listed) return ADMITTED;
    const { bounds, random } = this.options;
    const { level, demandPerSecond } = listed;
    const share = admittedShare({ limit, bounds, level, demandPerSecond });
    if (share >= 1 || random.next() < share) return ADMITTED;
    const missing = 1 - level - reserveCalls(limit, bounds);
    const excess = demandPerSecond - limit.ratePerSecond;
    const refillMs = (Math.max(1, missing, excess) / limit.ratePerSecond) * MS_PER_SECOND;
    const delayMs = Math.min(refillMs, objectiveMs * RETRY_OBJECTIVE_SHARE);
    return { admitted: false, reason: CapRefusal.Cap, retryAfterMs: this.spread(delayMs) };
  }

  /** Without an update, admits the gateway's own share of the cap. */
  private admitAlone(
    customer: string,
    limit: CapLimit,
    state: CustomerState,
    nowMs: number,
  ): CapVerdict {
    const share = this.ownShare(customer, limit, state);
    const { bounds } = this.options;
    const random = this.options.random.next();
    state.allowance ??= new FixedAllowance({ limit, bounds, share, nowMs, random });
    if (state.allowance.tryTake(nowMs)) return ADMITTED;
    const delayMs = MS_PER_SECOND / (limit.ratePerSecond * share);
    return { admitted: false, reason: CapRefusal.NoUpdate, retryAfterMs: this.spread(delayMs) };
  }

  private ownShare(customer: string, limit: CapLimit, { ownPerSecond }: CustomerState): number {
    const known = this.listed.get(customer)?.demandPerSecond ?? 0;
    const totalPerSecond = Math.max(known, limit.ratePerSecond * LISTED_DEMAND_SHARE);
    const byDemand = Math.min(1, ownPerSecond / totalPerSecond);
    const equal = 1 / Math.max(1, this.options.gatewayCount());
    return DEMAND_SHARE * byDemand + (1 - DEMAND_SHARE) * equal;
  }

  /** Spreads retries, none later than a window. */
  private spread(delayMs: number): number {
    const { bounds, random } = this.options;
    const factor = RETRY_SPREAD_MIN + RETRY_SPREAD * random.next();
    return Math.ceil(Math.min(delayMs, bounds.windowMs) * factor);
  }

  private noteRefusal(
    customer: string,
    state: CustomerState,
    reason: CapRefusal,
    nowMs: number,
  ): void {
    const isFirst = nowMs - state.refusedAtMs > this.options.bounds.windowMs;
    state.refusedAtMs = nowMs;
    if (isFirst) {
      this.options.onLimited?.(customer, reason, this.listed.get(customer)?.level ?? 0);
    }
  }

  private stateOf(customer: string, nowMs: number): CustomerState {
    let state = this.states.get(customer);
    if (!state) {
      state = {
        own: new DemandRate(USUAL_DEMAND_MS, nowMs),
        ownPerSecond: 0,
        allowance: undefined,
        refusedAtMs: Number.NEGATIVE_INFINITY,
      };
      this.states.set(customer, state);
    }
    return state;
  }
}
