/** Price of sending a call to another availability zone, as settings of the deployment. */
export interface CrossingPrices {
  /** Milliseconds that a caller may wait in exchange for one call that does not cross. */
  readonly msPerCall: number;
  /** Milliseconds that a caller may wait for each kilobyte that does not cross. */
  readonly msPerKilobyte: number;
}

/** What a call needs, at the time of the decision. */
export interface CallNeeds {
  /** Time left to the objective, which is negative once it has passed. */
  readonly leftMs: number;
  /** Usual work time of the call. */
  readonly workMs: number;
  /** Usual size of the answer, with the request where it is known. */
  readonly kilobytes: number;
  /** False for retries and hedged attempts, which need a backend server without a queue. */
  readonly isFirst: boolean;
}

/** Backend server as the decision sees it. */
export interface ZoneCandidate {
  readonly isLocal: boolean;
  /** Expected time until a call sent now is answered. */
  readonly expectedMs: number;
  /** True if it has a free slot, so that the call waits behind no other one and delays none. */
  readonly isFree: boolean;
}

/**
 * Share of the time left to the objective within which the own zone must be expected to answer. The
 * rest covers the spread of the work (a third) with the queue that the load does not show yet.
 */
export const LOCAL_SHARE = 0.7;

/** Same share for a candidate without a queue, whose expected time is that of the work alone. */
export const IDLE_SHARE = 0.85;

/** Longest expected time of a candidate that is taken at once, in usual work times: no queue. */
export const IDLE_WORK = 1.3;

/** Cost of an expected answer after the objective: more than any queue that is in time. */
const LATE_COST_MS = 1_000;

/**
 * Price of a call in expected milliseconds.
 *
 * @example
 * crossingPriceMs({ msPerCall: 3, msPerKilobyte: 4 }, 90); // 363
 */
export function crossingPriceMs(prices: CrossingPrices, kilobytes: number): number {
  return prices.msPerCall + prices.msPerKilobyte * kilobytes;
}

/** True if a candidate of the own zone is taken as soon as its load is known. */
export function isIdle({ expectedMs }: ZoneCandidate, { leftMs, workMs }: CallNeeds): boolean {
  return expectedMs <= Math.min(leftMs * IDLE_SHARE, workMs * IDLE_WORK);
}

/**
 * True if a call stays: a candidate of the own zone answers in time with the margin, and its queue
 * costs the caller no more than the price of a crossing to an idle backend server.
 *
 * @example
 * mayStay({ isLocal: true, expectedMs: 280, isFree: false }, needs, prices); // true
 */
export function mayStay(
  { expectedMs }: ZoneCandidate,
  { leftMs, workMs, kilobytes }: CallNeeds,
  prices: CrossingPrices,
): boolean {
  const longestMs = workMs + crossingPriceMs(prices, kilobytes);
  return expectedMs <= Math.min(leftMs * LOCAL_SHARE, longestMs);
}

/** Expected milliseconds of a choice, with the price of a crossing and that of a late answer. */
export function costMs(
  { isLocal, expectedMs }: ZoneCandidate,
  needs: CallNeeds,
  prices: CrossingPrices,
): number {
  const lateMs = expectedMs > needs.leftMs ? LATE_COST_MS : 0;
  return expectedMs + lateMs + (isLocal ? 0 : crossingPriceMs(prices, needs.kilobytes));
}

/**
 * True if a call may be sent to a candidate of another zone: it has a free slot, so that the call
 * displaces none of the zone's own callers, answers in time, and costs less than the best candidate
 * of the own zone. The last call that stays is thus as well off as the first that leaves.
 *
 * @param localCostMs Cost of the best known candidate of the own zone; infinite without one.
 */
export function mayCross(
  candidate: ZoneCandidate,
  needs: CallNeeds,
  prices: CrossingPrices,
  localCostMs: number,
): boolean {
  if (!candidate.isFree || candidate.expectedMs > needs.leftMs * IDLE_SHARE) return false;
  return costMs(candidate, needs, prices) < localCostMs;
}
