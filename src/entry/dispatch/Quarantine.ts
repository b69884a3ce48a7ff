import {
  QUARANTINE_CAPACITY,
  QUARANTINE_CRASH_THRESHOLD,
  QUARANTINE_MS,
} from '../../common/Constants.js';

/** Standing of a fingerprint. */
export enum Standing {
  Clear = 'clear',
  /** It was in flight when a backend server ended; it runs apart from other such calls. */
  Suspect = 'suspect',
  /** Two suspicions are open; it waits until they are settled. */
  Doubtful = 'doubtful',
  Quarantined = 'quarantined',
}

/** Ends of backend servers that a fingerprint was part of. */
interface Suspicions {
  /** Backend incarnations that surely ended. */
  readonly deaths: Set<string>;
  /** Backend incarnations whose connection broke, with the time. */
  readonly open: Map<string, number>;
  updatedAtMs: number;
}

function incarnationKey(backendId: string, incarnation: number): string {
  return `${backendId}#${incarnation}`;
}

/** Fingerprints of calls that were in flight when backend servers ended. */
export class Quarantine {
  private readonly suspicions = new Map<string, Suspicions>();

  /** Standing of a fingerprint. On the path of every call: one look-up. */
  standingOf(fingerprint: string, nowMs: number): Standing {
    const entry = this.suspicions.get(fingerprint);
    if (!entry) return Standing.Clear;
    if (nowMs - entry.updatedAtMs > QUARANTINE_MS) {
      this.suspicions.delete(fingerprint);
      return Standing.Clear;
    }
    if (entry.deaths.size >= QUARANTINE_CRASH_THRESHOLD) return Standing.Quarantined;
    const total = entry.deaths.size + entry.open.size;
    if (total >= QUARANTINE_CRASH_THRESHOLD) return Standing.Doubtful;
    return total > 0 ? Standing.Suspect : Standing.Clear;
  }

  /** Notes that a connection broke while the call was in flight. */
  suspect(fingerprint: string, backendId: string, incarnation: number, nowMs: number): void {
    const entry = this.entryOf(fingerprint, nowMs);
    const key = incarnationKey(backendId, incarnation);
    if (!entry.deaths.has(key)) entry.open.set(key, nowMs);
  }

  /** Notes a proven death. */
  confirm(fingerprint: string, backendId: string, incarnation: number, nowMs: number): void {
    const entry = this.entryOf(fingerprint, nowMs);
    const key = incarnationKey(backendId, incarnation);
    entry.open.delete(key);
    entry.deaths.add(key);
  }

  /** Turns the open suspicions of an incarnation into deaths; returns their fingerprints. */
  confirmAll(backendId: string, incarnation: number, nowMs: number): string[] {
    const key = incarnationKey(backendId, incarnation);
    const confirmed: string[] = [];
    this.suspicions.forEach((entry, fingerprint) => {
      if (!entry.open.delete(key)) return;
      entry.deaths.add(key);
      entry.updatedAtMs = nowMs;
      confirmed.push(fingerprint);
    });
    return confirmed;
  }

  /** Drops the suspicions of an incarnation that proved alive after them. */
  clearIncarnation(backendId: string, incarnation: number, provenAtMs: number): void {
    const key = incarnationKey(backendId, incarnation);
    this.suspicions.forEach((entry, fingerprint) => {
      const sinceMs = entry.open.get(key);
      if (sinceMs === undefined || sinceMs >= provenAtMs) return;
      entry.open.delete(key);
      if (entry.open.size + entry.deaths.size === 0) this.suspicions.delete(fingerprint);
    });
  }

  /** Drops a fingerprint whose call ran without harm. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  get size(): number {
    return this.suspicions.size;
  }

  private entryOf(fingerprint: string, nowMs: number): Suspicions {
    let entry = this.suspicions.get(fingerprint);
    if (!entry) {
      entry = { deaths: new Set(), open: new Map(), updatedAtMs: nowMs };
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
