/** Options of {@link HeldCalls}. */
export interface HeldCallsOptions {
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
}

/** Maximum number of held calls; they hold no body, only a request head. */
const HELD_MAX = 256;

/**
 * Longest wait of one call: a few round trips to a control host, and less than the delay after which
 * a refused caller would have its answer elsewhere.
 */
export const HOLD_MAX_MS = 350;

/** Share of a call's time budget that it may wait, so that enough is left for its work. */
const HOLD_SHARE = 0.3;

/** Calls that wait for a change of this gateway's state, bounded in number and time. */
export class HeldCalls {
  private readonly held = new Set<() => void>();

  constructor(private readonly options: HeldCallsOptions) {}

  /**
   * Resolves at the next {@link release}, after the longest wait that the call's time budget allows,
   * or at once if too many calls wait already.
   *
   * @param maxMs - upper bound of the wait in addition to {@link HOLD_MAX_MS}
   * @example
   * await held.hold(1_200); // after 350 ms at the latest
   */
  hold(budgetMs: number, maxMs = HOLD_MAX_MS): Promise<void> {
    if (this.held.size >= HELD_MAX) return Promise.resolve();
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const release = () => {
        cancelTimer();
        this.held.delete(release);
        resolve();
      };
      this.held.add(release);
      const delayMs = Math.min(HOLD_MAX_MS, maxMs, budgetMs * HOLD_SHARE);
      cancelTimer = this.options.setTimer(delayMs, release);
    });
  }

  /** Releases all held calls. */
  release(): void {
    [...this.held].forEach((release) => release());
  }
}
