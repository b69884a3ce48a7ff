import { placeLeaseholders, type EntryHost } from '../common/Placement.js';
import type { CatalogEntry } from '../common/SettingsTree.js';

/** Time for which an unreachable peer is excluded. */
const EXCLUSION_MS = 2_000;

/** Live entry hosts, from the lists of the control hosts; soft state. */
export class EntryRoster {
  /** Last list of every control host, by its id. */
  private readonly lists = new Map<string, readonly EntryHost[]>();

  /** Unreachable peers, with the time until which they are excluded. */
  private readonly unreachable = new Map<string, number>();

  private hosts: readonly EntryHost[] = [];

  /** Last time at which the placement of leases may have changed. */
  private placedAtMs = Number.NEGATIVE_INFINITY;

  /** Cached placement per service; cleared when the roster or the settings change. */
  private readonly placements = new Map<string, EntryHost[]>();

  constructor(private self: EntryHost) {
    this.rebuild(Number.NEGATIVE_INFINITY);
  }

  get size(): number {
    return this.hosts.length;
  }

  /** True if the placement of leases may have changed within a time. */
  hasChangedWithin(spanMs: number, nowMs: number): boolean {
    return nowMs - this.placedAtMs <= spanMs;
  }

  all(): readonly EntryHost[] {
    return this.hosts;
  }

  find(id: string): EntryHost | undefined {
    return this.hosts.find((host) => host.id === id);
  }

  /** Applies the list of one control host. */
  setList(controlHostId: string, hosts: readonly EntryHost[], nowMs: number): void {
    this.lists.set(controlHostId, hosts);
    this.rebuild(nowMs);
  }

  /** Drops the list of a control host, unless it is the only one left. */
  dropList(controlHostId: string, nowMs: number): void {
    if (this.lists.size <= 1) return;
    this.lists.delete(controlHostId);
    this.rebuild(nowMs);
  }

  /** Excludes a peer for {@link EXCLUSION_MS}. */
  markUnreachable(id: string, nowMs: number): void {
    this.unreachable.set(id, nowMs + EXCLUSION_MS);
    this.rebuild(nowMs);
  }

  /** Readmits peers whose exclusion has expired. */
  tick(nowMs: number): void {
    let changed = false;
    this.unreachable.forEach((untilMs, id) => {
      if (untilMs > nowMs) return;
      this.unreachable.delete(id);
      changed = true;
    });
    if (changed) this.rebuild(nowMs);
  }

  setSelf(self: EntryHost, nowMs: number): void {
    this.self = self;
    this.rebuild(nowMs);
  }

  /** Clears the cached placements; required after every settings change. */
  invalidate(nowMs: number): void {
    this.placements.clear();
    this.placedAtMs = nowMs;
  }

  /** Entry hosts that hold the leases of a service's backend servers. */
  leaseholders(entry: CatalogEntry): readonly EntryHost[] {
    const cached = this.placements.get(entry.service);
    if (cached) return cached;
    const closed = entry.settings.availabilityZones.filter(
      (zone) => !entry.openZones.includes(zone),
    );
    const open = this.hosts.filter((host) => !closed.includes(host.availabilityZone));
    const placed = placeLeaseholders({
      service: entry.service,
      availabilityZones: entry.openZones,
      entryHosts: open.some((host) => !host.stopping) ? open : this.hosts,
      // Closed zones need no leaseholder; placing fewer keeps the other placements stable.
      leaseholders: entry.settings.leaseholders - closed.length,
    });
    this.placements.set(entry.service, placed);
    return placed;
  }

  private rebuild(nowMs: number): void {
    const merged = new Map<string, EntryHost>();
    this.lists.forEach((hosts) => {
      hosts.forEach((host) => {
        const other = merged.get(host.id);
        merged.set(host.id, other?.stopping ? other : host);
      });
    });
    [...this.unreachable.keys()].forEach((id) => merged.delete(id));
    merged.set(this.self.id, this.self);
    const before = this.hosts;
    this.hosts = [...merged.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
    this.placements.clear();
    const unchanged =
      before.length === this.hosts.length &&
      this.hosts.every(
        ({ id, stopping }, index) =>
          before[index]!.id === id && before[index]!.stopping === stopping,
      );
    if (!unchanged) this.placedAtMs = nowMs;
  }
}
