import type { CapBounds, CapLimit } from './Types.js';

const MS_PER_SECOND = 1_000;

/**
 * Time over which a level above or below zero is used up or compensated. More than twice the age of
 * an update (a report interval, two messages of up to 60 ms and an update interval), so that the
 * admitted rate does not oscillate.
 */
export const CORRECTION_MS = 700;

/**
 * Share of the allowed overshoot below which the level is held on purpose, so that an inexact level
 * refuses no call below the cap. The rest is left for calls that no update includes yet.
 */
const RESERVE_SHARE = 0.3;

/** Calls that a window may have according to the cap alone. */
export function capOfWindow(limit: CapLimit, bounds: CapBounds): number {
  return (limit.ratePerSecond * bounds.windowMs) / MS_PER_SECOND + limit.burst;
}

/** Calls above the cap that the level may be overdrawn by before calls are refused. */
export function reserveCalls(limit: CapLimit, bounds: CapBounds): number {
  const overshoot = bounds.overshootRatio * capOfWindow(limit, bounds) + bounds.slackCalls;
  return RESERVE_SHARE * overshoot;
}

/** Options of {@link admittedShare}. */
export interface AdmittedShareOptions {
  readonly limit: CapLimit;
  readonly bounds: CapBounds;
  /** Calls that the customer may still make at once, over all gateways. */
  readonly level: number;
  readonly demandPerSecond: number;
}

/**
 * Share of a customer's calls that every gateway admits: all of them while the level lasts for the
 * demand over {@link CORRECTION_MS}, otherwise what the rate and the level allow. It is the same at
 * all gateways, so that it depends neither on their number nor on how calls are spread over them.
 *
 * @example
 * const limit = { ratePerSecond: 10, burst: 10 };
 * const bounds = { windowMs: 5_000, overshootRatio: 0, slackCalls: 0 };
 * admittedShare({ limit, bounds, level: 0, demandPerSecond: 40 }); // 0.25
 */
export function admittedShare(options: AdmittedShareOptions): number {
  const { limit, bounds, level, demandPerSecond } = options;
  const spare = level + reserveCalls(limit, bounds);
  const allowed = limit.ratePerSecond + (spare * MS_PER_SECOND) / CORRECTION_MS;
  if (demandPerSecond <= allowed) return 1;
  return Math.max(0, allowed) / demandPerSecond;
}
