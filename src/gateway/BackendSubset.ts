import { rendezvousWeight } from '../common/Rendezvous.js';
import type { BackendView } from './BackendView.js';
import { WindowCount } from './WindowCount.js';

/** Options of a {@link BackendSubset}. */
export interface BackendSubsetOptions {
  /** Id of the own entry host. */
  readonly selfId: string;
}

/** Window in which the calls of a service are counted. */
const RATE_WINDOW_MS = 10_000;

/**
 * Backend servers in the subset for each call in the window: two are probed for each call, and each
 * is then used about once in four seconds, half the time for which idle connections are kept.
 */
const SERVERS_PER_CALL = 0.8;

/** Smallest subset: enough to find one that is free and at its usual speed, with some gone. */
const SIZE_MIN = 6;

/**
 * Prefers, for each service, a stable subset of the backend servers. An entry host among hundreds has
 * few calls for each of hundreds of backend servers: spread over all of them, a connection is closed
 * as idle before it is used again. The subset is chosen by rendezvous hashing, which spreads the
 * entry hosts over the backend servers whatever their numbers are, and keeps each choice while hosts
 * come and go. The others are used when those of the subset are busy, slow or gone.
 *
 * Weights are those by which entry hosts rank as senders of cold and limited backend servers, so
 * that these are in the subsets of their senders.
 */
export class BackendSubset {
  private readonly calls = new Map<string, WindowCount>();

  /** Weights of this host, by id of the backend server. */
  private readonly weights = new Map<string, number>();

  constructor(private readonly options: BackendSubsetOptions) {}

  /** Counts a call. */
  noteCall(service: string, nowMs: number): void {
    const count = this.calls.get(service) ?? new WindowCount();
    count.add(nowMs);
    this.calls.set(service, count);
  }

  /** Number of backend servers that are preferred for a service. */
  size(service: string, nowMs: number): number {
    const calls = this.calls.get(service)?.count(nowMs, RATE_WINDOW_MS) ?? 0;
    return Math.max(SIZE_MIN, Math.ceil(calls * SERVERS_PER_CALL));
  }

  /** Returns the preferred ones among the usable backend servers of a service. */
  choose(service: string, views: readonly BackendView[], nowMs: number): Set<BackendView> {
    const size = this.size(service, nowMs);
    if (views.length <= size) return new Set(views);
    const ranked = views
      .map((view) => ({ view, weight: this.weightOf(view.record.id) }))
      .sort((a, b) => b.weight - a.weight || (a.view.record.id < b.view.record.id ? -1 : 1));
    return new Set(ranked.slice(0, size).map(({ view }) => view));
  }

  /** Forgets a backend server that is gone. */
  forget(id: string): void {
    this.weights.delete(id);
  }

  private weightOf(id: string): number {
    const known = this.weights.get(id);
    if (known !== undefined) return known;
    const weight = rendezvousWeight(id, this.options.selfId);
    this.weights.set(id, weight);
    return weight;
  }
}
