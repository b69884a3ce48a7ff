/** Options of a {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  /** Maximum number of requests that the backend server runs at once. */
  readonly slots: number;
  /** Successes at one limit before the limit of a cold backend server rises by one. */
  readonly coldRampSuccesses: number;
}

/** Successes before the limit of a warm backend server rises by one. */
const WARM_STEP_SUCCESSES = 12;

/** Maximum factor by which failed ramps lengthen the next one. */
const MAX_RAMP_BACKOFF = 8;

const MIN_LIMIT = 1;

/**
 * Adaptive concurrency limit of one backend server: starts at one, rises with successes, falls
 * by one on a shed answer or broken connection, and returns to one when the server appears cold.
 */
export class ConcurrencyLimit {
  /** Requests that may be in flight now. */
  current = MIN_LIMIT;

  /** True until the limit has reached the slots once since the last cold start. */
  cold = true;

  private slots: number;

  private readonly coldRampSuccesses: number;

  /** Successes since the limit last changed. */
  private successes = 0;

  /** Factor by which failed ramps lengthen the next one. */
  private rampBackoff = 1;

  constructor(options: ConcurrencyLimitOptions) {
    this.slots = options.slots;
    this.coldRampSuccesses = options.coldRampSuccesses;
  }

  /** Applies a new number of slots and caps the limit at it. */
  setSlots(slots: number): void {
    this.slots = slots;
    this.current = Math.min(this.current, slots);
  }

  /** Continues with the limit that a previous leaseholder had reached. */
  resumeAt(limit: number): void {
    this.current = Math.max(MIN_LIMIT, Math.min(this.slots, Math.floor(limit)));
    this.cold = this.current < this.slots;
    this.successes = 0;
  }

  onSuccess(): void {
    if (this.current >= this.slots) {
      this.cold = false;
      this.rampBackoff = 1;
      return;
    }
    this.successes += 1;
    const needed = this.cold ? this.coldRampSuccesses * this.rampBackoff : WARM_STEP_SUCCESSES;
    if (this.successes < needed) return;
    this.successes = 0;
    this.current += 1;
  }

  /** Lowers the limit by one step. */
  onOverload(): void {
    this.current = Math.max(MIN_LIMIT, this.current - 1);
    this.successes = 0;
  }

  /** Treats the backend server as newly started. */
  onColdStart(): void {
    if (this.cold) this.rampBackoff = Math.min(MAX_RAMP_BACKOFF, this.rampBackoff * 2);
    this.restart();
  }

  /** Restarts the ramp without counting the current one as failed. */
  restart(): void {
    this.current = MIN_LIMIT;
    this.cold = true;
    this.successes = 0;
  }
}
