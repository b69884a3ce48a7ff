import { BackendState, LAST_SEQUENCE, type BackendRecord } from './Types.js';

/** Record with the local time at which it was last confirmed. */
export interface KnownBackend {
  readonly record: BackendRecord;
  readonly heardAtMs: number;
}

/** What an announcement changed. */
export enum RegistryChange {
  /** Older than what is known, and ignored. */
  Stale = 'stale',
  /** Confirms what is known. */
  Renewed = 'renewed',
  /** Something that dispatch depends on is new. */
  Changed = 'changed',
}

/** Options of a {@link BackendRegistry}. */
export interface BackendRegistryOptions {
  /** Silence after which a record is dropped; ten announcement intervals of 1.5 s. */
  readonly expiryMs?: number;
}

const DEFAULT_EXPIRY_MS = 15_000;

/** Difference of two cold times that is worth telling; announcements come every second or two. */
const COLD_CHANGE_MS = 500;

/** True where a is of a later incarnation, or a later word of the same one. */
export function isNewer(
  a: Pick<BackendRecord, 'bornMs' | 'sequence'>,
  b: Pick<BackendRecord, 'bornMs' | 'sequence'>,
): boolean {
  return a.bornMs !== b.bornMs ? a.bornMs > b.bornMs : a.sequence > b.sequence;
}

/** Backend servers by what they last announced, merged by incarnation and sequence. */
export class BackendRegistry {
  private readonly known = new Map<string, KnownBackend>();

  private readonly expiryMs: number;

  constructor(options: BackendRegistryOptions = {}) {
    this.expiryMs = options.expiryMs ?? DEFAULT_EXPIRY_MS;
  }

  get size(): number {
    return this.known.size;
  }

  get(id: string): BackendRecord | undefined {
    return this.known.get(id)?.record;
  }

  /** Every record, those of backend servers that left included. */
  records(): BackendRecord[] {
    return [...this.known.values()].map(({ record }) => record);
  }

  /** Merges one announcement. */
  merge(record: BackendRecord, nowMs: number): RegistryChange {
    const before = this.known.get(record.id);
    if (before && !isNewer(record, before.record)) return RegistryChange.Stale;
    this.known.set(record.id, { record, heardAtMs: nowMs });
    if (!before) return RegistryChange.Changed;
    const { record: old, heardAtMs } = before;
    const expectedColdMs = Math.max(0, old.coldLeftMs - (nowMs - heardAtMs));
    const same =
      old.bornMs === record.bornMs &&
      old.state === record.state &&
      old.service === record.service &&
      old.address === record.address &&
      old.port === record.port &&
      old.slots === record.slots &&
      old.availabilityZone === record.availabilityZone &&
      Math.abs(expectedColdMs - record.coldLeftMs) < COLD_CHANGE_MS;
    return same ? RegistryChange.Renewed : RegistryChange.Changed;
  }

  /** Record of a goodbye, or undefined where a later incarnation has taken the id. */
  createDepartureRecord(id: string, bornMs: number | undefined): BackendRecord | undefined {
    const record = this.known.get(id)?.record;
    if (!record) return undefined;
    if (bornMs !== undefined && bornMs < record.bornMs) return undefined;
    return {
      ...record,
      bornMs: bornMs ?? record.bornMs,
      state: BackendState.Gone,
      sequence: LAST_SEQUENCE,
    };
  }

  /** Drops records that nobody has confirmed for long, and returns their ids. */
  expire(nowMs: number): string[] {
    const dropped = [...this.known.entries()]
      .filter(([, { heardAtMs }]) => nowMs - heardAtMs > this.expiryMs)
      .map(([id]) => id);
    dropped.forEach((id) => this.known.delete(id));
    return dropped;
  }
}
