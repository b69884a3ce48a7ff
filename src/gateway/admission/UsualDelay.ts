interface Usual {
  expectedWork: number;
  notedAtMs: number;
}

/** Weight of the newest probe; the last five count for two thirds. */
const PROBE_WEIGHT = 0.2;

/**
 * Age after which the estimate is forgotten: the worst seconds count for callers, so that the state
 * of an earlier second must not decide.
 */
const FORGET_AFTER_MS = 2_000;

/** Estimate without recent probes: idle backend servers at usual speed. */
const ASSUMED_WORK = 1;

/** Expected time of a call at the backend servers of each service, as recent probes found it. */
export class UsualDelay {
  private readonly byService = new Map<string, Usual>();

  /** Smoothed expected time at the service's backend servers, in usual work times. */
  expectedWork(service: string, nowMs: number): number {
    const usual = this.byService.get(service);
    return usual && nowMs - usual.notedAtMs < FORGET_AFTER_MS ? usual.expectedWork : ASSUMED_WORK;
  }

  /** Records the expected time at a server that was probed, in usual work times. */
  note(service: string, probedWork: number, nowMs: number): void {
    const before = this.expectedWork(service, nowMs);
    const expectedWork = before + PROBE_WEIGHT * (probedWork - before);
    this.byService.set(service, { expectedWork, notedAtMs: nowMs });
  }
}
