import { RunningMean } from './RunningMean.js';

/** Share of a route's objective that a call is assumed to take before the first answers. */
const ASSUMED_OBJECTIVE_SHARE = 0.4;

/** Number of observations that the assumption counts for. */
const ASSUMPTION_WEIGHT = 2;

/** Bound of an observation relative to the mean, so that one outlier does not move it far. */
const OBSERVED_MAX_RATIO = 4;

/** Bound of the slowdown at full backend servers, and the observations that "none" counts for. */
const FULL_FACTOR_MAX = 3;
const FULL_ASSUMPTION_WEIGHT = 4;

const BYTES_PER_KB = 1_000;

/** Part of a call that the estimates depend on. */
export interface EstimatedCall {
  readonly service: string;
  readonly route: { readonly name: string; readonly objectiveMs: number };
}

/** Answer from which the estimates are made. */
export interface ObservedAnswer {
  readonly elapsedMs: number;
  /** Slowdown that the backend server reported before the call was sent. */
  readonly slowdown: number;
  /** True if the call took the last free slot, as far as the load showed it. */
  readonly filledSlots: boolean;
  readonly bytes: number;
}

/**
 * Running means of the work time at usual speed, of the slowdown at full backend servers and of the
 * answer size. An entry host among hundreds gets few calls of each service, so the first answers
 * count for much, and before them the objective of the route serves as a measure.
 */
export class WorkEstimates {
  private readonly workByService = new Map<string, RunningMean>();

  private readonly fullFactorByService = new Map<string, RunningMean>();

  private readonly kilobytesByRoute = new Map<string, RunningMean>();

  /** Usual time that the service's backend servers take for a call. */
  workMs({ service, route }: EstimatedCall): number {
    return this.workByService.get(service)?.value ?? route.objectiveMs * ASSUMED_OBJECTIVE_SHARE;
  }

  /** Factor by which a call takes longer that fills the slots of a backend server. */
  fullFactor(service: string): number {
    return Math.max(1, this.fullFactorByService.get(service)?.value ?? 1);
  }

  /** Usual size of the route's answers. */
  answerKilobytes(route: string): number {
    return this.kilobytesByRoute.get(route)?.value ?? 0;
  }

  /** Records an answer. */
  note(call: EstimatedCall, answer: ObservedAnswer): void {
    const { service, route } = call;
    const { elapsedMs, slowdown, filledSlots, bytes } = answer;
    const work =
      this.workByService.get(service) ?? new RunningMean(this.workMs(call), ASSUMPTION_WEIGHT);
    const observedMs = Math.min(elapsedMs / Math.max(1, slowdown), work.value * OBSERVED_MAX_RATIO);
    if (filledSlots) {
      const factor =
        this.fullFactorByService.get(service) ?? new RunningMean(1, FULL_ASSUMPTION_WEIGHT);
      factor.note(Math.min(FULL_FACTOR_MAX, observedMs / work.value));
      this.fullFactorByService.set(service, factor);
    } else {
      work.note(observedMs);
      this.workByService.set(service, work);
    }
    const kilobytes = this.kilobytesByRoute.get(route.name) ?? new RunningMean(0, 0);
    kilobytes.note(bytes / BYTES_PER_KB);
    this.kilobytesByRoute.set(route.name, kilobytes);
  }
}
