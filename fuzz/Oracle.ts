import type { Outcome } from '../src/common/Enums.js';
import { Invariant, InvariantViolation } from './InvariantViolation.js';

/** Answer that a caller received. */
export interface ReceivedAnswer {
  readonly requestId: string;
  readonly key: string | null;
  /** Null for an answer of a backend server. */
  readonly outcome: Outcome | null;
  /** Request that the answer belongs to. */
  readonly answerOf: string | null;
  readonly complete: boolean;
  readonly endedCleanly: boolean;
}

/** Time within which a closed zone or a departure must take effect. */
export const GRACE_MS = 3_500;

/** Backend servers that the crashing request may crash within {@link CRASH_WINDOW_MS}. */
const MAX_CRASHES = 4;

/** Window in which crashes are counted; shorter than the retention of a quarantine. */
const CRASH_WINDOW_MS = 60_000;

/** Checks the invariants, using only what callers, operators and backend servers can observe. */
export class Oracle {
  /** Runs per request id, across attempts. */
  private readonly runsOfRequest = new Map<string, number>();

  private readonly runsOfKey = new Map<string, number>();

  /** Zones that operators closed, with the time of acceptance. */
  private readonly closedAtMs = new Map<string, number>();

  /** Departing backend servers, with the time at which the departure began. */
  private readonly departingSinceMs = new Map<string, number>();

  /** Times at which the crashing request crashed backend servers. */
  private readonly crashTimesMs: number[] = [];

  /** Highest revision that was acknowledged to an operator. */
  private acknowledgedRevision = 0;

  /** Highest settings revision per entry host and boot. */
  private readonly appliedRevision = new Map<string, number>();

  private fail(invariant: Invariant, detail: string): never {
    throw new InvariantViolation(invariant, `${detail} (after ${this.checks} checks)`);
  }

  /** Checks made so far. */
  checks = 0;

  onRun(requestId: string, key: string | null): void {
    this.checks += 1;
    this.runsOfRequest.set(requestId, (this.runsOfRequest.get(requestId) ?? 0) + 1);
    if (key === null) return;
    const runs = (this.runsOfKey.get(key) ?? 0) + 1;
    this.runsOfKey.set(key, runs);
    if (runs > 1) this.fail(Invariant.AtMostOnce, `key ${key} ran ${runs} times`);
  }

  onArrival(
    backend: string,
    zone: string,
    load: { inFlight: number; slots: number; limit: number },
    nowMs: number,
  ): void {
    this.checks += 1;
    if (load.inFlight > load.slots) {
      this.fail(Invariant.Slots, `${backend} runs ${load.inFlight}, slots ${load.slots}`);
    }
    if (load.inFlight > load.limit) {
      this.fail(Invariant.ColdLimit, `${backend} runs ${load.inFlight}, limit ${load.limit}`);
    }
    const closedAtMs = this.closedAtMs.get(zone);
    if (closedAtMs !== undefined && nowMs > closedAtMs + GRACE_MS) {
      this.fail(
        Invariant.ClosedZone,
        `${backend} in ${zone} received a request ${nowMs - closedAtMs} ms after the closure`,
      );
    }
    const departedAtMs = this.departingSinceMs.get(backend);
    if (departedAtMs !== undefined && nowMs > departedAtMs + GRACE_MS) {
      this.fail(
        Invariant.Departure,
        `${backend} received a request ${nowMs - departedAtMs} ms after its departure`,
      );
    }
  }

  /** Checks that a request that crashes backend servers is not resent without limit. */
  onCrashedByRequest(nowMs: number): void {
    this.checks += 1;
    this.crashTimesMs.push(nowMs);
    const recent = this.crashTimesMs.filter((atMs) => nowMs - atMs < CRASH_WINDOW_MS);
    if (recent.length > MAX_CRASHES) {
      this.fail(Invariant.CrashContainment, `${recent.length} backend servers crashed`);
    }
  }

  onDeparture(backend: string, nowMs: number): void {
    if (!this.departingSinceMs.has(backend)) this.departingSinceMs.set(backend, nowMs);
  }

  onRestarted(backend: string): void {
    this.departingSinceMs.delete(backend);
  }

  onZoneAccepted(zone: string, closed: boolean, nowMs: number): void {
    if (closed) this.closedAtMs.set(zone, nowMs);
    else this.closedAtMs.delete(zone);
  }

  /** Stops checking a zone, as a change that was sent may open it at any moment. */
  onZoneOpening(zone: string): void {
    this.closedAtMs.delete(zone);
  }

  onAcknowledged(revision: number): void {
    this.acknowledgedRevision = Math.max(this.acknowledgedRevision, revision);
  }

  onAnswered(answer: ReceivedAnswer): void {
    this.checks += 1;
    if (answer.answerOf !== null && answer.answerOf !== answer.requestId) {
      this.fail(
        Invariant.CompleteAnswers,
        `${answer.requestId} received the answer to ${answer.answerOf}`,
      );
    }
    if (!answer.complete && answer.endedCleanly) {
      this.fail(
        Invariant.CompleteAnswers,
        `${answer.requestId} received a truncated answer as complete`,
      );
    }
    if (answer.outcome === 'not-run' && (this.runsOfRequest.get(answer.requestId) ?? 0) > 0) {
      this.fail(Invariant.NotRun, `${answer.requestId} ran`);
    }
  }

  onApplied(entryBoot: string, revision: number): void {
    const last = this.appliedRevision.get(entryBoot) ?? 0;
    if (revision < last)
      this.fail(Invariant.ActiveConfig, `${entryBoot} went from revision ${last} to ${revision}`);
    this.appliedRevision.set(entryBoot, revision);
  }

  /** Checks that a call is admitted under a revision that is at least the required one. */
  onAdmitted(entryBoot: string, revision: number, requiredRevision: number): void {
    this.checks += 1;
    if (revision < requiredRevision) {
      this.fail(
        Invariant.ActiveConfig,
        `${entryBoot} admits calls at ${revision}, not ${requiredRevision}`,
      );
    }
  }

  /** Checks that no call is unanswered at the end. */
  onUnanswered(requestIds: readonly string[]): void {
    this.checks += 1;
    if (requestIds.length > 0) this.fail(Invariant.Answered, requestIds.join(' '));
  }

  /** Checks that the replicated state contains every acknowledged change. */
  onReplicated(revision: number): void {
    if (revision < this.acknowledgedRevision) {
      this.fail(
        Invariant.ActiveConfig,
        `revision ${revision} after acknowledged revision ${this.acknowledgedRevision}`,
      );
    }
  }

  /** Checks the number of answered announcements of an incarnation against its budget. */
  onAnnouncements(backend: string, messages: number, allowed: number): void {
    this.checks += 1;
    if (messages > allowed) {
      this.fail(Invariant.AnnouncementBudget, `${backend}: ${messages} messages > ${allowed}`);
    }
  }
}
