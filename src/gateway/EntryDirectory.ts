import type { EntryHost } from '../common/Placement.js';
import { pickIndex, type RandomSource } from '../common/Random.js';

/** Options of {@link chooseEntryHosts}. */
export interface ChooseEntryHostsOptions {
  readonly entryHosts: readonly EntryHost[];
  /** Availability zone of the caller. */
  readonly availabilityZone: string;
  /** Availability zones whose backend servers get nothing. */
  readonly closedZones?: readonly string[];
  readonly random: RandomSource;
  /** Most entry hosts in one answer. */
  readonly limit?: number;
}

/** Entry hosts of the caller's zone that make other zones unnecessary. */
const MIN_ZONE_HOSTS = 2;

/** The users' callers read at most 64 addresses. */
const DEFAULT_LIMIT = 64;

/**
 * Entry hosts that a caller should use: those of its own availability zone, which also hold the
 * nearest backend servers, or all of them where too few are left there. Callers of a closed zone go
 * to the entry hosts of the open ones, whose backend servers serve them then.
 *
 * @example
 * chooseEntryHosts({ entryHosts, availabilityZone: 'yoichi', random });
 */
export function chooseEntryHosts(options: ChooseEntryHostsOptions): EntryHost[] {
  const { entryHosts, availabilityZone, random, limit = DEFAULT_LIMIT } = options;
  const closed = new Set(options.closedZones);
  const live = entryHosts.filter((host) => !host.stopping);
  const near = live.filter((host) => host.availabilityZone === availabilityZone);
  const open = live.filter((host) => !closed.has(host.availabilityZone));
  const others = open.length >= MIN_ZONE_HOSTS ? open : live;
  const useZone = near.length >= MIN_ZONE_HOSTS && !closed.has(availabilityZone);
  const chosen = useZone ? near : others;
  while (chosen.length > limit) chosen.splice(pickIndex(random, chosen.length), 1);
  return chosen;
}

/** Live entry hosts as the control hosts list them, merged. */
export class EntryHostView {
  /** Newest list of each connected control host. */
  private readonly lists = new Map<string, readonly EntryHost[]>();

  /** What was known when the last control host was lost. */
  private last: readonly EntryHost[] = [];

  /** Takes over the list of one control host. */
  update(control: string, entryHosts: readonly EntryHost[]): void {
    this.lists.set(control, entryHosts);
  }

  /** Forgets the list of a control host that was lost, unless it is the last one. */
  lose(control: string): void {
    if (this.lists.size === 1 && this.lists.has(control)) this.last = this.hosts();
    this.lists.delete(control);
  }

  /** Entry hosts that any connected control host hears; a stop that one knows of counts. */
  hosts(): EntryHost[] {
    if (this.lists.size === 0) return [...this.last];
    const merged = new Map<string, EntryHost>();
    this.lists.forEach((list) =>
      list.forEach((host) => {
        const known = merged.get(host.id);
        if (!known || host.stopping) merged.set(host.id, host);
      }),
    );
    return [...merged.values()];
  }
}
