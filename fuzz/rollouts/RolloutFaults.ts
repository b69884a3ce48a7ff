import { pickIndex, type RandomSource } from '../../src/common/Random.js';

/** How a bad version is bad. */
export enum FaultKind {
  None = 'none',
  Failures = 'failures',
  Slow = 'slow',
}

/** When a bad version is bad. */
export enum FaultOnset {
  AtOnce = 'at once',
  Later = 'later',
  UnderLoad = 'under load',
  OneRoute = 'one route',
}

/** Disturbance of the servers of both versions. */
export enum Disturbance {
  None = 'none',
  Crashes = 'crashes',
  SlowServers = 'slow servers',
  LostAnswers = 'lost answers',
}

/** Fault of a new version. */
export interface VersionFault {
  readonly kind: FaultKind;
  readonly onset: FaultOnset;
  /** Share of the answers that are failures. */
  readonly failureShare: number;
  /** Factor on the work. */
  readonly slowFactor: number;
  /** Time after the order at which a later fault begins. */
  readonly beginsAfterMs: number;
  /** Calls in progress for each server from which a fault under load shows. */
  readonly loadPerServer: number;
}

/** Latest start of a later fault before the deadline: a second into the phase of the full share. */
const LATER_BEFORE_DUE_MS = 2_500;

/** Draws a fault with the ranges that the operators' requirements name. */
export function drawFault(
  random: RandomSource,
  kind: FaultKind,
  onset: FaultOnset,
  durationMs: number,
): VersionFault {
  return {
    kind,
    onset,
    failureShare: 0.2 + random.next() * 0.4,
    slowFactor: 3 + random.next() * 3,
    beginsAfterMs: 3_000 + random.next() * (durationMs - 3_000 - LATER_BEFORE_DUE_MS),
    loadPerServer: 0.1 + random.next() * 0.2,
  };
}

/** Draws one of the values of an enumeration. */
export function drawValue<T>(random: RandomSource, values: Readonly<Record<string, T>>): T {
  const list = Object.values(values);
  return list[pickIndex(random, list.length)]!;
}
