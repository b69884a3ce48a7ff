/** Times of a planned stop, on the host's monotonic clock. */
export interface StopTimes {
  /** New connections are accepted until then. */
  readonly listenUntilMs: number;
  /** Every call is to be answered by then; one whose time limit ends later is not admitted. */
  readonly answerByMs: number;
  /** Answers are sent, and results made durable, until then; the process ends afterwards. */
  readonly flushUntilMs: number;
}

/** Begin and bounds of a planned stop. */
export interface StopOptions {
  readonly startedAtMs: number;
  /** Time from the signal to the end that a supervisor may enforce. */
  readonly stopMs: number;
  /** Time for which callers may use a directory answer that lists this host. */
  readonly directoryValidMs: number;
}

/** Largest share of the stop in which new connections are accepted; calls need the other half. */
const LISTEN_SHARE = 0.5;

/** Share of the stop that is kept for sending answers and making results durable. */
const FLUSH_SHARE = 0.2;

/** Upper bound of that time: the settle wait of 5 s, and as much for the last answers. */
const FLUSH_MAX_MS = 10_000;

/** Share of the stop that is kept for closing the listeners and ending the process. */
const CLOSE_SHARE = 0.05;

/** Upper bound of that time; closing waits for no other process. */
const CLOSE_MAX_MS = 1_000;

/**
 * Divides the time of a planned stop.
 *
 * @example
 * planStop({ startedAtMs: 0, stopMs: 30_000, directoryValidMs: 5_000 });
 * // { listenUntilMs: 5_000, answerByMs: 24_000, flushUntilMs: 29_000 }
 */
export function planStop({ startedAtMs, stopMs, directoryValidMs }: StopOptions): StopTimes {
  const endsAtMs = startedAtMs + stopMs;
  return {
    listenUntilMs: startedAtMs + Math.min(directoryValidMs, stopMs * LISTEN_SHARE),
    answerByMs: endsAtMs - Math.min(stopMs * FLUSH_SHARE, FLUSH_MAX_MS),
    flushUntilMs: endsAtMs - Math.min(stopMs * CLOSE_SHARE, CLOSE_MAX_MS),
  };
}

/**
 * True if a call that is not yet sent could still be without an answer when answers are due: it is
 * then refused, since a backend server might run it and its answer be lost.
 *
 * @example
 * endsTooLate(9_000, 8_000); // true
 */
export function endsTooLate(deadlineMs: number, answerByMs: number): boolean {
  return deadlineMs > answerByMs;
}
