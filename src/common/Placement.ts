import { rankByRendezvous, rendezvousWeight } from './Rendezvous.js';

/** Description of an entry host that is sent to the other processes. */
export interface EntryHost {
  readonly id: string;
  readonly address: string;
  /** Port for callers and backend servers. */
  readonly port: number;
  /** Port for peers. */
  readonly peerPort: number;
  readonly adminAddress: string;
  readonly adminPort: number;
  readonly availabilityZone: string;
  /** True from the start of a planned stop. */
  readonly stopping: boolean;
  /**
   * True while it serves no calls of its own accord: it reaches no backend server, or knows of a newer
   * routing than it has. Earlier versions omit it.
   */
  readonly cutOff?: boolean;
  /** Digest of the settings file that it runs; earlier versions omit it. */
  readonly settingsDigest?: string;
}

/** Options of {@link placeLeaseholders}. */
export interface PlacementOptions {
  readonly service: string;
  /** Availability zones of the service that receive new calls. */
  readonly availabilityZones: readonly string[];
  readonly entryHosts: readonly EntryHost[];
  /** Desired number of leaseholders. */
  readonly leaseholders: number;
}

const MIN_LEASEHOLDERS = 2;

/**
 * Chooses the entry hosts that hold the leases of a service's backend servers by rendezvous
 * hashing: the first-ranked of each availability zone, then the first-ranked of the others until
 * the desired number is reached.
 *
 * @example
 * placeLeaseholders({ service: 'ledger', availabilityZones: [], entryHosts: [], leaseholders: 3 });
 */
export function placeLeaseholders(options: PlacementOptions): EntryHost[] {
  const ranked = rankByRendezvous(
    options.service,
    options.entryHosts.filter((entry) => !entry.stopping),
  );
  const desiredCount = Math.max(MIN_LEASEHOLDERS, options.leaseholders);
  const chosen: EntryHost[] = [];
  options.availabilityZones.forEach((availabilityZone) => {
    const firstRanked = ranked.find((entry) => entry.availabilityZone === availabilityZone);
    if (firstRanked && chosen.length < desiredCount) chosen.push(firstRanked);
  });
  ranked.forEach((entry) => {
    if (chosen.length < desiredCount && !chosen.includes(entry)) chosen.push(entry);
  });
  return chosen;
}

/**
 * Chooses the leaseholder of one backend server among those of its service by rendezvous hashing;
 * those in the backend server's availability zone are preferred.
 *
 * @example
 * placeBackend('10.0.0.1:80', 'yoichi', leaseholders)?.id;
 */
export function placeBackend(
  backendId: string,
  availabilityZone: string,
  leaseholders: readonly EntryHost[],
): EntryHost | undefined {
  const local = leaseholders.filter((entry) => entry.availabilityZone === availabilityZone);
  const candidates = local.length > 0 ? local : leaseholders;
  let chosen: EntryHost | undefined;
  let maxWeight = -1;
  candidates.forEach((entry) => {
    const weight = rendezvousWeight(backendId, entry.id);
    if (weight > maxWeight) {
      chosen = entry;
      maxWeight = weight;
    }
  });
  return chosen;
}
