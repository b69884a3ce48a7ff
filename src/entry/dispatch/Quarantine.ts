import {
  QUARANTINE_CAPACITY,
  QUARANTINE_CRASH_THRESHOLD,
  QUARANTINE_MS,
} from '../../common/Constants.js';

/** Standing of a fingerprint: to what degree it is suspected of crashing backend servers. */
export enum Standing {
  Clear = 'clear',
  /** In flight when a backend server seemed to crash; runs apart from other suspected calls. */
  Suspect = 'suspect',
  /** Would be quarantined if its open suspicions were confirmed; refused until then. */
  Doubtful = 'doubtful',
  Quarantined = 'quarantined',
}

/** Crashes of backend servers during which a fingerprint was in flight. */
interface Suspicions {
  /** Backend incarnations whose crash is confirmed. */
  readonly crashes: Set<string>;
  /** Backend incarnations whose connection broke, with the time of the break. */
  readonly open: Map<string, number>;
  updatedAtMs: number;
}

function incarnationKey(backendId: string, incarnation: number): string {
  return `${backendId}#${incarnation}`;
}

/** Tracks fingerprints of calls that were in flight when backend servers crashed. */
export class Quarantine {
  private readonly suspicions = new Map<string, Suspicions>();

  /** Standing of a fingerprint. Runs for every call, so it needs only one look-up. */
  standingOf(fingerprint: string, nowMs: number): Standing {
    const entry = this.suspicions.get(fingerprint);
    if (!entry) return Standing.Clear;
    if (nowMs - entry.updatedAtMs > QUARANTINE_MS) {
      this.suspicions.delete(fingerprint);
      return Standing.Clear;
    }
    if (entry.crashes.size >= QUARANTINE_CRASH_THRESHOLD) return Standing.Quarantined;
    const total = entry.crashes.size + entry.open.size;
    if (total >= QUARANTINE_CRASH_THRESHOLD) return Standing.Doubtful;
    return total > 0 ? Standing.Suspect : Standing.Clear;
  }

  /** Records that a connection broke while the call was in flight. */
  suspect(fingerprint: string, backendId: string, incarnation: number, nowMs: number): void {
    const entry = this.entryOf(fingerprint, nowMs);
    const key = incarnationKey(backendId, incarnation);
    if (!entry.crashes.has(key)) entry.open.set(key, nowMs);
  }

  /** Records a confirmed crash. */
  confirm(fingerprint: string, backendId: string, incarnation: number, nowMs: number): void {
    const entry = this.entryOf(fingerprint, nowMs);
    const key = incarnationKey(backendId, incarnation);
    entry.open.delete(key);
    entry.crashes.add(key);
  }

  /** Confirms the open suspicions of an incarnation as crashes; returns their fingerprints. */
  confirmAll(backendId: string, incarnation: number, nowMs: number): string[] {
    const key = incarnationKey(backendId, incarnation);
    const confirmed: string[] = [];
    this.suspicions.forEach((entry, fingerprint) => {
      if (!entry.open.delete(key)) return;
      entry.crashes.add(key);
      entry.updatedAtMs = nowMs;
      confirmed.push(fingerprint);
    });
    return confirmed;
  }

  /** Drops the open suspicions of an incarnation that was alive after them, at `aliveAtMs`. */
  clearIncarnation(backendId: string, incarnation: number, aliveAtMs: number): void {
    const key = incarnationKey(backendId, incarnation);
    this.suspicions.forEach((entry, fingerprint) => {
      const sinceMs = entry.open.get(key);
      if (sinceMs === undefined || sinceMs >= aliveAtMs) return;
      entry.open.delete(key);
      if (entry.open.size + entry.crashes.size === 0) this.suspicions.delete(fingerprint);
    });
  }

  /** Drops a fingerprint whose call completed without a crash. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  get size(): number {
    return this.suspicions.size;
  }

  private entryOf(fingerprint: string, nowMs: number): Suspicions {
    let entry = this.suspicions.get(fingerprint);
    if (!entry) {
      entry = { crashes: new Set(), open: new Map(), updatedAtMs: nowMs };
      this.suspicions.set(fingerprint, entry);
      if (this.suspicions.size > QUARANTINE_CAPACITY) {
        const [oldest] = this.suspicions.keys();
        if (oldest !== undefined) this.suspicions.delete(oldest);
      }
    }
    entry.updatedAtMs = nowMs;
    return entry;
  }
}
