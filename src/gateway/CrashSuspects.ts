/** A backend server ended while it ran a call. */
export interface CrashReport {
  /** Identifies equal calls: method, target and body. */
  readonly fingerprint: string;
  readonly backendId: string;
  /** Incarnation that ended. */
  readonly bornMs: number;
}

/** What is known of calls with one fingerprint. */
export enum CallStanding {
  Clear = 'clear',
  /** It may have ended a backend server: it is sent once and gets no second copy. */
  Suspect = 'suspect',
  /** It ends every backend server that runs it: it is no longer sent. */
  Quarantined = 'quarantined',
}

interface Suspicion {
  readonly incarnations: Set<string>;
  /** Ends that were apart from each other in time. */
  count: number;
  notedAtMs: number;
}

/** Ends of different incarnations, one after the other, that quarantine a call. */
const QUARANTINE_CRASHES = 3;

/** Ends closer to each other than this have one cause that is no call, such as a lost zone. */
const APART_MS = 250;

/** A call that has not come back for this long is forgotten. */
const KEPT_MS = 60_000;

const FINGERPRINTS_MAX = 2_000;

/** Calls that were running when backend servers ended, as told by every entry host. */
export class CrashSuspects {
  private readonly suspicions = new Map<string, Suspicion>();

  /** True where no call needs a look-up. */
  get isEmpty(): boolean {
    return this.suspicions.size === 0;
  }

  /** Notes one end; false where it was known. */
  note(report: CrashReport, nowMs: number): boolean {
    const key = `${report.backendId}#${report.bornMs}`;
    const known = this.suspicions.get(report.fingerprint);
    if (known?.incarnations.has(key)) return false;
    const suspicion = known ?? {
      incarnations: new Set(),
      count: 0,
      notedAtMs: Number.NEGATIVE_INFINITY,
    };
    suspicion.incarnations.add(key);
    if (nowMs - suspicion.notedAtMs >= APART_MS) suspicion.count += 1;
    suspicion.notedAtMs = nowMs;
    // The newest stand last, so that the oldest are dropped first.
    this.suspicions.delete(report.fingerprint);
    this.suspicions.set(report.fingerprint, suspicion);
    this.dropOldest(nowMs);
    return true;
  }

  standingOf(fingerprint: string, nowMs: number): CallStanding {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion || nowMs - suspicion.notedAtMs > KEPT_MS) return CallStanding.Clear;
    const quarantined = suspicion.count >= QUARANTINE_CRASHES;
    return quarantined ? CallStanding.Quarantined : CallStanding.Suspect;
  }

  /** Forgets a call that ran to a good end. */
  clear(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  private dropOldest(nowMs: number): void {
    this.suspicions.forEach(({ notedAtMs }, fingerprint) => {
      const old = nowMs - notedAtMs > KEPT_MS;
      if (old || this.suspicions.size > FINGERPRINTS_MAX) this.suspicions.delete(fingerprint);
    });
  }
}
