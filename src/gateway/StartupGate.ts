/** Options of a {@link StartupGate}. */
export interface StartupGateOptions {
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
}

/** Calls wait only within this time after the start, in which routing is expected to arrive. */
const STARTUP_MS = 1_500;

/** Maximum number of waiting calls; they hold no body, only a request head. */
const WAITING_MAX = 256;

/** Longest wait of one call. */
const WAIT_MAX_MS = 350;

/** Share of a call's time budget that it may wait, so that enough is left for its work. */
const WAIT_SHARE = 0.3;

/**
 * Delays calls at a gateway that has just started and has no routing yet: routing and backend
 * servers arrive within some hundred milliseconds, earlier than a refused caller would retry.
 */
export class StartupGate {
  private readonly startedAtMs: number;

  private readonly waiting = new Set<() => void>();

  private isOpen = false;

  constructor(private readonly options: StartupGateOptions) {
    this.startedAtMs = options.nowMs();
  }

  /** Resolves once the gateway can serve, or after the longest wait that the budget allows. */
  wait(budgetMs: number): Promise<void> {
    const starting = this.options.nowMs() - this.startedAtMs < STARTUP_MS;
    if (this.isOpen || !starting || this.waiting.size >= WAITING_MAX) return Promise.resolve();
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const release = () => {
        cancelTimer();
        this.waiting.delete(release);
        resolve();
      };
      this.waiting.add(release);
      cancelTimer = this.options.setTimer(Math.min(WAIT_MAX_MS, budgetMs * WAIT_SHARE), release);
    });
  }

  /** Releases all waiting calls; later calls do not wait. */
  open(): void {
    this.isOpen = true;
    [...this.waiting].forEach((release) => release());
  }
}
