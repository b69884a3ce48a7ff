import {
  costMs,
  isIdle,
  mayCross,
  mayStay,
  type CallNeeds,
  type CrossingPrices,
  type ZoneCandidate,
} from './CrossingDecision.js';
import type { LeaveShare } from './LeaveShare.js';

/** Candidate that answered, or whose load is recent enough. */
export interface EvaluatedCandidate<T> extends ZoneCandidate {
  readonly view: T;
}

/** Options of a {@link ZoneSearch}. */
export interface ZoneSearchOptions<T> {
  readonly prices: CrossingPrices;
  readonly shares: LeaveShare;
  readonly service: string;
  readonly isFirst: boolean;
  readonly nowMs: () => number;
  /** Candidates in the order in which to probe them; the search removes those that it returns. */
  readonly local: T[];
  readonly remote: T[];
}

/** Candidates in one round. */
const GROUP_SIZE = 2;

/**
 * Rounds in the own zone before others are probed: four candidates of which none is in time show
 * that more than half of the zone's backend servers are full, with an error of one in sixteen.
 */
const LOCAL_ROUNDS = 2;

/** Order in which the zones are searched for one call, and what is taken from each. */
export class ZoneSearch<T> {
  private localRounds = 0;

  private isLocalSpent: boolean;

  private isNoted = false;

  constructor(private readonly options: ZoneSearchOptions<T>) {
    const { shares, service, isFirst, nowMs, local } = options;
    this.isLocalSpent = local.length === 0 || (isFirst && shares.takeSkip(service, nowMs()));
  }

  /**
   * Removes and returns the candidates of the next round; empty if none are left. Other zones come
   * after the own one is known not to answer in time; what is left of the own zone comes last.
   */
  nextGroup(): T[] {
    const { local, remote } = this.options;
    if (!this.isLocalSpent && local.length > 0 && this.localRounds < LOCAL_ROUNDS) {
      this.localRounds += 1;
      return local.splice(0, GROUP_SIZE);
    }
    if (this.localRounds > 0) this.note(true);
    this.isLocalSpent = true;
    if (remote.length > 0) return remote.splice(0, GROUP_SIZE);
    return local.splice(0, GROUP_SIZE);
  }

  /** True if a candidate is taken before the others of its round have answered. */
  isTakenAtOnce(
    candidate: EvaluatedCandidate<T>,
    evaluated: readonly EvaluatedCandidate<T>[],
    needs: CallNeeds,
  ): boolean {
    if (!candidate.isLocal) return this.mayCross(candidate, evaluated, needs);
    if (!isIdle(candidate, needs)) return false;
    this.note(false);
    return true;
  }

  /** Candidate of the own zone that is taken at the end of a round; undefined to search on. */
  takenAfterRound(
    evaluated: readonly EvaluatedCandidate<T>[],
    needs: CallNeeds,
  ): EvaluatedCandidate<T> | undefined {
    if (!needs.isFirst) return undefined;
    const { prices } = this.options;
    const best = this.cheapest(
      evaluated.filter((candidate) => candidate.isLocal && mayStay(candidate, needs, prices)),
      needs,
    );
    if (best) this.note(false);
    return best;
  }

  /**
   * Candidate of lowest cost at the end of the search. One of another zone without a free slot is
   * taken only if the own zone has none that is usable.
   */
  cheapestOf(
    evaluated: readonly EvaluatedCandidate<T>[],
    needs: CallNeeds,
  ): EvaluatedCandidate<T> | undefined {
    const allowed = evaluated.filter((candidate) => candidate.isLocal || candidate.isFree);
    return this.cheapest(allowed.length > 0 ? allowed : evaluated, needs);
  }

  private mayCross(
    candidate: EvaluatedCandidate<T>,
    evaluated: readonly EvaluatedCandidate<T>[],
    needs: CallNeeds,
  ): boolean {
    const { prices } = this.options;
    const local = evaluated.filter(({ isLocal }) => isLocal);
    const costs = local.map((other) => costMs(other, needs, prices));
    return mayCross(candidate, needs, prices, Math.min(...costs));
  }

  private cheapest(
    candidates: readonly EvaluatedCandidate<T>[],
    needs: CallNeeds,
  ): EvaluatedCandidate<T> | undefined {
    const { prices } = this.options;
    const cost = (candidate: ZoneCandidate) => costMs(candidate, needs, prices);
    return [...candidates].sort((a, b) => cost(a) - cost(b))[0];
  }

  /** Records the finding in the own zone, once for the first pick of a call. */
  private note(hasLeft: boolean): void {
    const { shares, service, isFirst, nowMs } = this.options;
    if (this.isNoted || !isFirst) return;
    this.isNoted = true;
    shares.note(service, hasLeft, nowMs());
  }
}
