import { HeldCalls, type HeldCallsOptions } from './HeldCalls.js';

/** Options of a {@link StartupGate}. */
export interface StartupGateOptions extends HeldCallsOptions {
  readonly nowMs: () => number;
}

/** Calls wait only within this time after the start, in which routing is expected to arrive. */
export const STARTUP_MS = 1_500;

/**
 * Delays calls at a gateway that has just started and has no routing yet: routing and backend
 * servers arrive within some hundred milliseconds, earlier than a refused caller would retry.
 */
export class StartupGate {
  private readonly startedAtMs: number;

  private readonly held: HeldCalls;

  private isOpen = false;

  constructor(private readonly options: StartupGateOptions) {
    this.startedAtMs = options.nowMs();
    this.held = new HeldCalls(options);
  }

  /** Resolves once the gateway can serve, or after the longest wait that the budget allows. */
  wait(budgetMs: number): Promise<void> {
    const starting = this.options.nowMs() - this.startedAtMs < STARTUP_MS;
    if (this.isOpen || !starting) return Promise.resolve();
    return this.held.hold(budgetMs);
  }

  /** Releases all waiting calls; later calls do not wait. */
  open(): void {
    this.isOpen = true;
    this.held.release();
  }
}
