import type { BackendView } from './BackendView.js';
import { CallStanding, CrashSuspects, type CrashReport } from './CrashSuspects.js';
import type { DecisionLog } from './DispatchTypes.js';

/** Options of a {@link CrashWatch}. */
export interface CrashWatchOptions {
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
  /** True where the backend server answers a probe. */
  readonly isAlive: (view: BackendView) => Promise<boolean>;
  /** Tells the other entry hosts. */
  readonly tell: (report: CrashReport) => void;
  readonly log: DecisionLog;
}

/** A process that ended is not back within this time; a reset connection alone proves nothing. */
const PROOF_AFTER_MS = 120;

/** Proofs under way; in a mass failure the rest would tell nothing new. */
const PROOFS_MAX = 32;

/** Finds calls that end the backend servers which run them, together with all entry hosts. */
export class CrashWatch {
  readonly suspects = new CrashSuspects();

  private proofs = 0;

  constructor(private readonly options: CrashWatchOptions) {}

  /** Standing of a call; its fingerprint is worked out only where any call is under suspicion. */
  standingOf(fingerprint: () => string): CallStanding {
    if (this.suspects.isEmpty) return CallStanding.Clear;
    return this.suspects.standingOf(fingerprint(), this.options.nowMs());
  }

  /** Looks into a connection that broke while its call was running. */
  noteConnectionLost(view: BackendView, fingerprint: () => string): void {
    if (this.proofs >= PROOFS_MAX) return;
    this.proofs += 1;
    const { id, bornMs } = view.record;
    this.options.setTimer(PROOF_AFTER_MS, () => {
      const settle = (alive: boolean) => {
        this.proofs -= 1;
        if (alive && view.record.bornMs === bornMs) return;
        const report = { fingerprint: fingerprint(), backendId: id, bornMs };
        if (this.note(report)) this.options.tell(report);
      };
      this.options.isAlive(view).then(settle, () => settle(false));
    });
  }

  /** Takes in what this or another entry host found; false where it was known. */
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

  /** Notes a call that ran to a good end. */
  noteCompleted(fingerprint: () => string): void {
    if (!this.suspects.isEmpty) this.suspects.clear(fingerprint());
  }
}
