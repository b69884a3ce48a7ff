import type { CapBounds, UsageColumns } from '../src/common/caps/Types.js';
import type { LevelBucket } from '../src/common/caps/LevelBucket.js';
import type { UsageCaps } from '../src/gateway/caps/UsageCaps.js';

/** Bounds that the model's runs are checked against. */
export const MODEL_BOUNDS: CapBounds = { windowMs: 5_000, overshootRatio: 0.1, slackCalls: 20 };

/** How calls are admitted in a run. */
export enum CapApproach {
  /** Levels of control hosts: the product's own code. */
  Levels = 'levels',
  /** Every gateway has the same share of the cap. */
  EqualShares = 'equal-shares',
  /** Shares of the cap by demand in the last second, exchanged every 200 ms. */
  DemandShares = 'demand-shares',
  /** A holder decides on each call; the call waits for its answer. */
  Holder = 'holder',
}

/** Faults of the model. */
export enum CapFault {
  GatewayKilled = 'gateway-killed',
  GatewayCut = 'gateway-cut',
  GatewayPaused = 'gateway-paused',
  ZoneCut = 'zone-cut',
  ControlKilled = 'control-killed',
  AllControlRestarted = 'all-control-restarted',
}

/** Options of a run of the model. */
export interface CapWorldOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly approach?: CapApproach;
  /** Calls per second of each customer at usual load, in relation to its rate. */
  readonly usualShare?: number;
  /** Customer with the surge, by descending size; none if omitted. */
  readonly surgeCustomer?: number;
  readonly surgeFactor?: number;
  readonly fault?: CapFault;
  readonly customers?: number;
  /** Rate of the largest and of the smallest customer, in calls per second. */
  readonly rates?: readonly [number, number];
  readonly durationMs?: number;
}

/** Result of a run. */
export interface CapWorldResult {
  /** Largest calls of a window divided by its bound, over all customers. */
  readonly worstWindow: number;
  /** Calls refused while the exact shared level allowed them, and all calls. */
  readonly wronglyRefused: number;
  readonly refused: number;
  readonly calls: number;
  /** Calls refused of customers without a surge. */
  readonly refusedOthers: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
}

/** Gateway of the model. */
export interface ModelGateway {
  readonly id: number;
  caps: UsageCaps;
  control: number;
  sessionId: number;
  isCut: boolean;
  isDead: boolean;
  pausedUntilMs: number;
  reportedAtMs: number;
  shareBuckets: Map<string, LevelBucket>;
  recent: Map<string, number>;
}

/** Report without counts. */
export const NO_USAGE: UsageColumns = {
  customers: [],
  admitted: [],
  refused: [],
  admittedDelta: [],
  refusedDelta: [],
};
