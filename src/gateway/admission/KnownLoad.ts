import { failurePenalty, type BackendView } from '../BackendView.js';

/** Inputs of {@link expectedFromKnown}. */
export interface KnownLoadOptions {
  readonly view: Pick<
    BackendView,
    'expectedMs' | 'failureShare' | 'inFlight' | 'load' | 'loadAtMs' | 'record'
  >;
  readonly workMs: number;
  readonly nowMs: number;
  readonly fullFactor: number;
  /** Expected time at the service's other backend servers, in usual work times. */
  readonly usualWork: number;
}

/**
 * Expected time in milliseconds of a call at a backend server that is not probed now. A load
 * report loses accuracy with its age: the calls in it end after about one work time, which is
 * therefore its time constant. What replaces it is the usual load of the service, the own calls in flight and the own
 * recent failures, which are always current.
 *
 * @example
 * expectedFromKnown({ view, workMs: 90, nowMs, fullFactor: 1, usualWork: 1.5 });
 */
export function expectedFromKnown(options: KnownLoadOptions): number {
  const { view, workMs, nowMs, fullFactor, usualWork } = options;
  const weight = Math.exp(-(nowMs - view.loadAtMs) / workMs);
  const reportedMs = view.expectedMs(workMs, nowMs, fullFactor);
  const slots = Math.max(1, view.load?.slots ?? view.record.slots);
  const ownWork = 1 + Math.max(0, view.inFlight + 1 - slots) / slots;
  const usualMs = workMs * Math.max(usualWork, ownWork) * failurePenalty(view.failureShare(nowMs));
  return weight * reportedMs + (1 - weight) * usualMs;
}
