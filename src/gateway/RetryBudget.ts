import { WindowCount } from './WindowCount.js';

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Further attempts allowed for each call, over all entry hosts. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Further attempts allowed in a window besides the ratio, over all entry hosts. */
  readonly slack: number;
  /** Start of the process; the number of attempts made before a restart is unknown. */
  readonly startedAtMs: number;
}

/** Share of the bound that is used: entry hosts count calls of one window at different times. */
const SAFETY_SHARE = 0.9;

/**
 * Budget of further attempts for each service in a sliding window. Every entry host spends at
 * most its own share, so that the sum over all of them stays within the bound.
 */
export class RetryBudget {
  private readonly calls = new Map<string, WindowCount>();

  private readonly retries = new Map<string, WindowCount>();

  private entryHosts = 0;

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Sets how many entry hosts share the slack; the largest number ever set applies. */
  setEntryHosts(count: number): void {
    this.entryHosts = Math.max(this.entryHosts, count);
  }

  noteCall(service: string, nowMs: number): void {
    RetryBudget.countOf(this.calls, service).add(nowMs);
  }

  /** True if the given share of the budget allows one further attempt. */
  maySpend(service: string, nowMs: number, share = 1): boolean {
    const spent = RetryBudget.countOf(this.retries, service).count(nowMs, this.options.windowMs);
    return spent + 1 <= this.allowance(service, nowMs) * share;
  }

  /** Counts one further attempt if the given share of the budget allows it; else returns false. */
  trySpend(service: string, nowMs: number, share = 1): boolean {
    if (!this.maySpend(service, nowMs, share)) return false;
    this.spend(service, nowMs);
    return true;
  }

  /** Counts one further attempt that was made. */
  spend(service: string, nowMs: number): void {
    RetryBudget.countOf(this.retries, service).add(nowMs);
  }

  /** Further attempts that this host may make in the window that ends now. */
  allowance(service: string, nowMs: number): number {
    const { ratio, windowMs, slack, startedAtMs } = this.options;
    const calls = RetryBudget.countOf(this.calls, service).count(nowMs, windowMs);
    const slackAvailable = this.entryHosts > 0 && nowMs - startedAtMs >= windowMs;
    const ownSlack = slackAvailable ? slack / this.entryHosts : 0;
    return SAFETY_SHARE * (ratio * calls + ownSlack);
  }

  private static countOf(counts: Map<string, WindowCount>, service: string): WindowCount {
    const existing = counts.get(service);
    if (existing) return existing;
    const created = new WindowCount();
    counts.set(service, created);
    return created;
  }
}
