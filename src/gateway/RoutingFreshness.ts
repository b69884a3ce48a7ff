import type { PongMessage } from '../common/Messages.js';
import { HOLD_MAX_MS } from './HeldCalls.js';
import { RoutingLag } from './RoutingLag.js';
import { STARTUP_MS } from './StartupGate.js';

/** What a gateway knows about the age of its routing. */
export enum FreshnessState {
  /** The host has just started and has no routing yet that a current control host confirmed. */
  Starting = 'starting',
  /** A current control host confirmed it lately, or knows of a newer one only since a short time. */
  Current = 'current',
  /** A newer routing has been known for too long: the applied one must not be used. */
  Behind = 'behind',
  /** Nothing was heard of a current control host for too long; news may arrive at any moment. */
  Unconfirmed = 'unconfirmed',
  /**
   * News was awaited in vain: the applied routing is the best that this host can have, and it serves
   * on. Not the flag of entry hosts that reach no backend server, which `Behind` sets too.
   */
  CutOff = 'cut-off',
}

/** What a gateway last learned of current control hosts. */
export interface RoutingNews {
  /** Time since the heartbeat that was last answered; infinite if none counts, as after a pause. */
  readonly ageMs: number;
  /** Control host that answered it; empty before the first answer. */
  readonly control: string;
  /** Control hosts with an open link. */
  readonly links: number;
  /** Control hosts that answered their latest heartbeat as current. */
  readonly currentLinks: number;
}

/** Options of a {@link RoutingFreshness}. */
export interface RoutingFreshnessOptions {
  readonly startedAtMs: number;
}

/**
 * Longest use of a routing after a newer one was reported: the 2 s by which a confirmed change must
 * be in force, less the intervals of heartbeats (200 ms) and answers (400 ms) before the report. It
 * holds also for a change that was confirmed at its commit, without a wait for this gateway.
 */
export const BEHIND_MAX_MS = 1_400;

/**
 * Longest use of a routing after it was last known to be the newest: a newer one may have been confirmed
 * right after that, and must be in force 2 s later.
 */
const SUPERSEDED_MAX_MS = 2_000;

/**
 * Age of the last news from which the routing is unconfirmed. A confirmation does not wait for a
 * gateway without a heartbeat for 1 s, and must be in force 2 s later: 1 s is left for calls.
 */
export const UNCONFIRMED_AFTER_MS = 2_000;

/**
 * Gap between heartbeats that shows that the process did not run. After it no confirmation waits for
 * this gateway any more, so that what it knew before may have ended.
 */
export const PAUSED_AFTER_MS = 1_000;

/**
 * Time after which answers have ceased: two intervals of answers (400 ms), and one of heartbeats. A
 * host that still receives some is in contact, however late they are.
 */
const ANSWERED_WITHIN_MS = 1_000;

/**
 * Time for which news is awaited after a pause: the links are lost by then, and a new one takes some
 * hundred milliseconds to open.
 */
export const RELINK_MS = 1_000;

/** Unanswered heartbeats that are kept: those of the time in which their answer still counts. */
const PENDING_PINGS_MAX = 64;

/**
 * Tracks whether the applied routing may be used: whether current control hosts know a newer one, and
 * how long ago that was last known. An answer to a heartbeat counts from the time at which the
 * heartbeat was sent. Control hosts of earlier versions report nothing; a gateway that is linked only
 * to such ones counts as current.
 *
 * @example
 * freshness.notePing(1, 1_000);
 * freshness.notePong('control-1', pong, 1_010);
 * freshness.stateAt(1_020); // FreshnessState.Current
 */
export class RoutingFreshness {
  readonly lag = new RoutingLag();

  private readonly pings = new Map<number, number>();

  /** Linked control hosts, with whether they report their routing; undefined before an answer. */
  private readonly reporters = new Map<string, boolean | undefined>();

  /** Linked control hosts whose latest answer said that they are current. */
  private readonly currentControls = new Set<string>();

  /** Control host whose answer {@link newsAtMs} is from. */
  private newsFrom = '';

  /** False beside control hosts of earlier versions only; undefined before the first answer. */
  private isReported: boolean | undefined;

  /** Index that the first current control host reported; a host that starts must apply it. */
  private firstIndex: number | undefined;

  /** True once a routing could be used. */
  private hasStarted = false;

  /** Time for which the last news of a current control host holds. */
  private newsAtMs: number;

  private readonly startedAtMs: number;

  /** Heartbeats sent earlier say nothing about the time after a pause. */
  private countsFromMs: number;

  private runningAtMs: number;

  private unconfirmedSinceMs: number | undefined;

  /** How long news is awaited before the host counts as cut off. */
  private awaitMs = HOLD_MAX_MS;

  /** Time at which the last answer of a current control host arrived, however late. */
  private answeredAtMs = Number.NEGATIVE_INFINITY;

  constructor({ startedAtMs }: RoutingFreshnessOptions) {
    this.startedAtMs = startedAtMs;
    this.newsAtMs = startedAtMs;
    this.countsFromMs = startedAtMs;
    this.runningAtMs = startedAtMs;
  }

  /** Records a heartbeat to all control hosts. */
  notePing(pingId: number, nowMs: number): void {
    this.detectPause(nowMs);
    this.runningAtMs = nowMs;
    this.pings.set(pingId, nowMs);
    const [oldest] = this.pings.keys();
    if (this.pings.size > PENDING_PINGS_MAX && oldest !== undefined) this.pings.delete(oldest);
  }

  /** Records that a link to a control host is open. */
  noteLinked(control: string): void {
    this.reporters.set(control, undefined);
  }

  /** Records the answer of a control host to a heartbeat. */
  notePong(control: string, pong: PongMessage, nowMs: number): void {
    this.detectPause(nowMs);
    const { pingId, routingIndex, isCurrent } = pong;
    this.reporters.set(control, routingIndex !== undefined);
    if (isCurrent === true) this.currentControls.add(control);
    else this.currentControls.delete(control);
    this.isReported = [...this.reporters.values()].includes(true);
    if (routingIndex === undefined || isCurrent !== true) return;
    this.answeredAtMs = nowMs;
    this.firstIndex ??= routingIndex;
    // A host that had no news for longer is cut off: it serves until it has the newer routing.
    const hasNews = nowMs - this.newsAtMs <= UNCONFIRMED_AFTER_MS;
    this.lag.noteReported(routingIndex, nowMs, hasNews ? this.newsAtMs : nowMs);
    const sentAtMs = this.pings.get(pingId);
    if (sentAtMs === undefined || sentAtMs < this.countsFromMs) return;
    if (sentAtMs <= this.newsAtMs) return;
    this.newsAtMs = sentAtMs;
    this.newsFrom = control;
  }

  /** Records that a routing was applied. */
  noteApplied(index: number): void {
    this.lag.noteApplied(index);
  }

  /** Records that a routing arrived that this host can not use. */
  noteRefused(index: number): void {
    this.lag.noteRefused(index);
  }

  /** Records that the link to a control host was lost. */
  noteLost(control: string): void {
    this.reporters.delete(control);
    this.currentControls.delete(control);
  }

  /** What was last learned of current control hosts, for logs and metrics. */
  newsAt(nowMs: number): RoutingNews {
    return {
      ageMs: nowMs - this.newsAtMs,
      control: this.newsFrom,
      links: this.reporters.size,
      currentLinks: this.currentControls.size,
    };
  }

  /** State at a time, which must not decrease from call to call. */
  stateAt(nowMs: number): FreshnessState {
    this.detectPause(nowMs);
    const state = this.nextState(nowMs);
    const isUsable = state === FreshnessState.Current || state === FreshnessState.CutOff;
    if (isUsable && this.lag.appliedIndex > 0) this.hasStarted = true;
    return state;
  }

  private nextState(nowMs: number): FreshnessState {
    if (this.isReported === false) return FreshnessState.Current;
    if (this.firstIndex === undefined) {
      const isStarting = this.reporters.size > 0 && nowMs - this.startedAtMs < STARTUP_MS;
      return isStarting ? FreshnessState.Starting : FreshnessState.CutOff;
    }
    const superseded = this.supersededState(nowMs);
    if (nowMs - this.newsAtMs <= UNCONFIRMED_AFTER_MS) {
      this.unconfirmedSinceMs = undefined;
      this.awaitMs = HOLD_MAX_MS;
      return superseded ?? FreshnessState.Current;
    }
    this.unconfirmedSinceMs ??= nowMs;
    // A link that stays open receives something, and its answers may be late behind it.
    const hasCurrentLink = this.currentControls.size > 0;
    const isInContact = hasCurrentLink || nowMs - this.answeredAtMs <= ANSWERED_WITHIN_MS;
    if (superseded && isInContact) return superseded;
    if (nowMs - this.unconfirmedSinceMs >= this.awaitMs) return FreshnessState.CutOff;
    return superseded ?? FreshnessState.Unconfirmed;
  }

  /** State of a host that must not use its routing while it is in contact; undefined if it may. */
  private supersededState(nowMs: number): FreshnessState | undefined {
    const { lag, firstIndex = 0, hasStarted } = this;
    const isOverdue = lag.supersededMs(nowMs) >= SUPERSEDED_MAX_MS;
    if (isOverdue || lag.behindMs(nowMs) >= BEHIND_MAX_MS) return FreshnessState.Behind;
    return !hasStarted && lag.appliedIndex < firstIndex ? FreshnessState.Starting : undefined;
  }

  /** Time until an unconfirmed gateway counts as cut off. */
  unconfirmedLeftMs(nowMs: number): number {
    return Math.max(0, (this.unconfirmedSinceMs ?? nowMs) + this.awaitMs - nowMs);
  }

  /** After a time in which the process did not run, only what is learned from then on counts. */
  private detectPause(nowMs: number): void {
    if (nowMs - this.runningAtMs <= PAUSED_AFTER_MS) return;
    this.runningAtMs = nowMs;
    this.countsFromMs = nowMs;
    this.newsAtMs = Number.NEGATIVE_INFINITY;
    this.unconfirmedSinceMs = nowMs;
    this.awaitMs = RELINK_MS;
  }
}
