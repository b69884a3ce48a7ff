import type { ServerResponse } from 'node:http';
import { AttemptResultType, type AttemptHandle } from '../Types.js';

/** Time limit of a call, which decides whether a planned stop leaves enough time for it. */
export interface CallLimit {
  /** Name of the route. */
  readonly route: string;
  readonly arrivedAtMs: number;
  /** End of the time that its caller or route allows, whichever is earlier. */
  readonly endsAtMs: number;
  /** False if its caller can't repeat it unless it is told that the call has not run. */
  readonly isRepeatable: boolean;
}

/** Results of attempts that no backend server has run. */
const NOT_RUN_RESULTS: ReadonlySet<AttemptResultType> = new Set([
  AttemptResultType.NotRun,
  AttemptResultType.NotSent,
]);

/** Call whose answer is not yet sent completely. */
export class OpenCall {
  private knownCallId = '';

  private knownLimit: CallLimit | undefined;

  private cancelAttempts: (() => void) | undefined;

  private attempts = 0;

  private notRun = 0;

  constructor(readonly response: ServerResponse) {}

  get callId(): string {
    return this.knownCallId;
  }

  /** Undefined until the route of the call is known. */
  get limit(): CallLimit | undefined {
    return this.knownLimit;
  }

  /** True if an attempt was made, whatever its result. */
  get wasSent(): boolean {
    return this.attempts > 0;
  }

  /** True if an attempt has run, may have run, or may still run. */
  get mayHaveRun(): boolean {
    return this.attempts > this.notRun;
  }

  identify(callId: string): void {
    this.knownCallId = callId;
  }

  setLimit(limit: CallLimit): void {
    this.knownLimit = limit;
  }

  /** Sets the function that cancels the attempts of the call. */
  onAbandoned(cancelAttempts: () => void): void {
    this.cancelAttempts = cancelAttempts;
  }

  abandon(): void {
    this.cancelAttempts?.();
  }

  /**
   * Counts an attempt, and its result once it arrives.
   *
   * @example
   * return open.track(client.send(view, request));
   */
  track(handle: AttemptHandle): AttemptHandle {
    this.attempts += 1;
    handle.result.then(
      ({ type }) => {
        if (NOT_RUN_RESULTS.has(type)) this.notRun += 1;
      },
      // The dispatcher logs it; the attempt may have run.
      () => {},
    );
    return handle;
  }
}
