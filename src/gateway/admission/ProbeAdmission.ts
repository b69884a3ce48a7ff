import type { BackendView } from '../BackendView.js';
import type { DecisionLog } from '../DispatchTypes.js';
import { FreeCapacity } from './FreeCapacity.js';
import { expectedFromKnown } from './KnownLoad.js';
import { ProbeBudget, type ProbeBudgetOptions } from './ProbeBudget.js';
import { probeDepth } from './ProbeDepth.js';

/** Options of a {@link ProbeAdmission}. */
export interface ProbeAdmissionOptions extends ProbeBudgetOptions {
  readonly nowMs: () => number;
  readonly log: DecisionLog;
}

/** Place of a probe within its pick. */
export interface ProbePlace {
  readonly view: BackendView;
  readonly round: number;
  readonly indexInRound: number;
}

/** Least time between two log lines about an exhausted budget of one service. */
const LOG_INTERVAL_MS = 10_000;

/** Decides which candidates of a pick are probed, and estimates those that are not. */
export class ProbeAdmission {
  /** Probes that were not sent because the budget was used up. */
  overBudget = 0;

  /** Probes that were not sent because recent ones found few free slots. */
  overDepth = 0;

  private readonly budget: ProbeBudget;

  private readonly capacity = new FreeCapacity();

  private readonly loggedAtMs = new Map<string, number>();

  constructor(private readonly options: ProbeAdmissionOptions) {
    this.budget = new ProbeBudget(options);
  }

  setGateways(count: number): void {
    this.budget.setGateways(count);
  }

  /** Takes a probe of a pick from the budget; false if the candidate is to be used unprobed. */
  tryProbe({ view, round, indexInRound }: ProbePlace): boolean {
    const { service } = view.record;
    const nowMs = this.options.nowMs();
    const { rounds, parallel } = probeDepth(this.capacity.freeShare(service, nowMs));
    if (round >= rounds || indexInRound >= parallel) {
      this.overDepth += 1;
      return false;
    }
    if (this.budget.tryTake(view, nowMs)) return true;
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
    const { load, record } = view;
    if (!load) return;
    const nowMs = this.options.nowMs();
    const hasFreeSlot = load.running < load.slots && load.waiting === 0;
    const probed = { hasFreeSlot, expectedWork: view.expectedMs(1, nowMs) };
    this.capacity.note(record.service, probed, nowMs);
  }

  /** Expected time in milliseconds of a call, from what is known of the backend server. */
  expectedMs(view: BackendView, workMs: number, fullFactor: number): number {
    const nowMs = this.options.nowMs();
    const usualWork = this.capacity.expectedWork(view.record.service, nowMs);
    return expectedFromKnown({ view, workMs, nowMs, fullFactor, usualWork });
  }

  private logExhausted(service: string, nowMs: number): void {
    if (nowMs - (this.loggedAtMs.get(service) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAtMs.set(service, nowMs);
    const perSecond = this.budget.perSecond(service);
    this.options.log('probe_budget_exhausted', { service, perSecond, overBudget: this.overBudget });
  }
}
