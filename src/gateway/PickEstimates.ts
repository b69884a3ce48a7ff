import type { ProbeAdmission } from './admission/ProbeAdmission.js';
import type { BackendPool } from './BackendPool.js';
import { failurePenalty, type BackendView } from './BackendView.js';
import type { Call } from './Types.js';
import type { WorkEstimates } from './WorkEstimates.js';
import type { CallNeeds } from './zones/CrossingDecision.js';
import type { EvaluatedCandidate } from './zones/ZoneSearch.js';

/** Options of a {@link PickEstimates}. */
export interface PickEstimatesOptions {
  readonly call: Call;
  /** All backend servers that the pick may choose from. */
  readonly candidates: readonly BackendView[];
  /** True for the first pick of the call. */
  readonly isFirst: boolean;
  readonly pool: Pick<BackendPool, 'isLocal'>;
  readonly work: WorkEstimates;
  readonly nowMs: () => number;
  /** Estimates servers whose load is not current; without it, the last load counts in full. */
  readonly admission?: Pick<ProbeAdmission, 'expectedMs'>;
}

/** Share of the time left to the objective that a pick accepted at once may take. */
const ACCEPT_SHARE = 0.85;

/** Maximum expected time of such a pick, in usual work times: about usual speed and no queue. */
const ACCEPT_WORK = 1.3;

/** Cost of missing the objective, in expected milliseconds. */
const LATE_COST_MS = 1_000;

/** Cost of answer bytes across availability zones, in expected milliseconds per kilobyte. */
const CROSS_ZONE_MS_PER_KB = 4;

/** Fixed cost of an answer across availability zones, in expected milliseconds. */
const CROSS_ZONE_MS = 3;

const BYTES_PER_KB = 1_000;

/** What a call would cost at the backend servers among which one pick chooses. */
export class PickEstimates {
  /** Factor for failures that all candidates share, which make none of them the worse choice. */
  private readonly commonPenalty: number;

  constructor(private readonly options: PickEstimatesOptions) {
    const { candidates } = options;
    const nowMs = options.nowMs();
    const failures = candidates.reduce((sum, view) => sum + view.failureShare(nowMs), 0);
    this.commonPenalty = failurePenalty(failures / Math.max(1, candidates.length));
  }

  /** Expected time until the call is answered. */
  expectedMs(view: BackendView): number {
    const { call, work, nowMs, admission } = this.options;
    const fullFactor = work.fullFactor(call.service);
    const workMs = work.workMs(call);
    const expectedMs = admission
      ? admission.expectedMs(view, workMs, fullFactor)
      : view.expectedMs(workMs, nowMs(), fullFactor);
    return expectedMs / this.commonPenalty;
  }

  /** Expected time, with what a late answer and a crossing of zones cost in addition. */
  cost(view: BackendView): number {
    const { call, pool, work, nowMs } = this.options;
    const expectedMs = this.expectedMs(view);
    const lateCost = expectedMs > call.objectiveAtMs - nowMs() ? LATE_COST_MS : 0;
    if (pool.isLocal(view)) return expectedMs + lateCost;
    const bytesCost = work.answerKilobytes(call.route.name) * CROSS_ZONE_MS_PER_KB;
    return expectedMs + lateCost + CROSS_ZONE_MS + bytesCost;
  }

  /** True if no further candidate needs to be probed: in time, and no slower than usual. */
  isSufficient(view: BackendView): boolean {
    const { call, work, nowMs } = this.options;
    const leftMs = call.objectiveAtMs - nowMs();
    return this.cost(view) <= Math.min(leftMs * ACCEPT_SHARE, work.workMs(call) * ACCEPT_WORK);
  }

  /** Formats the load of a backend server as `running+waiting/slots*slowdown=expectedMs`. */
  describeLoad(view: BackendView): string {
    const { running = 0, waiting = 0, slots = 0, slowdown = 0 } = view.load ?? {};
    return `${running}+${waiting}/${slots}*${slowdown}=${Math.round(this.expectedMs(view))}`;
  }

  /** What the call needs, for the decision whether it leaves its zone. */
  needs(): CallNeeds {
    const { call, work, nowMs, isFirst } = this.options;
    return {
      leftMs: call.objectiveAtMs - nowMs(),
      workMs: work.workMs(call),
      kilobytes: work.answerKilobytes(call.route.name) + (call.bodyBytes ?? 0) / BYTES_PER_KB,
      isFirst,
    };
  }

  toCandidate(view: BackendView): EvaluatedCandidate<BackendView> {
    const isLocal = this.options.pool.isLocal(view);
    return { view, isLocal, expectedMs: this.expectedMs(view), isFree: view.hasFreeSlot };
  }
}
