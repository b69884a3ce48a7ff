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
 * Caps of the customers that have one, by name.
 *
 * @example
 * limitsOf([{ name: 'a', keys: [], ratePerSecond: 5, burst: 5 }]).get('a')?.burst; // 5
 */
export function limitsOf(customers: readonly Customer[]): Map<string, CapLimit> {
  const limited = customers.filter(({ ratePerSecond = 0 }) => ratePerSecond > 0);
  return new Map(
    limited.map(({ name, ratePerSecond = 0, burst = 0 }) => [name, { ratePerSecond, burst }]),
  );
}
