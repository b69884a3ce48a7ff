import { pickIndex, type RandomSource } from '../common/Random.js';
import type { BackendView } from './BackendView.js';
import type { DecisionLog } from './DispatchTypes.js';

/** Result of opening a connection. */
export enum ConnectResult {
  Connected = 'connected',
  Refused = 'refused',
  TimedOut = 'timed-out',
}

/** Options of a {@link ReachMonitor}. */
export interface ReachMonitorOptions {
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
  /** All backend servers in use. */
  readonly targets: () => readonly BackendView[];
  /** Opens a connection to a backend server and closes it. */
  readonly tryConnect: (view: BackendView, timeoutMs: number) => Promise<ConnectResult>;
  /** Called when this host is cut off from the backend servers, and when it no longer is. */
  readonly onChange: () => void;
  readonly log: DecisionLog;
}

/** Backend servers that start a check if they fail; a service with fewer starts one if all do. */
const SUSPECTED_AFTER_SERVERS = 4;

/** Failures older than this don't count. */
const FAILURE_TTL_MS = 2_000;

/** Time after a check that reached a backend server until the next one. */
const CHECK_PAUSE_MS = 1_000;

/** Backend servers that one check tries to connect to; each service is represented. */
const CHECK_SAMPLE = 12;

/** The same while the host is cut off. */
const RECHECK_SAMPLE = 4;

/** Longest wait for a connection: many round trips within a region, and a busy event loop. */
const CONNECT_TIMEOUT_MS = 400;

/** Interval between the checks while the host is cut off. */
const RECHECK_INTERVAL_MS = 250;

/** Share of a sample that must be reached before the host no longer counts as cut off. */
const REGAINED_SHARE = 0.5;

/** Time for which checks must succeed; doubles with each relapse. */
const REGAINED_FIRST_MS = 500;
const REGAINED_MAX_MS = 4_000;

/** A cut that begins within this time after the last one ended is a relapse. */
const RELAPSE_WITHIN_MS = 30_000;

/**
 * Detects that this host has lost its links to the backend servers of all services, as opposed to
 * backend servers or a service that fail. Only new connections count: open ones may live on.
 */
export class ReachMonitor {
  /** True while no new connection to any backend server can be opened. */
  isCut = false;

  /** False if the last check reached no backend server at all. */
  isAnyReached = true;

  private readonly failedAtMs = new Map<string, number>();

  private isChecking = false;

  /** Time of the last check that reached a backend server. */
  private checkedAtMs = Number.NEGATIVE_INFINITY;

  private regainedAtMs = Number.NEGATIVE_INFINITY;

  private regainedAfterMs = REGAINED_FIRST_MS;

  private disposed = false;

  constructor(private readonly options: ReachMonitorOptions) {}

  /** True while this host is cut off, or is checking whether it is. */
  get isSuspected(): boolean {
    return this.isCut || this.isChecking;
  }

  dispose(): void {
    this.disposed = true;
  }

  /** Records a new connection to a backend server. */
  noteConnected(): void {
    this.failedAtMs.clear();
  }

  /** Records an answer of a backend server, also over an open connection. */
  noteAnswered(view: BackendView): void {
    this.failedAtMs.delete(view.record.id);
  }

  /** Records that a backend server could not be connected to, or did not answer a probe. */
  noteFailed(view: BackendView): void {
    const nowMs = this.options.nowMs();
    this.failedAtMs.set(view.record.id, nowMs);
    this.failedAtMs.forEach((atMs, id) => {
      if (nowMs - atMs > FAILURE_TTL_MS) this.failedAtMs.delete(id);
    });
    const isPaused = nowMs - this.checkedAtMs < CHECK_PAUSE_MS;
    if (this.isCut || this.isChecking || isPaused || this.disposed) return;
    if (this.failedAtMs.size >= SUSPECTED_AFTER_SERVERS || this.isServiceFailing(view))
      this.check();
  }

  /** True if all backend servers of the same service have failed lately. */
  private isServiceFailing({ record }: BackendView): boolean {
    return this.options
      .targets()
      .filter((target) => target.record.service === record.service)
      .every((target) => this.failedAtMs.has(target.record.id));
  }

  /** Checks once whether any backend server of any service can be connected to. */
  private check(): void {
    this.isChecking = true;
    this.connectToSample(CHECK_SAMPLE).then((results) => {
      this.isChecking = false;
      if (this.disposed || results.length === 0) return;
      const reached = ReachMonitor.countOf(results, ConnectResult.Connected);
      this.logCheck(results);
      if (reached === 0) {
        this.setCut();
        return;
      }
      this.checkedAtMs = this.options.nowMs();
      this.failedAtMs.clear();
    });
  }

  private setCut(): void {
    const { nowMs, log, onChange } = this.options;
    const isRelapse = nowMs() - this.regainedAtMs < RELAPSE_WITHIN_MS;
    this.regainedAfterMs = isRelapse
      ? Math.min(REGAINED_MAX_MS, 2 * this.regainedAfterMs)
      : REGAINED_FIRST_MS;
    this.isCut = true;
    this.isAnyReached = false;
    log('backends_lost', { regainedAfterMs: this.regainedAfterMs });
    onChange();
    this.scheduleRecheck(Number.POSITIVE_INFINITY);
  }

  /** Checks again after a while; `reachedSinceMs` is the start of the successful checks. */
  private scheduleRecheck(reachedSinceMs: number): void {
    const { nowMs, setTimer, log, onChange } = this.options;
    setTimer(RECHECK_INTERVAL_MS, () => {
      if (this.disposed) return;
      this.connectToSample(RECHECK_SAMPLE).then((results) => {
        if (this.disposed) return;
        const reached = ReachMonitor.countOf(results, ConnectResult.Connected);
        this.isAnyReached = reached > 0;
        const isRegained = reached > 0 && reached >= results.length * REGAINED_SHARE;
        const sinceMs = isRegained ? Math.min(reachedSinceMs, nowMs()) : Number.POSITIVE_INFINITY;
        if (nowMs() - sinceMs < this.regainedAfterMs) {
          this.scheduleRecheck(sinceMs);
          return;
        }
        this.isCut = false;
        this.failedAtMs.clear();
        this.regainedAtMs = nowMs();
        log('backends_regained', { checkedForMs: nowMs() - sinceMs });
        onChange();
      });
    });
  }

  private connectToSample(count: number): Promise<ConnectResult[]> {
    const views = this.sample(count);
    const { tryConnect } = this.options;
    return Promise.all(
      views.map((view) =>
        // An address that no connection can be opened to is like one that refuses it.
        tryConnect(view, CONNECT_TIMEOUT_MS).catch(() => ConnectResult.Refused),
      ),
    );
  }

  /** Draws backend servers at random, of all services in turn. */
  private sample(count: number): BackendView[] {
    const { random, targets } = this.options;
    const byService = new Map<string, BackendView[]>();
    targets().forEach((view) => {
      const members = byService.get(view.record.service) ?? [];
      members.push(view);
      byService.set(view.record.service, members);
    });
    const services = [...byService.values()];
    const sampled: BackendView[] = [];
    while (sampled.length < count && services.some((members) => members.length > 0)) {
      services.forEach((members) => {
        if (members.length === 0 || sampled.length >= count) return;
        sampled.push(...members.splice(pickIndex(random, members.length), 1));
      });
    }
    return sampled;
  }

  private logCheck(results: readonly ConnectResult[]): void {
    this.options.log('reach_checked', {
      failing: this.failedAtMs.size,
      connected: ReachMonitor.countOf(results, ConnectResult.Connected),
      refused: ReachMonitor.countOf(results, ConnectResult.Refused),
      timedOut: ReachMonitor.countOf(results, ConnectResult.TimedOut),
    });
  }

  private static countOf(results: readonly ConnectResult[], type: ConnectResult): number {
    return results.filter((result) => result === type).length;
  }
}
