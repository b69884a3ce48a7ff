import { BackendStandin, type Fault } from '../../standin/BackendStandin.js';
import { serviceToken } from '../../standin/Deployments.js';
import type { BackendFigures, FaultParams, KeyedRun, StartBackendsParams } from './Protocol.js';

/** Stand-in backend servers in a bench process. */
export class BackendsRole {
  private readonly backends: BackendStandin[] = [];

  /** Runs of requests with an idempotency key, in order. */
  private readonly runs: KeyedRun[] = [];

  /** Announcements that each backend server had sent by the last reset. */
  private announcedAtReset: number[] = [];

  readonly methods = {
    start: async ({ specs, seeds }: StartBackendsParams) => {
      specs.forEach((spec) => {
        this.backends.push(
          new BackendStandin({
            ...spec,
            seeds,
            token: serviceToken(spec.service),
            runLog: { recordRun: (key, sending) => this.runs.push({ key, sending }) },
            seed: this.backends.length + process.pid,
          }),
        );
      });
      await Promise.all(this.backends.map((backend) => backend.start()));
      return this.backends.map((backend) => backend.port);
    },
    runs: () => this.runs,
    setFault: ({ indices, fault }: FaultParams) => {
      indices.forEach((index) => {
        this.backends[index]!.fault = fault as Fault;
      });
    },
    turnCold: ({ indices }: { indices: readonly number[] }) => {
      indices.forEach((index) => this.backends[index]!.turnCold());
    },
    reset: () => {
      this.backends.forEach((backend) => backend.resetFigures());
      this.announcedAtReset = this.backends.map((backend) => backend.announcer?.sentCount ?? 0);
    },
    figures: (): BackendFigures[] =>
      this.backends.map((backend, index) => ({
        service: backend.options.service,
        availabilityZone: backend.options.availabilityZone,
        requests: backend.figures.requests,
        peakInFlight: backend.figures.peakInFlight,
        overSlots: backend.figures.overSlots,
        overCold: backend.figures.overCold,
        announcements: (backend.announcer?.sentCount ?? 0) - (this.announcedAtReset[index] ?? 0),
        lastRequestWallMs: performance.timeOrigin + backend.figures.lastRequestAtMs,
      })),
  };
}
