/** Report of a backend server that crashed while it ran a call. */
export interface CrashReport {
  /** Identifies identical calls: method, target and body. */
  readonly fingerprint: string;
  readonly backendId: string;
  /** Incarnation that crashed. */
  readonly bornMs: number;
}

/** Whether calls with one fingerprint are suspected of crashing backend servers. */
export enum CallStanding {
  Clear = 'clear',
  /** It may have crashed a backend server: it is sent once and not hedged. */
  Suspect = 'suspect',
  /** It crashes every backend server that runs it: it is no longer sent. */
  Quarantined = 'quarantined',
}

interface Suspicion {
  readonly incarnations: Set<string>;
  /** Number of crashes at least `CRASH_SEPARATION_MS` apart. */
  count: number;
  notedAtMs: number;
}

/** Number of successive crashes, of different incarnations, after which a call is quarantined. */
const QUARANTINE_CRASHES = 3;

/** Crashes closer together than this have a cause other than the call, such as a lost zone. */
const CRASH_SEPARATION_MS = 250;

/** Time after the last crash until a suspicion expires. */
const SUSPICION_TTL_MS = 60_000;

/** Maximum number of suspected calls; above it the oldest ones are dropped. */
const FINGERPRINTS_MAX = 2_000;

/** Calls that were running when backend servers crashed, as reported by all entry hosts. */
export class CrashSuspects {
  private readonly suspicions = new Map<string, Suspicion>();

  /** True if no call is suspected. */
  get isEmpty(): boolean {
    return this.suspicions.size === 0;
  }

  /** Records a crash; returns false if it was recorded before. */
  note(report: CrashReport, nowMs: number): boolean {
    const key = `${report.backendId}#${report.bornMs}`;
    const existing = this.suspicions.get(report.fingerprint);
    if (existing?.incarnations.has(key)) return false;
    const suspicion = existing ?? {
      incarnations: new Set(),
      count: 0,
      notedAtMs: Number.NEGATIVE_INFINITY,
    };
    suspicion.incarnations.add(key);
    if (nowMs - suspicion.notedAtMs >= CRASH_SEPARATION_MS) suspicion.count += 1;
    suspicion.notedAtMs = nowMs;
    // Moves the entry to the end, so that the oldest entries are dropped first.
    this.suspicions.delete(report.fingerprint);
    this.suspicions.set(report.fingerprint, suspicion);
    this.dropOldest(nowMs);
    return true;
  }

  standingOf(fingerprint: string, nowMs: number): CallStanding {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion || nowMs - suspicion.notedAtMs > SUSPICION_TTL_MS) return CallStanding.Clear;
    const quarantined = suspicion.count >= QUARANTINE_CRASHES;
    return quarantined ? CallStanding.Quarantined : CallStanding.Suspect;
  }

  /** Drops the suspicion against a call that completed. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  private dropOldest(nowMs: number): void {
    this.suspicions.forEach(({ notedAtMs }, fingerprint) => {
      const expired = nowMs - notedAtMs > SUSPICION_TTL_MS;
      if (expired || this.suspicions.size > FINGERPRINTS_MAX) this.suspicions.delete(fingerprint);
    });
  }
}
