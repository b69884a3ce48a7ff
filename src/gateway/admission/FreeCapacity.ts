/** Result of a probe, as far as free capacity depends on it. */
export interface ProbedLoad {
  readonly hasFreeSlot: boolean;
  /** Expected time of a call there, in usual work times. */
  readonly expectedWork: number;
}

interface Capacity {
  freeShare: number;
  expectedWork: number;
  notedAtMs: number;
}

/** Weight of the newest probe; two that find a free slot lift the share from 0 above a quarter. */
const PROBE_WEIGHT = 0.2;

/**
 * Age after which the share is forgotten: the worst seconds count for callers, so that the state of
 * an earlier second must not decide.
 */
const FORGET_AFTER_MS = 2_000;

/** State without recent probes: idle backend servers at usual speed. */
const ASSUMED = { freeShare: 1, expectedWork: 1 };

/** Free capacity of each service as the recent probes of this gateway found it. */
export class FreeCapacity {
  private readonly byService = new Map<string, Capacity>();

  /** Smoothed share of the probes that found a free slot. */
  freeShare(service: string, nowMs: number): number {
    return this.recent(service, nowMs).freeShare;
  }

  /** Smoothed expected time at the service's backend servers, in usual work times. */
  expectedWork(service: string, nowMs: number): number {
    return this.recent(service, nowMs).expectedWork;
  }

  /** Records the answer to a probe. */
  note(service: string, probed: ProbedLoad, nowMs: number): void {
    const { freeShare, expectedWork } = this.recent(service, nowMs);
    const found = Number(probed.hasFreeSlot);
    this.byService.set(service, {
      freeShare: freeShare + PROBE_WEIGHT * (found - freeShare),
      expectedWork: expectedWork + PROBE_WEIGHT * (probed.expectedWork - expectedWork),
      notedAtMs: nowMs,
    });
  }

  private recent(service: string, nowMs: number): Omit<Capacity, 'notedAtMs'> {
    const capacity = this.byService.get(service);
    return capacity && nowMs - capacity.notedAtMs < FORGET_AFTER_MS ? capacity : ASSUMED;
  }
}
