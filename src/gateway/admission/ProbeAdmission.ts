import type { BackendView } from '../BackendView.js';
import type { DecisionLog } from '../DispatchTypes.js';
import { expectedFromKnown } from './KnownLoad.js';
import type { CountedGateway } from './GatewayCounts.js';
import { ProbeBudget, type ProbeBudgetOptions } from './ProbeBudget.js';
import { ProbePurpose } from './ProbeMeter.js';
import { UsualDelay } from './UsualDelay.js';

/** Options of a {@link ProbeAdmission}. */
export interface ProbeAdmissionOptions extends ProbeBudgetOptions {
  readonly nowMs: () => number;
  readonly log: DecisionLog;
}

/**
 * Share of a full bucket that probes of a purpose leave to others. Hedges and retries are most numerous
 * when calls are late, and then spend the probes that first picks need to find the free servers.
 */
const RESERVED_SHARES: Readonly<Record<ProbePurpose, number>> = {
  [ProbePurpose.FirstPick]: 0,
  [ProbePurpose.FurtherPick]: 0.8,
  [ProbePurpose.CrashCheck]: 0,
};

/** Least time between two log lines about an exhausted budget of one service. */
const LOG_INTERVAL_MS = 10_000;

/** Decides which candidates of a pick are probed, and estimates those that are not. */
export class ProbeAdmission {
  /** Probes that were not sent because the budget was used up. */
  overBudget = 0;

  private readonly budget: ProbeBudget;

  private readonly usualDelay = new UsualDelay();

  private readonly loggedAtMs = new Map<string, number>();

  constructor(private readonly options: ProbeAdmissionOptions) {
    this.budget = new ProbeBudget(options);
  }

  /** Applies the list of live gateways. */
  setGateways(gateways: readonly CountedGateway[]): void {
    this.budget.setGateways(gateways, this.options.nowMs());
  }

  /** Takes a probe of a pick from the budget; false if the candidate is to be used unprobed. */
  tryProbe(view: BackendView, purpose: ProbePurpose): boolean {
    const { service } = view.record;
    const nowMs = this.options.nowMs();
    if (this.budget.tryTake(view, nowMs, RESERVED_SHARES[purpose])) return true;
    this.overBudget += 1;
    this.logExhausted(service, nowMs);
    return false;
  }

  /** Counts a probe that belongs to no pick. */
  charge(view: BackendView): void {
    this.budget.charge(view, this.options.nowMs());
  }

  /** Records the load in the answer to a probe. */
  noteProbed(view: BackendView): void {
    if (!view.load) return;
    const nowMs = this.options.nowMs();
    this.usualDelay.note(view.record.service, view.expectedMs(1, nowMs), nowMs);
  }

  /** Expected time in milliseconds of a call, from what is known of the backend server. */
  expectedMs(view: BackendView, workMs: number, fullFactor: number): number {
    const nowMs = this.options.nowMs();
    const usualWork = this.usualDelay.expectedWork(view.record.service, nowMs);
    return expectedFromKnown({ view, workMs, nowMs, fullFactor, usualWork });
  }

  private logExhausted(service: string, nowMs: number): void {
    if (nowMs - (this.loggedAtMs.get(service) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAtMs.set(service, nowMs);
    const perSecond = this.budget.perSecond(service, this.options.nowMs());
    this.options.log('probe_budget_exhausted', { service, perSecond, overBudget: this.overBudget });
  }
}
