import type { BackendRecord } from '../../common/backends/Types.js';

/** Options of a {@link VersionHold}. */
export interface VersionHoldOptions {
  readonly wallMs: () => number;
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

/**
 * Holds back versions that are announced beside an established one, because the order of their
 * rollout may not have arrived yet. The age of a version is that of the oldest process seen with it,
 * so that a gateway that starts later decides alike, and a restart of all old servers changes nothing.
 */
export class VersionHold {
  /** Unix time of the earliest known start of each version, by service. */
  private readonly sinceMs = new Map<string, Map<string | undefined, number>>();

  private readonly holdMs: number;

  constructor(private readonly options: VersionHoldOptions) {
    this.holdMs = options.holdMs ?? HOLD_MS;
  }

  /** Records the versions of announced backend servers. */
  note(records: readonly BackendRecord[]): void {
    const nowMs = this.options.wallMs();
    records.forEach(({ service, version, bornMs }) => {
      const versions = this.sinceMs.get(service) ?? new Map<string | undefined, number>();
      this.sinceMs.set(service, versions);
      const known = versions.get(version) ?? nowMs;
      // Without a start time, the version is as old as this host's knowledge of it.
      versions.set(version, bornMs > 0 ? Math.min(known, bornMs) : known);
    });
  }

  /** Versions of a service that get no calls yet, unless no other one has a usable server. */
  heldVersions(service: string): ReadonlySet<string | undefined> {
    const versions = this.sinceMs.get(service);
    if (!versions || versions.size < 2) return new Set();
    const nowMs = this.options.wallMs();
    const establishedMs = Math.min(...versions.values());
    return new Set(
      [...versions]
        .filter(([, since]) => since - establishedMs > SAME_START_MS)
        .filter(([, since]) => nowMs - since < this.holdMs)
        .map(([version]) => version),
    );
  }
}
