import { BackendLifecycleState } from '../../common/Enums.js';
import { PacedBucket, type Pace } from '../../common/PacedBucket.js';
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

/** Assumed maximum delivery time of an announcement: its sender was alive this long ago. */
export const MAX_ANNOUNCEMENT_DELAY_MS = 100;

/** Concurrency limit of a server that is not yet verified. */
const UNVERIFIED_LIMIT = 1;

/** Weight of the newest answer in the latency estimate. */
const LATENCY_GAIN = 0.15;

/** Latencies are clipped at this many medians, so that one outlier can't distort the estimate. */
const LATENCY_CLIP_MEDIANS = 12;

/** Weight of the newest answer in the failure rate. */
const FAILURE_GAIN = 0.2;

/** First and longest backoff after refused connections. */
const CONNECT_BACKOFF_MS = 100;
const MAX_CONNECT_BACKOFF_MS = 2_000;

/** Part of a second for which requests below the announced limit may accumulate. */
const PACE_BURST_SECONDS = 0.5;

/** Lowest rate in use, so that an announced limit of zero does not exclude the server for good. */
const PACE_MIN_PER_SECOND = 0.1;

/** State of a backend server at its leaseholder. */
export class BackendRecord {
  readonly id: string;

  readonly service: string;

  readonly availabilityZone: string;

  readonly target: AttemptTarget;

  /** Constant for the lifetime of the record; a new incarnation gets a new record. */
  readonly incarnation: number;

  readonly limit: ConcurrencyLimit;

  slots: number;

  /** Highest sequence number received. */
  sequence = -1;

  state = BackendLifecycleState.Starting;

  /** Time at which the lease expires on this host's clock. */
  leaseUntilMs = Number.NEGATIVE_INFINITY;

  /** Time before which an earlier lease of another host may still be valid. */
  usableFromMs = Number.POSITIVE_INFINITY;

  /** Time before which no new connection is tried after a refused one. */
  backoffUntilMs = 0;

  /** True once the lease was released; requests in flight continue. */
  released = false;

  /** True once the server was redirected; the lease is used until it is requested or expires. */
  redirected = false;

  /** Requests of this host that are in flight there. */
  inFlight = 0;

  /** Requests of the previous leaseholder that still run there. */
  foreignInFlight = 0;

  /** Time after which {@link foreignInFlight} is disregarded. */
  foreignUntilMs = 0;

  /** Requests in flight as last reported by the server; used by the policies without leases. */
  reportedInFlight = 0;

  /** Requests in flight whose fingerprint is under suspicion. */
  suspectedInFlight = 0;

  /** Moving average of the latency; 0 before the first answer. */
  latencyMs = 0;

  /** Moving average of the share of server errors among the answers. */
  failureRate = 0;

  /** Time of the last failure or shed answer. */
  failedAtMs = Number.NEGATIVE_INFINITY;

  /** Time of the first answer over the currently open connections; null before it. */
  connectedAtMs: number | null = null;

  /**
   * True once an announcement of this incarnation arrived after a connection was open. Until then
   * the server may be a successor whose announcement has not arrived yet, so it is treated as cold.
   */
  verified = false;

  /** Announcements per second since the server's start. */
  announcementsPerSecond = 0;

  /** Time of the last straggler probe. */
  probedAtMs = 0;

  /** Start times of the attempts in flight, by attempt id. */
  readonly startedAtMs = new Map<number, number>();

  private connectBackoffMs = CONNECT_BACKOFF_MS;

  /** Announced limit of requests; undefined without one. */
  private pace: Pace | undefined;

  private bucket: PacedBucket | undefined;

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
      this.state === BackendLifecycleState.Ready &&
      nowMs < this.leaseUntilMs &&
      nowMs >= this.usableFromMs
    );
  }

  /** Concurrency limit, or {@link UNVERIFIED_LIMIT} until the server is verified. */
  get effectiveLimit(): number {
    return this.verified ? this.limit.current : UNVERIFIED_LIMIT;
  }

  /** Slots that a new request could take now. */
  freeSlots(nowMs: number): number {
    if (!this.isLeased(nowMs) || nowMs < this.backoffUntilMs) return 0;
    const foreign = nowMs < this.foreignUntilMs ? this.foreignInFlight : 0;
    const free = Math.max(0, this.effectiveLimit - this.inFlight - foreign);
    if (!this.pace || !this.bucket) return free;
    return Math.min(free, this.bucket.available(this.pace, nowMs));
  }

  /** Requests per second that the backend server accepts; infinite without a limit. */
  get requestsPerSecond(): number {
    return this.pace?.perSecond ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Applies the announced limit of requests. A new leaseholder starts without any, so that the sum
   * over two of them stays within the limit.
   */
  setRequestsPerSecond(announced: number | null, nowMs: number): void {
    if (announced === null) {
      this.pace = undefined;
      this.bucket = undefined;
      return;
    }
    const perSecond = Math.max(PACE_MIN_PER_SECOND, announced);
    this.pace = { perSecond, burst: Math.max(1, perSecond * PACE_BURST_SECONDS) };
    this.bucket ??= new PacedBucket(nowMs);
  }

  /**
   * Expected latency: the estimate, or `ageMs` if at least two requests, and at least half of
   * those in flight, are older. A single old request is normal tail latency.
   */
  expectedLatencyMs(ageMs: number, nowMs: number): number {
    if (this.inFlight < 2 || ageMs <= this.latencyMs) return this.latencyMs;
    const old = this.countOlderThan(ageMs, nowMs);
    return old >= 2 && old * 2 >= this.inFlight ? ageMs : this.latencyMs;
  }

  onStart(attemptId: number, nowMs: number): void {
    this.inFlight += 1;
    this.startedAtMs.set(attemptId, nowMs);
    if (this.pace) this.bucket?.take(this.pace, nowMs);
  }

  /** Frees the slot and returns the duration of the attempt. */
  onEnd(attemptId: number, nowMs: number): number {
    const startedAtMs = this.startedAtMs.get(attemptId) ?? nowMs;
    this.startedAtMs.delete(attemptId);
    this.inFlight -= 1;
    return nowMs - startedAtMs;
  }

  /** Updates {@link verified} on an announcement of this incarnation. */
  onAnnounced(nowMs: number): void {
    const aliveAtMs = nowMs - MAX_ANNOUNCEMENT_DELAY_MS;
    if (this.connectedAtMs !== null && this.connectedAtMs <= aliveAtMs) this.verified = true;
  }

  /** Resets the verification: the last connection closed, perhaps because the process ended. */
  onDisconnected(): void {
    this.connectedAtMs = null;
    this.verified = false;
  }

  /** Adds an answer to the latency estimate. */
  recordLatency(latencyMs: number, medianMs: number, nowMs: number): void {
    this.connectedAtMs ??= nowMs;
    const clipped = medianMs > 0 ? Math.min(latencyMs, medianMs * LATENCY_CLIP_MEDIANS) : latencyMs;
    this.latencyMs =
      this.latencyMs === 0 ? clipped : this.latencyMs + LATENCY_GAIN * (clipped - this.latencyMs);
    this.connectBackoffMs = CONNECT_BACKOFF_MS;
  }

  /** Adds an answer to the failure rate. */
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

  /** Delays new connections after a refused or broken one, with exponential backoff. */
  backOff(nowMs: number): void {
    this.backoffUntilMs = nowMs + this.connectBackoffMs;
    this.connectBackoffMs = Math.min(MAX_CONNECT_BACKOFF_MS, this.connectBackoffMs * 2);
  }
}
