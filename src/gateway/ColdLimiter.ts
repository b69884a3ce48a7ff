import type { EntryHost } from '../common/Placement.js';
import type { BackendView } from './BackendView.js';
import { rankSenders } from './SenderRanking.js';
import { WindowCount } from './WindowCount.js';

/** Options of a {@link ColdLimiter}. */
export interface ColdLimiterOptions {
  /** Id of the own entry host. */
  readonly selfId: string;
}

/** Maximum number of entry hosts that send to one cold backend server at a time. */
const SENDERS_MAX = 4;

const WINDOW_MS = 1_000;

/** Window in which at least one call is allowed: longer than a second for rates below one. */
function windowMsFor(perSecond: number): number {
  return perSecond > 0 ? Math.max(WINDOW_MS, WINDOW_MS / perSecond) : WINDOW_MS;
}

/**
 * Limits the rate of calls to each cold backend server across all entry hosts: a few entry hosts,
 * chosen by rendezvous hashing, share the rate; the others send nothing.
 */
export class ColdLimiter {
  private entryHosts: readonly EntryHost[] = [];

  /** Calls within the last window, by backend server. */
  private readonly sent = new Map<string, WindowCount>();

  constructor(private readonly options: ColdLimiterOptions) {}

  /** Sets the live entry hosts; those that stop or reach no backend server send nothing. */
  setEntryHosts(entryHosts: readonly EntryHost[]): void {
    this.entryHosts = entryHosts.filter((host) => !host.stopping && host.cutOff !== true);
  }

  /** Calls that this host may send to the cold backend server in one window. */
  allowance(view: BackendView, coldPerSecond: number): number {
    const senderCount = Math.max(1, Math.min(SENDERS_MAX, Math.floor(coldPerSecond)));
    const senders = rankSenders(view, this.entryHosts).slice(0, senderCount);
    if (!senders.includes(this.options.selfId)) return 0;
    return Math.max(1, Math.floor(coldPerSecond / senderCount));
  }

  /** True if one more call may be sent now: the backend server is warm, or its rate allows it. */
  maySend(view: BackendView, coldPerSecond: number, nowMs: number): boolean {
    return !view.isCold(nowMs) || this.isWithinRate(view, coldPerSecond, nowMs);
  }

  /** True if the rate allows one more call now. */
  isWithinRate(view: BackendView, coldPerSecond: number, nowMs: number): boolean {
    const windowMs = windowMsFor(coldPerSecond);
    const sent = this.sent.get(view.record.id)?.count(nowMs, windowMs) ?? 0;
    return sent < this.allowance(view, coldPerSecond);
  }

  /** Counts a call sent now, also to a warm backend server, which may turn out to be cold. */
  noteSent(view: BackendView, nowMs: number): void {
    const sent = this.sent.get(view.record.id) ?? new WindowCount();
    this.sent.set(view.record.id, sent);
    // The counts of warm backend servers are never read, so old entries are removed here.
    sent.count(nowMs, WINDOW_MS);
    sent.add(nowMs);
  }
}
