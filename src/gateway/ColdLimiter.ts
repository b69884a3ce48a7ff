import type { EntryHost } from '../common/Placement.js';
import { rankByRendezvous } from '../common/Rendezvous.js';
import type { BackendView } from './BackendView.js';

/** Options of a {@link ColdLimiter}. */
export interface ColdLimiterOptions {
  /** Id of the own entry host. */
  readonly selfId: string;
}

/** Entry hosts that may send to one cold backend server at a time. */
const OWNERS_MAX = 4;

const WINDOW_MS = 1_000;

/**
 * Keeps calls to cold backend servers within their rate over all entry hosts: a few entry hosts,
 * chosen by rendezvous hashing, share the rate; the others send nothing.
 */
export class ColdLimiter {
  private entryHosts: readonly EntryHost[] = [];

  /** Times of the calls within the last second, by backend server. */
  private readonly sentAtMs = new Map<string, number[]>();

  constructor(private readonly options: ColdLimiterOptions) {}

  /** Notes the live entry hosts. */
  setEntryHosts(entryHosts: readonly EntryHost[]): void {
    this.entryHosts = entryHosts.filter((host) => !host.stopping);
  }

  /** Calls per second that this host may send to the cold backend server. */
  allowance(view: BackendView, coldPerSecond: number): number {
    const owners = Math.max(1, Math.min(OWNERS_MAX, Math.floor(coldPerSecond)));
    if (!this.owners(view, owners).includes(this.options.selfId)) return 0;
    return Math.max(1, Math.floor(coldPerSecond / owners));
  }

  /** True where one more call fits now. */
  hasRoom(view: BackendView, coldPerSecond: number, nowMs: number): boolean {
    const sent = this.recent(view.record.id, nowMs);
    return sent.length < this.allowance(view, coldPerSecond);
  }

  /** Counts a call that is sent now; also for warm ones, which may turn out to be cold. */
  note(view: BackendView, nowMs: number): void {
    const sent = this.recent(view.record.id, nowMs);
    sent.push(nowMs);
    this.sentAtMs.set(view.record.id, sent);
  }

  private recent(id: string, nowMs: number): number[] {
    return (this.sentAtMs.get(id) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
  }

  /** Hosts of the backend server's own zone first, then the others. */
  private owners(view: BackendView, count: number): string[] {
    const ranked = rankByRendezvous(view.record.id, this.entryHosts);
    const zone = view.record.availabilityZone;
    const near = ranked.filter((host) => host.availabilityZone === zone);
    const far = ranked.filter((host) => host.availabilityZone !== zone);
    return [...near, ...far].slice(0, count).map((host) => host.id);
  }
}
