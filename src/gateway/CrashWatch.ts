import type { BackendView } from './BackendView.js';
import { CallStanding, CrashSuspects, type CrashReport } from './CrashSuspects.js';
import type { DecisionLog } from './DispatchTypes.js';

/** Options of a {@link CrashWatch}. */
export interface CrashWatchOptions {
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
  /** True if the backend server answers a probe. */
  readonly isAlive: (view: BackendView) => Promise<boolean>;
  /** Sends a report to the other entry hosts. */
  readonly broadcast: (report: CrashReport) => void;
  readonly log: DecisionLog;
}

/**
 * Delay before a probe checks for a crash: a crashed process does not restart within this time,
 * and a connection reset alone proves no crash.
 */
const CRASH_CHECK_DELAY_MS = 120;

/** Maximum number of checks at a time; in a mass failure, more would give no new information. */
const CRASH_CHECKS_MAX = 32;

/** Detects calls that crash backend servers, from reports of all entry hosts. */
export class CrashWatch {
  readonly suspects = new CrashSuspects();

  private checks = 0;

  constructor(private readonly options: CrashWatchOptions) {}

  /** Returns the standing of a call; computes its fingerprint only if any call is suspected. */
  standingOf(fingerprint: () => string): CallStanding {
    if (this.suspects.isEmpty) return CallStanding.Clear;
    return this.suspects.standingOf(fingerprint(), this.options.nowMs());
  }

  /** Checks whether the backend server crashed after its connection broke during a call. */
  noteConnectionLost(view: BackendView, fingerprint: () => string): void {
    if (this.checks >= CRASH_CHECKS_MAX) return;
    this.checks += 1;
    const { id, bornMs } = view.record;
    this.options.setTimer(CRASH_CHECK_DELAY_MS, () => {
      const finishCheck = (alive: boolean) => {
        this.checks -= 1;
        if (alive && view.record.bornMs === bornMs) return;
        const report = { fingerprint: fingerprint(), backendId: id, bornMs };
        if (this.note(report)) this.options.broadcast(report);
      };
      this.options.isAlive(view).then(finishCheck, () => finishCheck(false));
    });
  }

  /** Records a report from this or another entry host; returns false if it was recorded before. */
  note(report: CrashReport): boolean {
    const nowMs = this.options.nowMs();
    if (!this.suspects.note(report, nowMs)) return false;
    this.options.log('call_suspected', {
      backend: report.backendId,
      bornMs: report.bornMs,
      fingerprint: report.fingerprint,
      standing: this.suspects.standingOf(report.fingerprint, nowMs),
    });
    return true;
  }

  /** Clears a call that completed. */
  noteCompleted(fingerprint: () => string): void {
    if (!this.suspects.isEmpty) this.suspects.clear(fingerprint());
  }
}
