import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import type { BackendNotice, HealthReport, LoadReport } from './Types.js';

/** Weight of the newest outcome in the share of failures; about the last eight outcomes count. */
const FAILURE_WEIGHT = 0.12;

/**
 * Time constant with which failures are forgotten. A gateway among hundreds calls one server every few
 * seconds, so that successes alone would keep the failures of a few seconds for minutes.
 */
const FAILURE_MEMORY_MS = 4_000;

/** First backoff after consecutive failures; doubles with each further one. */
const BACKOFF_FIRST_MS = 100;

/** Longest backoff, so that a recovered backend server is used again soon. */
const BACKOFF_MAX_MS = 1_500;

/** Consecutive failures that start a backoff. */
const BACKOFF_AFTER_FAILURES = 2;

/** Work times that a failed attempt costs: one until it fails and one for the retry. */
const FAILURE_PENALTY = 2;

/** Cold backend servers take about twice as long for the same work. */
const COLD_SLOWDOWN = 2;

/**
 * Time constant with which a known load loses its weight in the order of candidates: about half of a
 * slow phase, which lasts some hundred milliseconds, and of the work of a call.
 */
const KNOWN_LOAD_MS = 250;

/** Bound of the known delay, so that a very slow server ranks like a failing one and not beyond. */
const KNOWN_DELAY_MAX = 3;

/**
 * Factor on the expected time of a call at a server that fails a share of its attempts.
 *
 * @example
 * failurePenalty(0.5); // 2
 */
export function failurePenalty(failureShare: number): number {
  return 1 + FAILURE_PENALTY * failureShare;
}

/** State of one backend server as seen by one entry host. */
export class BackendView {
  inFlight = 0;

  load: LoadReport | undefined;

  loadAtMs = Number.NEGATIVE_INFINITY;

  /** Calls sent since the last load report, which does not include them. */
  sentSinceLoad = 0;

  coldUntilMs = 0;

  /** Share of attempts that failed, as of the last failure. */
  private lastFailureShare = 0;

  private failedAtMs = Number.NEGATIVE_INFINITY;

  consecutiveFailures = 0;

  /** End of the backoff; until then other backend servers are preferred. */
  backoffUntilMs = 0;

  /** True if its last probe reported it unhealthy; this alone does not exclude it. */
  unhealthy = false;

  /** True once an answer of this incarnation stated that it shuts down. */
  isLeaving = false;

  /** End of the time for which it accepts nothing from this host. */
  quietUntilMs = 0;

  /** True if the record is from before a restart; any announcement at least as new replaces it. */
  provisional = false;

  /** True if a newer incarnation has its address. */
  superseded = false;

  constructor(public record: BackendRecord) {}

  /** True if it is ready for new calls. */
  get isOpen(): boolean {
    return this.record.state === BackendState.Ready && !this.superseded && !this.isLeaving;
  }

  /** True while it accepts nothing from this host. */
  isQuiet(nowMs: number): boolean {
    return nowMs < this.quietUntilMs;
  }

  /** Applies what an answer states about further calls; returns true if it changes anything. */
  noteNotice({ isLeaving, quietMs = 0 }: BackendNotice, nowMs: number): boolean {
    const quietUntilMs = nowMs + quietMs;
    const leaves = isLeaving && !this.isLeaving;
    const extendsQuiet = quietMs > 0 && quietUntilMs > this.quietUntilMs;
    if (leaves) this.isLeaving = true;
    if (extendsQuiet) this.quietUntilMs = quietUntilMs;
    return leaves || extendsQuiet;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  /** Applies a newer announcement; a new process or address resets the measured state. */
  update(record: BackendRecord, nowMs: number): void {
    const restarted = record.bornMs !== this.record.bornMs;
    const moved = record.address !== this.record.address || record.port !== this.record.port;
    this.record = record;
    if (restarted || moved) this.reset();
    this.noteCold(record.coldLeftMs, nowMs);
  }

  noteCold(coldLeftMs: number, nowMs: number): void {
    // A later report never shortens the cold period.
    if (coldLeftMs > 0) this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldLeftMs);
  }

  noteHealth(report: HealthReport, nowMs: number): void {
    this.unhealthy = !report.healthy;
    if (report.coldLeftMs !== undefined) this.noteCold(report.coldLeftMs, nowMs);
    if (report.load) this.noteLoad(report.load, nowMs);
  }

  noteLoad(load: LoadReport, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.sentSinceLoad = 0;
  }

  /** Recent share of attempts that failed. */
  failureShare(nowMs: number): number {
    if (this.lastFailureShare === 0) return 0;
    return this.lastFailureShare * Math.exp((this.failedAtMs - nowMs) / FAILURE_MEMORY_MS);
  }

  noteSuccess(): void {
    this.lastFailureShare *= 1 - FAILURE_WEIGHT;
    this.consecutiveFailures = 0;
    this.backoffUntilMs = 0;
  }

  noteFailure(nowMs: number): void {
    const before = this.failureShare(nowMs);
    this.lastFailureShare = before + FAILURE_WEIGHT * (1 - before);
    this.failedAtMs = nowMs;
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < BACKOFF_AFTER_FAILURES) return;
    const doublings = Math.min(8, this.consecutiveFailures - BACKOFF_AFTER_FAILURES);
    this.backoffUntilMs = nowMs + Math.min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** doublings);
  }

  /** Starts a backoff at once, as after an unanswered probe. */
  startBackoff(nowMs: number): void {
    this.consecutiveFailures = Math.max(this.consecutiveFailures, BACKOFF_AFTER_FAILURES - 1);
    this.noteFailure(nowMs);
  }

  private get slots(): number {
    return Math.max(1, this.load?.slots ?? this.record.slots);
  }

  /** Calls that run or wait there, as far as this host knows. */
  private get occupied(): number {
    const reported = this.load ? this.load.running + this.load.waiting + this.sentSinceLoad : 0;
    return Math.max(reported, this.inFlight);
  }

  /** True if a call sent now finds a free slot. */
  get hasFreeSlot(): boolean {
    return this.occupied < this.slots;
  }

  /** True if a call sent now takes the last free slot, or waits for one. */
  get isNearlyFull(): boolean {
    return this.occupied + 1 >= this.slots;
  }

  /**
   * Expected time until a call sent now is answered.
   *
   * @param fullFactor Factor by which work takes longer once all slots are taken.
   */
  expectedMs(workMs: number, nowMs: number, fullFactor = 1): number {
    const { slots } = this;
    const ahead = Math.max(0, this.occupied + 1 - slots);
    const slowdown = Math.max(this.load?.slowdown ?? 1, this.isCold(nowMs) ? COLD_SLOWDOWN : 0);
    const penalty = failurePenalty(this.failureShare(nowMs)) + (this.unhealthy ? 1 : 0);
    const crowding = this.isNearlyFull ? fullFactor : 1;
    return workMs * slowdown * crowding * (1 + ahead / slots) * penalty;
  }

  /**
   * Time by which a call takes longer there than at an idle server of usual speed, in usual work
   * times, as far as the last load still tells.
   */
  knownDelay(nowMs: number): number {
    if (!this.load) return 0;
    const weight = Math.exp(-(nowMs - this.loadAtMs) / KNOWN_LOAD_MS);
    return weight * Math.min(KNOWN_DELAY_MAX, this.expectedMs(1, nowMs) - 1);
  }

  private reset(): void {
    this.load = undefined;
    this.loadAtMs = Number.NEGATIVE_INFINITY;
    this.sentSinceLoad = 0;
    this.coldUntilMs = 0;
    this.lastFailureShare = 0;
    this.consecutiveFailures = 0;
    this.backoffUntilMs = 0;
    this.unhealthy = false;
    this.isLeaving = false;
    this.quietUntilMs = 0;
  }
}
