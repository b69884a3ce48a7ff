import { PacedBucket, type Pace } from '../common/PacedBucket.js';
import type { EntryHost } from '../common/Placement.js';
import type { BackendView } from './BackendView.js';
import type { DecisionLog } from './DispatchTypes.js';
import { NamedLimits, type Incarnation, type NamedLimit } from './NamedLimits.js';
import { rankSenders } from './SenderRanking.js';
import { LimitReadingType, type LimitReading } from './Types.js';

/** Report of the limit that a backend server named or ended, sent to the other entry hosts. */
export interface LimitReport {
  readonly backendId: string;
  readonly bornMs: number;
  /** Requests per second that it accepts from all entry hosts together; null once it has ended. */
  readonly perSecond: number | null;
}

/** Options of a {@link RequestLimiter}. */
export interface RequestLimiterOptions {
  /** Id of the own entry host. */
  readonly selfId: string;
  /** Sends a report to the other entry hosts. */
  readonly broadcast: (report: LimitReport) => void;
  /** True if the incarnation is known; limits of others are dropped. */
  readonly isKnown: (incarnation: Incarnation) => boolean;
  readonly log: DecisionLog;
}

/** Own part in the rate of a backend server, with the values that it follows from. */
interface OwnPart {
  readonly rate: number;
  readonly entryHosts: readonly EntryHost[];
  /** Own pace; undefined if this host is not a sender. */
  readonly pace: Pace | undefined;
  /** Position of this host among all; below zero if it is not listed. */
  readonly position: number;
}

/** Own share of the rate of one backend server. */
interface Share {
  readonly bornMs: number;
  readonly createdAtMs: number;
  /** List of entry hosts when the share was created. */
  readonly createdWith: readonly EntryHost[];
  part: OwnPart | undefined;
  bucket: PacedBucket | undefined;
  /** Number of the period in which this host has sent its last trial. */
  lastTrialPeriod: number;
  /** Time of the last report that was sent or received. */
  reportedAtMs: number;
}

/** Smallest number of entry hosts that share a rate: one of them may have no calls. */
const SENDERS_MIN = 3;

/** Part of a second for which a sender's share may accumulate while it has no calls. */
const BURST_SECONDS = 0.5;

/** Lowest rate in use: a backend server that gets no request can't show the end of its limit. */
const RATE_MIN_PER_SECOND = 0.1;

/** Interval at which a limit that persists is reported again. */
const REPORT_INTERVAL_MS = 2_000;

/** Time without an answer or report after which hosts other than the senders send trials. */
const UNCONFIRMED_AFTER_MS = 10_000;

/** The same in intervals between the requests of one sender. */
const UNCONFIRMED_AFTER_REQUESTS = 4;

/** Number of shares above which those without a limit are dropped. */
const SHARES_KEPT_MAX = 128;

/** Share of the rate for the trials of all hosts together. */
const TRIAL_SHARE = 0.25;

const MS_PER_SECOND = 1_000;

/**
 * Keeps the requests of all entry hosts together within the limit that a backend server names.
 * A few entry hosts, chosen by rendezvous hashing, share the rate, and the others send nothing.
 * Each host reports limits to the others. Once nothing has confirmed a limit for a while, all hosts
 * send trials, each in periods of its own.
 */
export class RequestLimiter {
  private readonly limits: NamedLimits;

  private readonly shares = new Map<string, Share>();

  private entryHosts: readonly EntryHost[] = [];

  constructor(private readonly options: RequestLimiterOptions) {
    this.limits = new NamedLimits(options);
  }

  /** Number of backend servers whose state is kept. */
  get size(): number {
    return this.shares.size;
  }

  /** Sets the live entry hosts; those that stop or reach no backend server send nothing. */
  setEntryHosts(entryHosts: readonly EntryHost[]): void {
    this.entryHosts = entryHosts.filter((host) => !host.stopping && host.cutOff !== true);
  }

  /** True if the backend server names a limit. */
  isLimited(view: BackendView): boolean {
    return this.limits.get(view.record) !== undefined;
  }

  /** True if one more request may be sent now. */
  maySend(view: BackendView, nowMs: number): boolean {
    const limit = this.limits.get(view.record);
    if (!limit) return true;
    const share = this.shareOf(view.record, nowMs);
    const part = this.partOf(view, limit, share);
    if (!part.pace) share.bucket = undefined;
    else {
      share.bucket ??= this.createBucket(share, nowMs);
      if (share.bucket.hasToken(part.pace, nowMs)) return true;
    }
    return RequestLimiter.mayTry(limit, part, share, nowMs);
  }

  /** Counts a request, of any kind, that is sent now. */
  noteSent(view: BackendView, nowMs: number): void {
    const limit = this.limits.get(view.record);
    const share = limit && this.shares.get(view.record.id);
    if (!share) return;
    const part = this.partOf(view, limit, share);
    share.lastTrialPeriod = RequestLimiter.trialPeriod(part.rate, nowMs);
    if (part.pace) share.bucket?.take(part.pace, nowMs);
  }

  /** Applies the limit in an answer and reports a change. */
  noteReading(view: BackendView, reading: LimitReading, sentAtMs: number, nowMs: number): void {
    const { id, service } = view.record;
    switch (reading.type) {
      case LimitReadingType.Named:
        this.noteNamed(view.record, reading.perSecond, nowMs);
        break;
      case LimitReadingType.None: {
        const limit = this.limits.get(view.record);
        // The answer to an earlier request may have been sent before the limit was named.
        if (!limit || sentAtMs < limit.confirmedAtMs) break;
        this.end(view.record);
        this.report(view.record, null, nowMs);
        break;
      }
      case LimitReadingType.Unreadable:
        this.options.log('limit_unreadable', { backend: id, service, value: reading.text });
        break;
      default:
    }
  }

  /** Applies the report of another entry host. */
  noteReport({ backendId, bornMs, perSecond }: LimitReport, nowMs: number): void {
    const incarnation = { id: backendId, bornMs };
    if (perSecond === null) this.end(incarnation);
    // The types of a message's fields are only partly checked on receipt.
    if (perSecond === null || !(perSecond >= 0)) return;
    this.set(incarnation, perSecond, nowMs);
    this.shareOf(incarnation, nowMs).reportedAtMs = nowMs;
  }

  private noteNamed(incarnation: Incarnation, perSecond: number, nowMs: number): void {
    const changed = this.set(incarnation, perSecond, nowMs);
    const { reportedAtMs } = this.shareOf(incarnation, nowMs);
    if (changed || nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
      this.report(incarnation, perSecond, nowMs);
    }
  }

  /** Sets a limit; returns true if it changed. */
  private set(incarnation: Incarnation, perSecond: number, nowMs: number): boolean {
    const before = this.limits.get(incarnation)?.perSecond;
    this.limits.set(incarnation, perSecond, nowMs);
    this.shareOf(incarnation, nowMs);
    if (before === perSecond) return false;
    this.options.log('backend_limit', { backend: incarnation.id, before, perSecond });
    return true;
  }

  private end(incarnation: Incarnation): void {
    const before = this.limits.get(incarnation)?.perSecond;
    if (!this.limits.end(incarnation)) return;
    this.shares.delete(incarnation.id);
    this.options.log('backend_limit', { backend: incarnation.id, before, perSecond: 'none' });
  }

  private report({ id, bornMs }: Incarnation, perSecond: number | null, nowMs: number): void {
    const share = this.shares.get(id);
    if (share) share.reportedAtMs = nowMs;
    this.options.broadcast({ backendId: id, bornMs, perSecond });
  }

  /** State of the own share; replaced for a new incarnation. */
  private shareOf({ id, bornMs }: Incarnation, nowMs: number): Share {
    const existing = this.shares.get(id);
    if (existing?.bornMs === bornMs) return existing;
    this.dropUnusedShares();
    const created = {
      bornMs,
      createdAtMs: nowMs,
      createdWith: this.entryHosts,
      part: undefined,
      bucket: undefined,
      lastTrialPeriod: -1,
      reportedAtMs: nowMs - REPORT_INTERVAL_MS,
    };
    this.shares.set(id, created);
    return created;
  }

  private dropUnusedShares(): void {
    if (this.shares.size < SHARES_KEPT_MAX) return;
    this.shares.forEach(({ bornMs }, id) => {
      if (!this.limits.get({ id, bornMs })) this.shares.delete(id);
    });
  }

  /** Own part in the rate. */
  private partOf(view: BackendView, limit: NamedLimit, share: Share): OwnPart {
    const { entryHosts } = this;
    const { selfId } = this.options;
    const rate = Math.max(limit.perSecond, RATE_MIN_PER_SECOND);
    const { part } = share;
    if (part?.rate === rate && part.entryHosts === entryHosts) return part;
    const position = rankSenders(view, entryHosts).indexOf(selfId);
    const senders = Math.min(entryHosts.length, RequestLimiter.sendersMax(rate));
    const own = rate / senders;
    const isSender = position >= 0 && position < senders;
    const pace = { perSecond: own, burst: Math.max(1, own * BURST_SECONDS) };
    share.part = { rate, entryHosts, pace: isSender ? pace : undefined, position };
    return share.part;
  }

  /** Creates the bucket of a sender, empty at the time since which this host surely is one. */
  private createBucket({ createdAtMs, createdWith }: Share, nowMs: number): PacedBucket {
    return new PacedBucket(createdWith === this.entryHosts ? createdAtMs : nowMs);
  }

  private static sendersMax(rate: number): number {
    return Math.max(SENDERS_MIN, Math.floor(rate));
  }

  /** Number of the current period; the trials of all hosts take one period each. */
  private static trialPeriod(rate: number, nowMs: number): number {
    return Math.floor((nowMs * rate * TRIAL_SHARE) / MS_PER_SECOND);
  }

  /** True in an own trial period, once nothing has confirmed the limit for a while. */
  private static mayTry(limit: NamedLimit, part: OwnPart, share: Share, nowMs: number): boolean {
    const { rate, entryHosts, position } = part;
    const senderIntervalMs = (RequestLimiter.sendersMax(rate) / rate) * MS_PER_SECOND;
    const unconfirmedAfterMs = Math.max(
      UNCONFIRMED_AFTER_MS,
      UNCONFIRMED_AFTER_REQUESTS * senderIntervalMs,
    );
    if (nowMs - limit.confirmedAtMs < unconfirmedAfterMs) return false;
    const period = RequestLimiter.trialPeriod(rate, nowMs);
    return period % entryHosts.length === position && period !== share.lastTrialPeriod;
  }
}
