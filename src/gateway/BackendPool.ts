import { isNewer } from '../common/backends/BackendRegistry.js';
import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import type { RandomSource } from '../common/Random.js';
import { BackendSubset } from './BackendSubset.js';
import { BackendView } from './BackendView.js';
import type { VersionFilter } from './rollouts/VersionChooser.js';

/** Options of a {@link BackendPool}. */
export interface BackendPoolOptions {
  /** Own availability zone. */
  readonly availabilityZone: string;
  readonly random: RandomSource;
  /** Id of the own entry host, by which it prefers some backend servers; omitted to prefer none. */
  readonly selfId?: string;
}

/** Criteria for the candidates of one call. */
export interface CandidateQuery {
  readonly service: string;
  readonly nowMs: number;
  /** Backend servers that the call was sent to before. */
  readonly tried: ReadonlySet<string>;
  /** Versions to choose from: the first one with an untried server; all if empty or omitted. */
  readonly versions?: readonly VersionFilter[];
}

/** How long a departure is kept, so that a late announcement does not undo it. */
const GONE_RETENTION_MS = 60_000;

/**
 * Provisional records, from before a restart, are dropped after this time unless announced again:
 * announcements come every 1.5 s, and a departure must take effect within 2 s of its confirmation.
 */
export const PROVISIONAL_TTL_MS = 1_800;

/** Weight of the recent failure share in the candidate order; higher ranks are tried later. */
const FAILURE_RANK_WEIGHT = 6;

/** Weight of the known delay: a server that is known as very slow ranks like one that always fails. */
const KNOWN_DELAY_RANK_WEIGHT = 2;

/** Weight of each of this host's calls in flight in the candidate order. */
const IN_FLIGHT_RANK_WEIGHT = 0.7;

/** Rank of backend servers outside the subset: after those in it that do not fail. */
const OUTSIDE_RANK = 2;

/** Backend servers that one entry host may dispatch to. */
export class BackendPool {
  private readonly views = new Map<string, BackendView>();

  private readonly byService = new Map<string, Set<BackendView>>();

  /** Newest incarnation at each address. */
  private readonly byAddress = new Map<string, BackendView>();

  private readonly goneAtMs = new Map<string, number>();

  private closedZones: ReadonlySet<string> = new Set();

  private readonly subset: BackendSubset | null;

  constructor(private readonly options: BackendPoolOptions) {
    const { selfId } = options;
    this.subset = selfId === undefined ? null : new BackendSubset({ selfId });
  }

  get size(): number {
    return this.views.size;
  }

  get(id: string): BackendView | undefined {
    return this.views.get(id);
  }

  setClosedZones(zones: readonly string[]): void {
    this.closedZones = new Set(zones);
  }

  /** Merges announcements, except those older than the stored record; returns the changed views. */
  apply(records: readonly BackendRecord[], nowMs: number): BackendView[] {
    const changed: BackendView[] = [];
    records.forEach((record) => {
      const existing = this.views.get(record.id);
      if (existing && !BackendPool.replaces(record, existing)) return;
      const view = existing ?? new BackendView(record);
      if (existing) this.removeFromIndexes(existing);
      view.update(record, nowMs);
      view.provisional = false;
      this.views.set(record.id, view);
      this.addToIndexes(view);
      if (record.state === BackendState.Gone) this.goneAtMs.set(record.id, nowMs);
      else this.goneAtMs.delete(record.id);
      changed.push(view);
    });
    this.purgeGone(nowMs);
    return changed;
  }

  /** Records of departing and departed backend servers. */
  departures(): BackendRecord[] {
    return [...this.views.values()]
      .filter((view) => !view.provisional && view.record.state !== BackendState.Ready)
      .map((view) => view.record);
  }

  /** Adds provisional records for backend servers without a record; returns their number. */
  applyProvisional(records: readonly BackendRecord[], nowMs: number): number {
    const unknown = records.filter(({ id }) => !this.views.has(id));
    unknown.forEach((record) => {
      const view = new BackendView(record);
      view.update(record, nowMs);
      view.provisional = true;
      this.views.set(record.id, view);
      this.addToIndexes(view);
    });
    return unknown.length;
  }

  /** Drops all records that are still provisional and returns their ids. */
  dropProvisional(): string[] {
    const ids = [...this.views.values()]
      .filter((view) => view.provisional)
      .map((view) => view.record.id);
    this.expire(ids);
    return ids;
  }

  /** Ids of all backend servers with a record that is not provisional. */
  announcedIds(): string[] {
    return [...this.views.values()]
      .filter((view) => !view.provisional)
      .map((view) => view.record.id);
  }

  /** Drops backend servers that no control host knows any more. */
  expire(ids: readonly string[]): void {
    ids.forEach((id) => {
      const view = this.views.get(id);
      if (!view || view.record.state === BackendState.Gone) return;
      this.remove(view);
    });
  }

  /** Number of backend servers of a service that may receive calls. */
  usableCount(service: string): number {
    const views = this.byService.get(service) ?? [];
    return [...views].filter((view) => this.isUsable(view)).length;
  }

  /** All backend servers that may receive calls. */
  usable(): BackendView[] {
    return [...this.views.values()].filter((view) => this.isUsable(view));
  }

  /** True if it is ready, no newer incarnation has its address, and its zone is open. */
  isUsable(view: BackendView): boolean {
    return view.isOpen && !this.closedZones.has(view.record.availabilityZone);
  }

  isLocal(view: BackendView): boolean {
    return view.record.availabilityZone === this.options.availabilityZone;
  }

  /** Returns the backend servers that may receive a call, in the order in which to probe them. */
  candidates(query: CandidateQuery): { local: BackendView[]; remote: BackendView[] } {
    const usable = BackendPool.ofVersions(
      [...(this.byService.get(query.service) ?? [])].filter(
        (view) =>
          this.isUsable(view) && !view.isQuiet(query.nowMs) && !query.tried.has(view.record.id),
      ),
      query.versions ?? [],
    );
    const withoutBackoff = usable.filter((view) => view.backoffUntilMs <= query.nowMs);
    const candidates = withoutBackoff.length > 0 ? withoutBackoff : usable;
    if (query.tried.size === 0) this.subset?.noteCall(query.service, query.nowMs);
    return {
      local: this.rank(
        candidates.filter((view) => this.isLocal(view)),
        query,
      ),
      remote: this.rank(
        candidates.filter((view) => !this.isLocal(view)),
        query,
      ),
    };
  }

  private static ofVersions(
    views: readonly BackendView[],
    filters: readonly VersionFilter[],
  ): readonly BackendView[] {
    if (filters.length === 0) return views;
    return filters
      .map((filter) => views.filter(({ record }) => filter(record.version)))
      .reduce((chosen, next) => (chosen.length > 0 ? chosen : next));
  }

  private static replaces(record: BackendRecord, existing: BackendView): boolean {
    if (existing.provisional) return !isNewer(existing.record, record);
    return isNewer(record, existing.record);
  }

  private rank(views: readonly BackendView[], { service, nowMs }: CandidateQuery): BackendView[] {
    const { random } = this.options;
    const preferred = this.subset?.choose(service, views, nowMs);
    return views
      .map((view) => ({
        view,
        rank:
          random.next() +
          view.failureShare(nowMs) * FAILURE_RANK_WEIGHT +
          view.inFlight * IN_FLIGHT_RANK_WEIGHT +
          view.knownDelay(nowMs) * KNOWN_DELAY_RANK_WEIGHT +
          (view.unhealthy ? 1 : 0) +
          (preferred?.has(view) === false ? OUTSIDE_RANK : 0),
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ view }) => view);
  }

  private addToIndexes(view: BackendView): void {
    const { record } = view;
    const members = this.byService.get(record.service) ?? new Set();
    members.add(view);
    this.byService.set(record.service, members);
    if (record.state === BackendState.Gone) return;
    const key = `${record.address}:${record.port}`;
    const current = this.byAddress.get(key);
    if (current && current !== view && current.record.bornMs > record.bornMs) {
      view.superseded = true;
      return;
    }
    if (current && current !== view) current.superseded = true;
    view.superseded = false;
    this.byAddress.set(key, view);
  }

  private removeFromIndexes(view: BackendView): void {
    const { record } = view;
    this.byService.get(record.service)?.delete(view);
    const key = `${record.address}:${record.port}`;
    if (this.byAddress.get(key) === view) this.byAddress.delete(key);
  }

  private purgeGone(nowMs: number): void {
    this.goneAtMs.forEach((atMs, id) => {
      if (nowMs - atMs < GONE_RETENTION_MS) return;
      this.goneAtMs.delete(id);
      const view = this.views.get(id);
      if (view) this.remove(view);
    });
  }

  private remove(view: BackendView): void {
    const { id } = view.record;
    this.removeFromIndexes(view);
    this.views.delete(id);
    this.subset?.forget(id);
  }
}
