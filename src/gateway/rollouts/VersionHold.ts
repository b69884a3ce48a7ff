import type { BackendRecord } from '../../common/backends/Types.js';

/** Options of a {@link VersionHold}. */
export interface VersionHoldOptions {
  readonly nowMs: () => number;
  readonly holdMs?: number;
}

/**
 * Time for which a version that appears beside an established one gets no calls. Its order may be
 * resent for 4 s, and the servers may start some seconds before the order is sent.
 */
const HOLD_MS = 10_000;

/**
 * Versions that started within this time of each other are established together: servers announce
 * themselves every 1.5 s, and a gateway that starts learns of all of them at once.
 */
const SAME_START_MS = 1_500;

/** What is known about one version of a service. */
interface KnownVersion {
  readonly seenAtMs: number;
  /** Unix time of the earliest start of its processes; undefined if they announce none. */
  bornMs: number | undefined;
}

/** True if the first version appeared later than the second one. */
function isLater(version: KnownVersion, other: KnownVersion): boolean {
  if (version.bornMs !== undefined && other.bornMs !== undefined) {
    return version.bornMs - other.bornMs > SAME_START_MS;
  }
  return version.seenAtMs - other.seenAtMs > SAME_START_MS;
}

/**
 * Holds back versions that are announced beside an established one, because the order of their
 * rollout may not have arrived yet. The earliest process start of each version shows which one is
 * established, so that a gateway that starts later decides alike, and a restart of all old servers
 * changes nothing. Start times are compared only with each other, never with this host's time of day.
 */
export class VersionHold {
  private readonly known = new Map<string, Map<string | undefined, KnownVersion>>();

  private readonly holdMs: number;

  constructor(private readonly options: VersionHoldOptions) {
    this.holdMs = options.holdMs ?? HOLD_MS;
  }

  /** Records the versions of announced backend servers. */
  note(records: readonly BackendRecord[]): void {
    const seenAtMs = this.options.nowMs();
    records.forEach(({ service, version, bornMs }) => {
      const versions = this.known.get(service) ?? new Map<string | undefined, KnownVersion>();
      this.known.set(service, versions);
      const entry = versions.get(version) ?? { seenAtMs, bornMs: undefined };
      if (bornMs > 0) entry.bornMs = Math.min(entry.bornMs ?? bornMs, bornMs);
      versions.set(version, entry);
    });
  }

  /** Versions of a service that get no calls yet, unless no other one has a usable server. */
  heldVersions(service: string): ReadonlySet<string | undefined> {
    const versions = [...(this.known.get(service) ?? [])];
    if (versions.length < 2) return new Set();
    const nowMs = this.options.nowMs();
    return new Set(
      versions
        .filter(([, entry]) => nowMs - entry.seenAtMs < this.holdMs)
        .filter(([, entry]) => versions.some(([, other]) => isLater(entry, other)))
        .map(([version]) => version),
    );
  }
}
