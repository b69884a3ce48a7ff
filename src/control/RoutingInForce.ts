import type { MissingProgress } from './RoutingProgress.js';

/** Dependencies of {@link RoutingInForce}. */
export interface RoutingInForceOptions {
  readonly missing: (index: number, nowMs: number) => MissingProgress;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Change of the routing that not all gateways in contact have applied. */
interface PendingRouting {
  readonly index: number;
  readonly version: number;
  /** Time at which the leader applied it, right after its commit. */
  readonly appliedAtMs: number;
  /** Gateways that had not applied it at the last check. */
  gatewayIds: readonly string[];
}

/**
 * Longest wait for the gateways, from the commit on. A change must be confirmed within 4 s; 1.5 s
 * remain for its way to the leader, its commit and the answer.
 */
export const IN_FORCE_WAIT_MS = 2_500;

/** Ids in one log line. */
const LOGGED_IDS_MAX = 20;

/**
 * Ids as one field of a log line.
 *
 * @example
 * joinIds(['a', 'b']); // 'a,b'
 */
export function joinIds(ids: readonly string[]): string {
  const named = ids.slice(0, LOGGED_IDS_MAX).join(',');
  return ids.length > LOGGED_IDS_MAX ? `${named} and ${ids.length - LOGGED_IDS_MAX} more` : named;
}

/** Measures at the leader how long each change takes until the last gateway has applied it. */
export class RoutingInForce {
  /** Time from the commit of the latest change in force to its application by the last gateway. */
  latestWaitMs = 0;

  private pending: PendingRouting[] = [];

  constructor(private readonly options: RoutingInForceOptions) {}

  noteCommitted(index: number, version: number, nowMs: number): void {
    this.pending.push({ index, version, appliedAtMs: nowMs, gatewayIds: [] });
  }

  /** Drops what an earlier leadership waited for. */
  reset(): void {
    this.pending = [];
  }

  /** Logs the changes that have come into force, and those whose wait has ended. */
  check(nowMs: number): void {
    this.pending = this.pending.filter((routing) => {
      const { gatewayIds, controlHostIds } = this.options.missing(routing.index, nowMs);
      const waitedMs = nowMs - routing.appliedAtMs;
      const isMissing = gatewayIds.length > 0 || controlHostIds.length > 0;
      if (isMissing && waitedMs < IN_FORCE_WAIT_MS) {
        routing.gatewayIds = gatewayIds;
        return true;
      }
      this.latestWaitMs = waitedMs;
      this.options.log('routing_in_force', {
        index: routing.index,
        version: routing.version,
        waitedMs: Math.round(waitedMs),
        lastGateway: (gatewayIds[0] ?? routing.gatewayIds[0]) || 'none',
        missing: joinIds([...gatewayIds, ...controlHostIds]),
      });
      return false;
    });
  }
}
