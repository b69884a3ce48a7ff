import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import type { HealthReport, LoadReport } from './Types.js';

/** Weight of the newest outcome in the share of failures; about the last eight outcomes count. */
const FAILURE_WEIGHT = 0.12;

/** First pause after failures in a row; doubles with each further one. */
const AVOID_FIRST_MS = 100;

/** Longest pause, so that a mended backend server is found again soon. */
const AVOID_MAX_MS = 1_500;

/** Failures in a row that begin a pause. */
const AVOID_AFTER = 2;

/** How much longer a call is expected to take where every attempt fails, retry included. */
const FAILURE_DOUBT = 2;

/** Cold backend servers take about twice as long for the same work. */
const COLD_SLOWDOWN = 2;

/** What one entry host knows of one backend server. */
export class BackendView {
  inFlight = 0;

  load: LoadReport | undefined;

  loadAtMs = Number.NEGATIVE_INFINITY;

  /** Calls sent since the load was reported, which the report doesn't hold. */
  sentSinceLoad = 0;

  coldUntilMs = 0;

  /** Recent share of attempts that failed. */
  failureShare = 0;

  failuresInRow = 0;

  /** Nothing is sent before this time while another backend server will do. */
  avoidUntilMs = 0;

  /** True where it calls itself unwell; its own word alone doesn't rule it out. */
  unwell = false;

  /** Known only from before a restart; replaced by any word of this or a later incarnation. */
  provisional = false;

  /** Set where another incarnation has the id's address. */
  superseded = false;

  constructor(public record: BackendRecord) {}

  /** True where new work may go there at all. */
  get isOpen(): boolean {
    return this.record.state === BackendState.Ready && !this.superseded;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  /** Takes over a newer announcement. */
  renew(record: BackendRecord, nowMs: number): void {
    const reborn = record.bornMs !== this.record.bornMs;
    const moved = record.address !== this.record.address || record.port !== this.record.port;
    this.record = record;
    if (reborn || moved) this.forget();
    this.noteCold(record.coldLeftMs, nowMs);
  }

  noteCold(coldLeftMs: number, nowMs: number): void {
    // A later announcement never shortens what the backend server said of itself before.
    if (coldLeftMs > 0) this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldLeftMs);
  }

  noteHealth(report: HealthReport, nowMs: number): void {
    this.unwell = !report.healthy;
    if (report.coldLeftMs !== undefined) this.noteCold(report.coldLeftMs, nowMs);
    if (report.load) this.noteLoad(report.load, nowMs);
  }

  noteLoad(load: LoadReport, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.sentSinceLoad = 0;
  }

  noteSuccess(): void {
    this.failureShare *= 1 - FAILURE_WEIGHT;
    this.failuresInRow = 0;
    this.avoidUntilMs = 0;
  }

  noteFailure(nowMs: number): void {
    this.failureShare += FAILURE_WEIGHT * (1 - this.failureShare);
    this.failuresInRow += 1;
    if (this.failuresInRow < AVOID_AFTER) return;
    const doublings = Math.min(8, this.failuresInRow - AVOID_AFTER);
    this.avoidUntilMs = nowMs + Math.min(AVOID_MAX_MS, AVOID_FIRST_MS * 2 ** doublings);
  }

  /** Pauses at once, as after an unanswered probe. */
  avoid(nowMs: number): void {
    this.failuresInRow = Math.max(this.failuresInRow, AVOID_AFTER - 1);
    this.noteFailure(nowMs);
  }

  /** Expected time until a call sent now is answered. */
  expectedMs(workMs: number, nowMs: number): number {
    const slots = Math.max(1, this.load?.slots ?? this.record.slots);
    const known = this.load ? this.load.running + this.load.waiting + this.sentSinceLoad : 0;
    const ahead = Math.max(0, Math.max(known, this.inFlight) + 1 - slots);
    const slowdown = Math.max(this.load?.slowdown ?? 1, this.isCold(nowMs) ? COLD_SLOWDOWN : 0);
    const doubts = 1 + FAILURE_DOUBT * this.failureShare + (this.unwell ? 1 : 0);
    return workMs * slowdown * (1 + ahead / slots) * doubts;
  }

  private forget(): void {
    this.load = undefined;
    this.loadAtMs = Number.NEGATIVE_INFINITY;
    this.sentSinceLoad = 0;
    this.coldUntilMs = 0;
    this.failureShare = 0;
    this.failuresInRow = 0;
    this.avoidUntilMs = 0;
    this.unwell = false;
  }
}
