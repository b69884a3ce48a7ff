/** Weight of the newest observation in the running means. */
const NEWEST_WEIGHT = 0.05;

/** Work time assumed for a service that has not answered yet. */
const INITIAL_WORK_MS = 100;

/** Bound of an observation relative to the mean, so that one outlier does not move it far. */
const OBSERVED_MAX_RATIO = 4;

const BYTES_PER_KB = 1_000;

/** Running means of the work time at usual speed and of the answer size. */
export class WorkEstimates {
  private readonly workByService = new Map<string, number>();

  private readonly kilobytesByRoute = new Map<string, number>();

  /** Usual time that the service's backend servers take for a call. */
  workMs(service: string): number {
    return this.workByService.get(service) ?? INITIAL_WORK_MS;
  }

  /** Usual size of the route's answers. */
  answerKilobytes(route: string): number {
    return this.kilobytesByRoute.get(route) ?? 0;
  }

  /** Records the duration and size of an answer, and the slowdown reported for it. */
  note(service: string, route: string, elapsedMs: number, slowdown: number, bytes: number): void {
    const meanMs = this.workMs(service);
    const observedMs = Math.min(elapsedMs / Math.max(1, slowdown), meanMs * OBSERVED_MAX_RATIO);
    this.workByService.set(service, meanMs + NEWEST_WEIGHT * (observedMs - meanMs));
    const kilobytes = bytes / BYTES_PER_KB;
    const mean = this.kilobytesByRoute.get(route);
    this.kilobytesByRoute.set(
      route,
      mean === undefined ? kilobytes : mean + NEWEST_WEIGHT * (kilobytes - mean),
    );
  }
}
