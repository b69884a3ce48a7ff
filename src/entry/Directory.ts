import Result from 'true-myth/result';
import { EgretError, ErrorKind } from '../common/Errors.js';
import type { EntryHost } from '../common/Placement.js';
import { pickIndex, type RandomSource } from '../common/Random.js';
import type { EntryRoster } from './EntryRoster.js';
import type { SettingsView } from './SettingsView.js';
import type { DirectoryAnswer } from './Types.js';

/** Maximum number of entry hosts in one answer. */
const MAX_ENTRIES = 16;

/** Query of a caller; a null service selects every entry host, a null zone prefers none. */
export interface DirectoryQuery {
  readonly service: string | null;
  readonly availabilityZone: string | null;
}

/** Returns a shuffled copy (Fisher-Yates). */
function shuffle<T>(items: readonly T[], random: RandomSource): T[] {
  const copy = [...items];
  for (let last = copy.length - 1; last > 0; last -= 1) {
    const other = pickIndex(random, last + 1);
    [copy[last], copy[other]] = [copy[other]!, copy[last]!];
  }
  return copy;
}

/** Answers queries for the entry hosts that a caller should use. */
export class Directory {
  constructor(
    private readonly settings: SettingsView,
    private readonly roster: EntryRoster,
    private readonly random: RandomSource,
  ) {}

  /** Lists the service's leaseholders first, then the others, each with the caller's zone first. */
  answer(query: DirectoryQuery): Result<DirectoryAnswer, EgretError> {
    const { catalog, revision } = this.settings;
    const entry = query.service === null ? undefined : catalog.services.get(query.service);
    if (query.service !== null && !entry) {
      return Result.err(new EgretError(ErrorKind.UnknownService, `No service ${query.service}.`));
    }
    const leaseholders = entry ? this.roster.leaseholders(entry) : [];
    const others = this.roster
      .all()
      .filter((host) => !host.stopping && !leaseholders.includes(host));
    const ordered = [
      ...this.order(leaseholders, query.availabilityZone),
      ...this.order(others, query.availabilityZone),
    ];
    return Result.ok({
      service: query.service ?? '',
      revision,
      validForMs: catalog.system.directoryValidMs,
      entries: ordered
        .slice(0, MAX_ENTRIES)
        .map(({ address, port, availabilityZone }) => ({ address, port, availabilityZone })),
    });
  }

  private order(hosts: readonly EntryHost[], availabilityZone: string | null): EntryHost[] {
    const shuffled = shuffle(hosts, this.random);
    const local = shuffled.filter((host) => host.availabilityZone === availabilityZone);
    return [...local, ...shuffled.filter((host) => host.availabilityZone !== availabilityZone)];
  }
}
