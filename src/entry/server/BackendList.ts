import type { Pools } from '../Pools.js';

/** Entry of the backend server list on the admin listener. */
export interface BackendListItem {
  readonly service: string;
  readonly backend: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: string;
  readonly leased: boolean;
  readonly slots: number;
  readonly limit: number;
  readonly cold: boolean;
  readonly inFlight: number;
  readonly latencyMs: number;
}

/**
 * Lists the backend servers in a host's pools, except those whose lease was released.
 *
 * @example
 * listBackends(reducer.pools, clock.nowMs()).backends.length;
 */
export function listBackends(pools: Pools, nowMs: number): { backends: BackendListItem[] } {
  const backends: BackendListItem[] = [];
  pools.forEach((pool) => {
    pool.records.forEach((record) => {
      if (record.released) return;
      backends.push({
        service: pool.service,
        backend: record.id,
        availabilityZone: record.availabilityZone,
        incarnation: record.incarnation,
        state: record.state,
        leased: record.isLeased(nowMs),
        slots: record.slots,
        limit: record.limit.current,
        cold: record.limit.cold,
        inFlight: record.inFlight,
        latencyMs: record.latencyMs,
      });
    });
  });
  return { backends };
}
