import { setImmediate as immediate, setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../../runtime/Clock.js';
import type { StopTimes } from '../StopTimes.js';

/** What a planned stop does with its host. */
export interface StoppingHost {
  /** Accepts no further connections. */
  stopListening(): void;
  /** Closes idle connections; true once no call is open and the callers' connections are closed. */
  drain(): boolean;
  /** Admits no further call, and answers those whose answer has not begun. */
  answerOpenCalls(): void;
  /** Results of claimed calls that are not yet durable. */
  unsettledClaims(): number;
}

/** Options of {@link runPlannedStop}. */
export interface PlannedStopOptions {
  readonly times: StopTimes;
  readonly host: StoppingHost;
  readonly clock: Clock;
}

/** Interval between two looks at the open calls: short against the times of calls. */
const POLL_MS = 20;

/** Longest wait for results to become durable, which needs a majority of the control hosts. */
const SETTLE_WAIT_MS = 5_000;

async function poll(clock: Clock, done: () => boolean, untilMs: number): Promise<void> {
  while (!done() && clock.nowMs() < untilMs) {
    // Polling is the loop's purpose.
    // eslint-disable-next-line no-await-in-loop
    await delay(POLL_MS);
  }
}

/**
 * Runs a planned stop up to the point at which the listeners can be closed: by then every call that
 * was admitted is answered, unless an answer that had begun takes longer than the stop.
 *
 * @example
 * await runPlannedStop({ times: planStop({ startedAtMs, stopMs, directoryValidMs }), host, clock });
 */
export async function runPlannedStop({ times, host, clock }: PlannedStopOptions): Promise<void> {
  await delay(times.listenUntilMs - clock.nowMs());
  // In a busy process timers run first; connections that wait are accepted before an immediate.
  await immediate();
  host.stopListening();
  await poll(clock, () => host.drain(), times.answerByMs);
  host.answerOpenCalls();
  await poll(clock, () => host.drain(), times.flushUntilMs);
  const settledByMs = Math.min(clock.nowMs() + SETTLE_WAIT_MS, times.flushUntilMs);
  await poll(clock, () => host.unsettledClaims() === 0, settledByMs);
}
