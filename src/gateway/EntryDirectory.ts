import type { EntryHost } from '../common/Placement.js';
import { pickIndex, type RandomSource } from '../common/Random.js';

/** Options of {@link chooseEntryHosts}. */
export interface ChooseEntryHostsOptions {
  readonly entryHosts: readonly EntryHost[];
  /** Availability zone of the caller. */
  readonly availabilityZone: string;
  /** Availability zones whose backend servers receive no calls. */
  readonly closedZones?: readonly string[];
  readonly random: RandomSource;
  /** Maximum number of entry hosts returned. */
  readonly limit?: number;
}

/** Share of a zone's entry hosts that must reach backend servers for it to be used alone. */
const MIN_REACHING_SHARE = 0.5;

/** Number of entry hosts that a zone must have to be used without the other zones. */
const MIN_ZONE_HOSTS = 2;

/** Maximum number of addresses that callers read. */
const DEFAULT_LIMIT = 64;

/**
 * Returns the entry hosts that a caller should use: those of its own availability zone, which has
 * the nearest backend servers, or those of all open zones if too few are left there. Callers of a
 * closed zone get the entry hosts of open zones, whose backend servers serve them. Entry hosts that
 * reach no backend server are left out while enough others remain.
 *
 * @example
 * chooseEntryHosts({ entryHosts, availabilityZone: 'yoichi', random });
 */
export function chooseEntryHosts(options: ChooseEntryHostsOptions): EntryHost[] {
  const { entryHosts, availabilityZone, random, limit = DEFAULT_LIMIT } = options;
  const closed = new Set(options.closedZones);
  const running = entryHosts.filter((host) => !host.stopping);
  const reaching = running.filter((host) => host.cutOff !== true);
  const live = reaching.length >= MIN_ZONE_HOSTS ? reaching : running;
  const isInZone = (host: EntryHost) => host.availabilityZone === availabilityZone;
  const sameZone = live.filter(isInZone);
  const isZoneCut = sameZone.length < MIN_REACHING_SHARE * running.filter(isInZone).length;
  const inOpenZones = live.filter((host) => !closed.has(host.availabilityZone));
  const fallback = inOpenZones.length >= MIN_ZONE_HOSTS ? inOpenZones : live;
  const useZone = sameZone.length >= MIN_ZONE_HOSTS && !isZoneCut && !closed.has(availabilityZone);
  const chosen = useZone ? sameZone : fallback;
  while (chosen.length > limit) chosen.splice(pickIndex(random, chosen.length), 1);
  return chosen;
}

/** Merges the lists of live entry hosts from all connected control hosts. */
export class EntryHostView {
  /** Latest list from each connected control host. */
  private readonly lists = new Map<string, ReadonlyMap<string, EntryHost>>();

  /** Merged list at the time the last control host disconnected. */
  private lastMerged: readonly EntryHost[] = [];

  /** Stores the latest list from a control host. */
  update(control: string, entryHosts: readonly EntryHost[]): void {
    this.lists.set(control, new Map(entryHosts.map((host) => [host.id, host])));
  }

  /** Applies changes to the list from a control host; ignored without the list. */
  applyChanges(
    control: string,
    entryHosts: readonly EntryHost[],
    removedIds: readonly string[],
  ): void {
    const list = this.lists.get(control);
    if (!list) return;
    const changed = new Map(list);
    removedIds.forEach((id) => changed.delete(id));
    entryHosts.forEach((host) => changed.set(host.id, host));
    this.lists.set(control, changed);
  }

  /** Removes the list of a disconnected control host; if it is the last, its hosts are kept. */
  remove(control: string): void {
    if (this.lists.size === 1 && this.lists.has(control)) this.lastMerged = this.hosts();
    this.lists.delete(control);
  }

  /** Returns the hosts on any list; a host counts as stopping or cut off once one list says so. */
  hosts(): EntryHost[] {
    if (this.lists.size === 0) return [...this.lastMerged];
    const merged = new Map<string, EntryHost>();
    this.lists.forEach((list) =>
      list.forEach((host) => {
        const existing = merged.get(host.id);
        merged.set(host.id, {
          ...host,
          stopping: host.stopping || existing?.stopping === true,
          cutOff: host.cutOff === true || existing?.cutOff === true,
        });
      }),
    );
    return [...merged.values()];
  }
}
