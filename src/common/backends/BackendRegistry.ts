import { BackendState, DEPARTURE_SEQUENCE, type BackendRecord } from './Types.js';

/** Record with the local time at which it was received. */
export interface RegisteredBackend {
  readonly record: BackendRecord;
  readonly receivedAtMs: number;
}

/** Effect of an announcement on the registry. */
export enum RegistryChange {
  /** Not newer than the known record, and ignored. */
  Stale = 'stale',
  /** Newer than the known record, without a change that dispatch depends on. */
  Renewed = 'renewed',
  /** Changes a value that dispatch depends on. */
  Changed = 'changed',
}

/** Options of a {@link BackendRegistry}. */
export interface BackendRegistryOptions {
  /** Age at which a record is removed; by default, ten announcement intervals of 1.5 s. */
  readonly expiryMs?: number;
}

const DEFAULT_EXPIRY_MS = 15_000;

/** Smallest reported change of the cold time; announcements arrive every one to two seconds. */
const COLD_CHANGE_MS = 500;

/** True if `a` is from a later incarnation than `b`, or later in the same one. */
export function isNewer(
  a: Pick<BackendRecord, 'bornMs' | 'sequence'>,
  b: Pick<BackendRecord, 'bornMs' | 'sequence'>,
): boolean {
  return a.bornMs !== b.bornMs ? a.bornMs > b.bornMs : a.sequence > b.sequence;
}

/** Newest announcement of each backend server, by incarnation and sequence. */
export class BackendRegistry {
  private readonly backends = new Map<string, RegisteredBackend>();

  private readonly expiryMs: number;

  constructor(options: BackendRegistryOptions = {}) {
    this.expiryMs = options.expiryMs ?? DEFAULT_EXPIRY_MS;
  }

  get size(): number {
    return this.backends.size;
  }

  get(id: string): BackendRecord | undefined {
    return this.backends.get(id)?.record;
  }

  /** Every record, including those of departed backend servers. */
  records(): BackendRecord[] {
    return [...this.backends.values()].map(({ record }) => record);
  }

  /** Records of some backend servers, without those that are unknown. */
  recordsOf(ids: readonly string[]): BackendRecord[] {
    return ids.flatMap((id) => this.backends.get(id)?.record ?? []);
  }

  ids(): string[] {
    return [...this.backends.keys()];
  }

  /** True if the registry has the record of this backend server, at least as new as this one. */
  supersedes(record: BackendRecord): boolean {
    const known = this.backends.get(record.id)?.record;
    return known !== undefined && !isNewer(record, known);
  }

  /** Merges one announcement and returns its effect. */
  merge(record: BackendRecord, nowMs: number): RegistryChange {
    const before = this.backends.get(record.id);
    if (before && !isNewer(record, before.record)) return RegistryChange.Stale;
    this.backends.set(record.id, { record, receivedAtMs: nowMs });
    if (!before) return RegistryChange.Changed;
    const { record: old, receivedAtMs } = before;
    const expectedColdMs = Math.max(0, old.coldLeftMs - (nowMs - receivedAtMs));
    const same =
      old.bornMs === record.bornMs &&
      old.state === record.state &&
      old.service === record.service &&
      old.address === record.address &&
      old.port === record.port &&
      old.slots === record.slots &&
      old.availabilityZone === record.availabilityZone &&
      old.version === record.version &&
      Math.abs(expectedColdMs - record.coldLeftMs) < COLD_CHANGE_MS;
    return same ? RegistryChange.Renewed : RegistryChange.Changed;
  }

  /** Notes an announcement that changes nothing; returns false without a record of the incarnation. */
  renew(id: string, bornMs: number, sequence: number, nowMs: number): boolean {
    const known = this.backends.get(id);
    if (!known || known.record.bornMs !== bornMs) return false;
    const { record } = known;
    if (sequence <= record.sequence) return true;
    // The cold time counts down from the newest announcement.
    const elapsedMs = nowMs - known.receivedAtMs;
    const coldLeftMs = Math.max(0, record.coldLeftMs - elapsedMs);
    this.backends.set(id, { record: { ...record, sequence, coldLeftMs }, receivedAtMs: nowMs });
    return true;
  }

  /** Creates the record of a departure; undefined for an unknown id or a past incarnation. */
  createDepartureRecord(id: string, bornMs: number | undefined): BackendRecord | undefined {
    const record = this.backends.get(id)?.record;
    if (!record) return undefined;
    if (bornMs !== undefined && bornMs < record.bornMs) return undefined;
    return {
      ...record,
      bornMs: bornMs ?? record.bornMs,
      state: BackendState.Gone,
      sequence: DEPARTURE_SEQUENCE,
    };
  }

  /** Removes records without an announcement within the expiry time and returns their ids. */
  expire(nowMs: number): string[] {
    const expiredIds = [...this.backends.entries()]
      .filter(([, { receivedAtMs }]) => nowMs - receivedAtMs > this.expiryMs)
      .map(([id]) => id);
    expiredIds.forEach((id) => this.backends.delete(id));
    return expiredIds;
  }
}
