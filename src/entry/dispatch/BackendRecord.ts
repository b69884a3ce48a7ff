import { BackendState } from '../../common/Enums.js';
import { TargetKind, type AttemptTarget } from '../Types.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';

/** Options of a {@link BackendRecord}. */
export interface BackendRecordOptions {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly slots: number;
  readonly coldRampSuccesses: number;
  readonly connectionsMax: number;
}

/** An announcement proves that its sender lived this long ago. */
export const ALIVE_PROOF_DELAY_MS = 100;

/** Requests in flight at a server that isn't verified. */
const MIN_ALLOWED = 1;

/** Weight of the newest answer in the latency estimate. */
const LATENCY_GAIN = 0.15;

/** Answers slower than so many medians count as just so slow, so that one outlier can't mislead. */
const LATENCY_CLIP_MEDIANS = 12;

/** Weight of the newest answer in the failure rate. */
const FAILURE_GAIN = 0.2;

/** Backoff after a refused connection. */
const CONNECT_BACKOFF_MS = 100;
const MAX_CONNECT_BACKOFF_MS = 2_000;

/** Backend server as its leaseholder sees it. */
export class BackendRecord {
  readonly id: string;

  readonly service: string;

  readonly availabilityZone: string;

  readonly target: AttemptTarget;

  /** Constant while the record lives; a new incarnation gets a new record. */
  readonly incarnation: number;

  readonly limit: ConcurrencyLimit;

  slots: number;

  /** Highest sequence number seen. */
  sequence = -1;

  state = BackendState.Starting;

  /** Time at which the lease runs out on this host's clock. */
  leaseUntilMs = Number.NEGATIVE_INFINITY;

  /** Time before which an earlier lease of another host may still be valid. */
  usableFromMs = Number.POSITIVE_INFINITY;

  /** Time before which no new connection is tried after a refused one. */
  backoffUntilMs = 0;

  /** True once the lease was given up; requests in flight go on. */
  released = false;

  /** Requests of this host that run there. */
  inFlight = 0;

  /** Requests of the previous leaseholder that still run there. */
  foreignInFlight = 0;

  /** Time after which {@link foreignInFlight} is disregarded. */
  foreignUntilMs = 0;

  /** Requests in flight that the backend server reported last; for the baselines. */
  reportedInFlight = 0;

  /** Requests in flight whose fingerprint is under suspicion. */
  suspectsInFlight = 0;

  /** Moving estimate of the latency; 0 before the first answer. */
  latencyMs = 0;

  /** Moving share of server errors among the answers. */
  failureRate = 0;

  /** Time of the last failure or shed answer. */
  failedAtMs = Number.NEGATIVE_INFINITY;

  /** Time of the first answer over the connections that are open; null without one. */
  connectedAtMs: number | null = null;

  /**
   * True once an announcement of this incarnation arrived after a connection was open. Until then
   * the server may be a successor whose announcement is still under way, and counts as cold.
   */
  verified = false;

  /** Announcements per second since the server's start. */
  announcementsPerSecond = 0;

  /** Time of the last slow-server probe. */
  probedAtMs = 0;

  /** Start times of the attempts in flight, by attempt id. */
  readonly startedAtMs = new Map<number, number>();

  private connectBackoffMs = CONNECT_BACKOFF_MS;

  constructor(options: BackendRecordOptions) {
    this.id = options.id;
    this.service = options.service;
    this.availabilityZone = options.availabilityZone;
    this.incarnation = options.incarnation;
    this.slots = options.slots;
    this.target = {
      kind: TargetKind.Backend,
      id: options.id,
      address: options.address,
      port: options.port,
      connectionsMax: options.connectionsMax,
    };
    this.limit = new ConcurrencyLimit(options);
  }

  /** True while this host may dispatch to the backend server. */
  isLeased(nowMs: number): boolean {
    return (
      !this.released &&
      this.state === BackendState.Ready &&
      nowMs < this.leaseUntilMs &&
      nowMs >= this.usableFromMs
    );
  }

  /** Requests that may be in flight now. */
  get allowed(): number {
    return this.verified ? this.limit.current : MIN_ALLOWED;
  }

  /** Slots that a new request could take now. */
  freeSlots(nowMs: number): number {
    if (!this.isLeased(nowMs) || nowMs < this.backoffUntilMs) return 0;
    const foreign = nowMs < this.foreignUntilMs ? this.foreignInFlight : 0;
    return Math.max(0, this.allowed - this.inFlight - foreign);
  }

  /**
   * Expected latency: the estimate, or the given age if at least two requests, and half of those
   * in flight, are older. One old request is the ordinary tail.
   */
  expectedLatencyMs(ageMs: number, nowMs: number): number {
    if (this.inFlight < 2 || ageMs <= this.latencyMs) return this.latencyMs;
    const old = this.countOlderThan(ageMs, nowMs);
    return old >= 2 && old * 2 >= this.inFlight ? ageMs : this.latencyMs;
  }

  onStart(attemptId: number, nowMs: number): void {
    this.inFlight += 1;
    this.startedAtMs.set(attemptId, nowMs);
  }

  /** Frees the slot and returns how long the attempt took. */
  onEnd(attemptId: number, nowMs: number): number {
    const startedAtMs = this.startedAtMs.get(attemptId) ?? nowMs;
    this.startedAtMs.delete(attemptId);
    this.inFlight -= 1;
    return nowMs - startedAtMs;
  }

  /** Notes an announcement of this incarnation. */
  onAnnounced(nowMs: number): void {
    const provenAtMs = nowMs - ALIVE_PROOF_DELAY_MS;
    if (this.connectedAtMs !== null && this.connectedAtMs <= provenAtMs) this.verified = true;
  }

  /** Notes that the last open connection was closed, as the end of the process would do. */
  onDisconnected(): void {
    this.connectedAtMs = null;
    this.verified = false;
  }

  /** Takes an answer into the latency estimate. */
  recordLatency(latencyMs: number, medianMs: number, nowMs: number): void {
    this.connectedAtMs ??= nowMs;
    const clipped = medianMs > 0 ? Math.min(latencyMs, medianMs * LATENCY_CLIP_MEDIANS) : latencyMs;
    this.latencyMs =
      this.latencyMs === 0 ? clipped : this.latencyMs + LATENCY_GAIN * (clipped - this.latencyMs);
    this.connectBackoffMs = CONNECT_BACKOFF_MS;
  }

  /** Takes an answer into the failure rate. */
  recordFailure(failed: boolean, nowMs: number): void {
    this.failureRate += FAILURE_GAIN * ((failed ? 1 : 0) - this.failureRate);
    if (failed) this.failedAtMs = nowMs;
  }

  /** Number of requests in flight that are older than an age. */
  countOlderThan(ageMs: number, nowMs: number): number {
    let count = 0;
    for (const startedAtMs of this.startedAtMs.values()) {
      if (nowMs - startedAtMs > ageMs) count += 1;
    }
    return count;
  }

  /** Holds new connections back after a refused or broken one. */
  backOff(nowMs: number): void {
    this.backoffUntilMs = nowMs + this.connectBackoffMs;
    this.connectBackoffMs = Math.min(MAX_CONNECT_BACKOFF_MS, this.connectBackoffMs * 2);
  }
}
