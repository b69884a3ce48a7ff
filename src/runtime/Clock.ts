import { performance } from 'node:perf_hooks';

/** Source of time, injected so that tests can pass their own. */
export interface Clock {
  /** Monotonic time for leases, timeouts and latencies. */
  nowMs(): number;
  /** Unix time, for timestamps that people read. */
  wallMs(): number;
}

/** Clock of the host. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
};
