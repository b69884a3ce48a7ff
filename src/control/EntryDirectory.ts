import type { EntryHost } from '../common/Placement.js';
import type { RandomSource } from '../common/Random.js';
import { pickIndex } from '../common/Random.js';
import type { EntrySessions } from './EntrySessions.js';

/** Options of {@link chooseEntryHosts}. */
export interface ChooseEntryHostsOptions {
  readonly sessions: EntrySessions;
  /** Availability zone of the caller. */
  readonly availabilityZone: string;
  readonly nowMs: number;
  readonly random: RandomSource;
  /** Most entry hosts in one answer. */
  readonly limit?: number;
}

/** Heartbeats come every 300 ms; three missed ones take a host out of the answers. */
const ENTRY_FRESH_MS = 1_000;

/** Entry hosts of the caller's zone that make other zones unnecessary. */
const MIN_ZONE_HOSTS = 2;

/** The users' callers read at most 64 addresses. */
const DEFAULT_LIMIT = 64;

/**
 * Entry hosts that a caller should use: those of its own availability zone, which also hold the
 * nearest backend servers, or all of them where too few are left there.
 *
 * @example
 * chooseEntryHosts({ sessions, availabilityZone: 'yoichi', nowMs, random });
 */
export function chooseEntryHosts(options: ChooseEntryHostsOptions): EntryHost[] {
  const { sessions, availabilityZone, nowMs, random, limit = DEFAULT_LIMIT } = options;
  const live = sessions
    .list()
    .filter(
      (session) => session.lastSeenMs >= nowMs - ENTRY_FRESH_MS && !session.entryHost.stopping,
    )
    .map((session) => session.entryHost);
  const near = live.filter((host) => host.availabilityZone === availabilityZone);
  const chosen = near.length >= MIN_ZONE_HOSTS ? near : live;
  while (chosen.length > limit) chosen.splice(pickIndex(random, chosen.length), 1);
  return chosen;
}
