/** Options of a {@link StartupGate}. */
export interface StartupGateOptions {
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
}

/** Only in this time after the start is what is missing about to come. */
const STARTUP_MS = 1_500;

/** Calls that wait at a time; they hold no body, only a request head. */
const WAITING_MAX = 256;

/** Longest wait of one call. */
const WAIT_MAX_MS = 350;

/** Share of a call's time that it may wait, so that enough is left for its work. */
const WAIT_SHARE = 0.3;

/**
 * Lets calls wait for a moment at a gateway that has just started and knows nothing yet: routing
 * and backend servers arrive within some hundred milliseconds, earlier than a refused caller would
 * be back.
 */
export class StartupGate {
  private readonly startedAtMs: number;

  private readonly waiting = new Set<() => void>();

  private isOpen = false;

  constructor(private readonly options: StartupGateOptions) {
    this.startedAtMs = options.nowMs();
  }

  /** Resolves once the gateway can serve, or when the call may wait no longer. */
  pass(budgetMs: number): Promise<void> {
    const starting = this.options.nowMs() - this.startedAtMs < STARTUP_MS;
    if (this.isOpen || !starting || this.waiting.size >= WAITING_MAX) return Promise.resolve();
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const go = () => {
        cancelTimer();
        this.waiting.delete(go);
        resolve();
      };
      this.waiting.add(go);
      cancelTimer = this.options.setTimer(Math.min(WAIT_MAX_MS, budgetMs * WAIT_SHARE), go);
    });
  }

  /** Lets everyone through from now on. */
  open(): void {
    this.isOpen = true;
    [...this.waiting].forEach((go) => go());
  }
}
