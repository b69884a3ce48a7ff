import { isNewer } from '../common/backends/BackendRegistry.js';
import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import type { RandomSource } from '../common/Random.js';
import { BackendView } from './BackendView.js';

/** Options of a {@link BackendPool}. */
export interface BackendPoolOptions {
  /** Own availability zone. */
  readonly availabilityZone: string;
  readonly random: RandomSource;
}

/** What rules backend servers out for one call. */
export interface CandidateQuery {
  readonly service: string;
  readonly nowMs: number;
  /** Backend servers that the call was sent to before. */
  readonly tried: ReadonlySet<string>;
}

/** A goodbye is remembered so long, so that a late announcement doesn't undo it. */
const GONE_KEPT_MS = 60_000;

/**
 * Backend servers from before a restart are dropped after this time unless they are heard: their
 * announcements come every 1.5 s, and a departure must bind within 2 s of its confirmation.
 */
export const PROVISIONAL_TTL_MS = 1_800;

/** How strongly failures in the recent past make a backend server a later choice. */
const FAILURE_RANK = 6;

/** How strongly own calls in flight make a backend server a later choice. */
const IN_FLIGHT_RANK = 0.7;

/** Backend servers that one entry host may dispatch to. */
export class BackendPool {
  private readonly views = new Map<string, BackendView>();

  private readonly byService = new Map<string, Set<BackendView>>();

  /** Newest incarnation at each address. */
  private readonly byAddress = new Map<string, BackendView>();

  private readonly goneAtMs = new Map<string, number>();

  private closedZones: ReadonlySet<string> = new Set();

  constructor(private readonly options: BackendPoolOptions) {}

  get size(): number {
    return this.views.size;
  }

  get(id: string): BackendView | undefined {
    return this.views.get(id);
  }

  closeZones(zones: readonly string[]): void {
    this.closedZones = new Set(zones);
  }

  /** Merges announcements; older ones than what is known change nothing. */
  apply(records: readonly BackendRecord[], nowMs: number): BackendView[] {
    const changed: BackendView[] = [];
    records.forEach((record) => {
      const known = this.views.get(record.id);
      if (known && !BackendPool.replaces(record, known)) return;
      const view = known ?? new BackendView(record);
      if (known) this.unlink(known);
      view.renew(record, nowMs);
      view.provisional = false;
      this.views.set(record.id, view);
      this.link(view);
      if (record.state === BackendState.Gone) this.goneAtMs.set(record.id, nowMs);
      else this.goneAtMs.delete(record.id);
      changed.push(view);
    });
    this.forgetGone(nowMs);
    return changed;
  }

  /** Takes in records from before a restart where nothing else is known; returns how many. */
  applyProvisional(records: readonly BackendRecord[], nowMs: number): number {
    const unknown = records.filter(({ id }) => !this.views.has(id));
    unknown.forEach((record) => {
      const view = new BackendView(record);
      view.renew(record, nowMs);
      view.provisional = true;
      this.views.set(record.id, view);
      this.link(view);
    });
    return unknown.length;
  }

  /** Drops what is still provisional and returns the ids. */
  dropProvisional(): string[] {
    const ids = [...this.views.values()]
      .filter((view) => view.provisional)
      .map((view) => view.record.id);
    this.expire(ids);
    return ids;
  }

  /** Drops backend servers that have been silent towards every control host. */
  expire(ids: readonly string[]): void {
    ids.forEach((id) => {
      const view = this.views.get(id);
      if (!view || view.record.state === BackendState.Gone) return;
      this.unlink(view);
      this.views.delete(id);
    });
  }

  /** True where the address is known to belong to this backend server alone. */
  isUsable(view: BackendView): boolean {
    return view.isOpen && !this.closedZones.has(view.record.availabilityZone);
  }

  isLocal(view: BackendView): boolean {
    return view.record.availabilityZone === this.options.availabilityZone;
  }

  /** Backend servers that may take a call, in the order in which to ask them. */
  candidates(query: CandidateQuery): { local: BackendView[]; remote: BackendView[] } {
    const usable = [...(this.byService.get(query.service) ?? [])].filter(
      (view) => this.isUsable(view) && !query.tried.has(view.record.id),
    );
    const calm = usable.filter((view) => view.avoidUntilMs <= query.nowMs);
    const ranked = this.rank(calm.length > 0 ? calm : usable);
    return {
      local: ranked.filter((view) => this.isLocal(view)),
      remote: ranked.filter((view) => !this.isLocal(view)),
    };
  }

  private static replaces(record: BackendRecord, known: BackendView): boolean {
    if (known.provisional) return !isNewer(known.record, record);
    return isNewer(record, known.record);
  }

  private rank(views: readonly BackendView[]): BackendView[] {
    const { random } = this.options;
    return views
      .map((view) => ({
        view,
        rank:
          random.next() +
          view.failureShare * FAILURE_RANK +
          view.inFlight * IN_FLIGHT_RANK +
          (view.unwell ? 1 : 0),
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ view }) => view);
  }

  private link(view: BackendView): void {
    const { record } = view;
    const members = this.byService.get(record.service) ?? new Set();
    members.add(view);
    this.byService.set(record.service, members);
    if (record.state === BackendState.Gone) return;
    const key = `${record.address}:${record.port}`;
    const holder = this.byAddress.get(key);
    if (holder && holder !== view && holder.record.bornMs > record.bornMs) {
      view.superseded = true;
      return;
    }
    if (holder && holder !== view) holder.superseded = true;
    view.superseded = false;
    this.byAddress.set(key, view);
  }

  private unlink(view: BackendView): void {
    const { record } = view;
    this.byService.get(record.service)?.delete(view);
    const key = `${record.address}:${record.port}`;
    if (this.byAddress.get(key) === view) this.byAddress.delete(key);
  }

  private forgetGone(nowMs: number): void {
    this.goneAtMs.forEach((atMs, id) => {
      if (nowMs - atMs < GONE_KEPT_MS) return;
      this.goneAtMs.delete(id);
      const view = this.views.get(id);
      if (!view) return;
      this.unlink(view);
      this.views.delete(id);
    });
  }
}
