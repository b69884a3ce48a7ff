import type { Customer } from '../routing/Types.js';

/** Bounds of the usage caps of a deployment. */
export interface CapBounds {
  /** Length of the sliding window in which the calls of a customer are bounded. */
  readonly windowMs: number;
  /** Calls above a cap that a window may have, as a share of the cap. */
  readonly overshootRatio: number;
  /** Calls above a cap that a window may have in addition to the share. */
  readonly slackCalls: number;
}

/** Usage cap of one customer over all gateways together. */
export interface CapLimit {
  readonly ratePerSecond: number;
  /** Calls allowed at once in addition to the rate. */
  readonly burst: number;
}

/** Counts of one customer's calls. */
export interface Usage {
  readonly admitted: number;
  readonly refused: number;
}

/**
 * Counts of several customers, one array for each value. The totals count from the start of the
 * sender; the deltas from its last message, for a receiver that has no earlier total.
 */
export interface UsageColumns {
  readonly customers: readonly string[];
  readonly admitted: readonly number[];
  readonly refused: readonly number[];
  readonly admittedDelta: readonly number[];
  readonly refusedDelta: readonly number[];
}

/** Levels and demand of the customers near their cap, one array for each value. */
export interface LevelColumns {
  readonly customers: readonly string[];
  /** Calls that a customer may still make at once; negative after an overshoot. */
  readonly levels: readonly number[];
  /** Calls per second at all gateways together, admitted or not. */
  readonly demand: readonly number[];
}

/**
 * Part of the slack that serves calls above a cap. Most calls above a small cap can be served within
 * the bound of its window; the other part is left for calls that the counts do not include yet.
 */
const SERVED_SLACK_SHARE = 0.5;

const MS_PER_SECOND = 1_000;

/**
 * Caps of the customers that have one, by name, with the part of the slack that is served.
 *
 * @example
 * const bounds = { windowMs: 5_000, overshootRatio: 0.1, slackCalls: 20 };
 * const customers = [{ name: 'a', keys: [], ratePerSecond: 5, burst: 5 }];
 * limitsOf(customers, bounds).get('a'); // { ratePerSecond: 7, burst: 5 }
 */
export function limitsOf(
  customers: readonly Customer[],
  { slackCalls, windowMs }: CapBounds,
): Map<string, CapLimit> {
  const served = (SERVED_SLACK_SHARE * slackCalls * MS_PER_SECOND) / windowMs;
  const limited = customers.filter(({ ratePerSecond = 0 }) => ratePerSecond > 0);
  return new Map(
    limited.map(({ name, ratePerSecond = 0, burst = 0 }) => [
      name,
      { ratePerSecond: ratePerSecond + served, burst },
    ]),
  );
}
