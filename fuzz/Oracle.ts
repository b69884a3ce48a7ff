import type { Outcome } from '../src/common/Enums.js';
import { BrokenPromise, Promised } from './BrokenPromise.js';

/** Answer that a caller received. */
export interface CallerView {
  readonly requestId: string;
  readonly key: string | null;
  /** Null for an answer of a backend server. */
  readonly outcome: Outcome | null;
  /** Request that the answer belongs to. */
  readonly answerOf: string | null;
  readonly whole: boolean;
  readonly endedCleanly: boolean;
}

/** Time after which a change or a leaving server must show. */
export const GRACE_MS = 3_500;

/** Backend servers that the killing request may end within the memory of the quarantine. */
const MAX_DEATHS = 4;
const QUARANTINE_MS = 60_000;

/** Knows only the brief's promises and what callers, operators and backend servers see. */
export class Oracle {
  /** Runs per request id, across attempts. */
  private readonly runsOfRequest = new Map<string, number>();

  private readonly runsOfKey = new Map<string, number>();

  /** Zones that operators took out, with the time of acceptance. */
  private readonly closedAtMs = new Map<string, number>();

  /** Backend incarnations that leave, with the time of the first announcement of it. */
  private readonly leavingAtMs = new Map<string, number>();

  /** Times at which the killing request ended backend servers. */
  private readonly deathsAtMs: number[] = [];

  /** Highest revision that was acknowledged to an operator. */
  private acknowledged = 0;

  /** Highest settings revision per entry host and boot. */
  private readonly appliedRevision = new Map<string, number>();

  private fail(promised: Promised, detail: string): never {
    throw new BrokenPromise(promised, `${detail} (after ${this.checks} checks)`);
  }

  /** Checks made so far. */
  checks = 0;

  onRun(requestId: string, key: string | null): void {
    this.checks += 1;
    this.runsOfRequest.set(requestId, (this.runsOfRequest.get(requestId) ?? 0) + 1);
    if (key === null) return;
    const runs = (this.runsOfKey.get(key) ?? 0) + 1;
    this.runsOfKey.set(key, runs);
    if (runs > 1) this.fail(Promised.AtMostOnce, `key ${key} ran ${runs} times`);
  }

  onArrival(
    backend: string,
    zone: string,
    load: { inFlight: number; slots: number; bears: number },
    nowMs: number,
  ): void {
    this.checks += 1;
    if (load.inFlight > load.slots) {
      this.fail(Promised.Slots, `${backend} runs ${load.inFlight} of ${load.slots}`);
    }
    if (load.inFlight > load.bears) {
      this.fail(Promised.ColdServers, `${backend} runs ${load.inFlight}, bears ${load.bears}`);
    }
    const closedAtMs = this.closedAtMs.get(zone);
    if (closedAtMs !== undefined && nowMs > closedAtMs + GRACE_MS) {
      this.fail(Promised.ZoneOut, `${backend} in ${zone} ${nowMs - closedAtMs} ms after`);
    }
    const leavingAtMs = this.leavingAtMs.get(backend);
    if (leavingAtMs !== undefined && nowMs > leavingAtMs + GRACE_MS) {
      this.fail(Promised.Leaving, `${backend} ${nowMs - leavingAtMs} ms after`);
    }
  }

  /** A request ended a backend server; its resends must not go on for ever. */
  onKilled(nowMs: number): void {
    this.checks += 1;
    this.deathsAtMs.push(nowMs);
    const recent = this.deathsAtMs.filter((atMs) => nowMs - atMs < QUARANTINE_MS);
    if (recent.length > MAX_DEATHS) {
      this.fail(Promised.Killers, `${recent.length} backend servers ended`);
    }
  }

  onLeaving(backend: string, nowMs: number): void {
    if (!this.leavingAtMs.has(backend)) this.leavingAtMs.set(backend, nowMs);
  }

  onStartedAgain(backend: string): void {
    this.leavingAtMs.delete(backend);
  }

  onZoneAccepted(zone: string, out: boolean, nowMs: number): void {
    if (out) this.closedAtMs.set(zone, nowMs);
    else this.closedAtMs.delete(zone);
  }

  /** A zone that may be opened again at any moment is no longer checked. */
  onZoneOpening(zone: string): void {
    this.closedAtMs.delete(zone);
  }

  onAcknowledged(revision: number): void {
    this.acknowledged = Math.max(this.acknowledged, revision);
  }

  onAnswered(view: CallerView): void {
    this.checks += 1;
    if (view.answerOf !== null && view.answerOf !== view.requestId) {
      this.fail(Promised.WholeAnswers, `${view.requestId} got the answer of ${view.answerOf}`);
    }
    if (!view.whole && view.endedCleanly) {
      this.fail(Promised.WholeAnswers, `${view.requestId} got a cut answer as a whole one`);
    }
    if (view.outcome === 'not-run' && (this.runsOfRequest.get(view.requestId) ?? 0) > 0) {
      this.fail(Promised.NotRun, `${view.requestId} ran`);
    }
  }

  onApplied(entryBoot: string, revision: number): void {
    const last = this.appliedRevision.get(entryBoot) ?? 0;
    if (revision < last)
      this.fail(Promised.InForce, `${entryBoot} went from ${last} to ${revision}`);
    this.appliedRevision.set(entryBoot, revision);
  }

  /** Checks the revision under which a call is admitted long after the last change. */
  onAdmitted(entryBoot: string, revision: number, acknowledgedLongAgo: number): void {
    this.checks += 1;
    if (revision < acknowledgedLongAgo) {
      this.fail(Promised.InForce, `${entryBoot} admits at ${revision} < ${acknowledgedLongAgo}`);
    }
  }

  /** Checks that nobody waits in the end. */
  onUnanswered(requestIds: readonly string[]): void {
    this.checks += 1;
    if (requestIds.length > 0) this.fail(Promised.Answered, requestIds.join(' '));
  }

  /** Checks that the agreed state holds every acknowledged change. */
  onAgreed(revision: number): void {
    if (revision < this.acknowledged) {
      this.fail(Promised.InForce, `revision ${revision} after ${this.acknowledged} acknowledged`);
    }
  }

  /** Compares the answered measuring messages of an incarnation with its budget. */
  onMeasured(backend: string, messages: number, allowed: number): void {
    this.checks += 1;
    if (messages > allowed) {
      this.fail(Promised.MeasuringBudget, `${backend}: ${messages} messages > ${allowed}`);
    }
  }
}
