import type { RoutingView } from '../common/routing/Types.js';
import { IN_FORCE_WAIT_MS, joinIds } from './RoutingInForce.js';
import type { MissingProgress, ProgressCoverage } from './RoutingProgress.js';

/** Dependencies of {@link RoutingConfirmations}. */
export interface RoutingConfirmationsOptions {
  readonly missing: (index: number, nowMs: number) => MissingProgress;
  readonly coverage: (nowMs: number) => ProgressCoverage;
  /** Confirms a change to the operator. */
  readonly confirm: (requestId: string, body: unknown) => void;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Change that is confirmed once the gateways in contact apply it. */
interface PendingConfirmation {
  readonly body: unknown;
  readonly index: number;
  readonly arrivedAtMs: number;
  /** Gateways and control hosts that it waited for at the last check. */
  missing: readonly string[];
}

/** Request for a change of the routing, or a repeated one. */
export interface RoutingRequest {
  readonly requestId: string;
  readonly arrivedAtMs: number;
}

/** Routing that this host has applied. */
interface AppliedRouting {
  readonly index: number;
  readonly version: number;
  readonly atMs: number;
}

/**
 * Wait for gateways to apply a change, after which those that know of it are not waited for: each applies
 * it within 1.4 s or refuses calls, while it must be in force 2 s after the confirmation. Operators send
 * a change again, elsewhere, after a second without an answer; 0.3 s of it are for way and commit.
 */
export const APPLIED_WAIT_MS = 700;

/** Wait in the log for a routing whose application this host did not record. */
const UNKNOWN_WAIT_MS = -1;

/** Number of routings whose time of application is kept; a resend comes within seconds. */
const MAX_APPLIED = 1_000;

/**
 * Confirmations of changes of the routing. Each waits until every gateway in contact applies the
 * change; from {@link APPLIED_WAIT_MS} after its commit on, for those only that do not know of it, and
 * no longer than {@link IN_FORCE_WAIT_MS}: a gateway that does not apply it must not keep operators from
 * changes.
 *
 * @example
 * const request = { requestId: 'request-1', arrivedAtMs: nowMs - 12 };
 * confirmations.add(request, { version: 7 }, 120, nowMs); // confirmed now or by release
 */
export class RoutingConfirmations {
  /** Time from the arrival of the latest confirmed change to its confirmation. */
  latestTookMs = 0;

  private readonly pending = new Map<string, PendingConfirmation>();

  private readonly applied: AppliedRouting[] = [];

  private closedZones: readonly string[] = [];

  /** Log index of the latest closure or opening, by zone. */
  private readonly zoneIndexes = new Map<string, number>();

  constructor(private readonly options: RoutingConfirmationsOptions) {}

  /** Records a routing that this host has applied, as the leader or not. */
  noteApplied({ index, version, closedZones }: RoutingView, nowMs: number): void {
    this.applied.push({ index, version, atMs: nowMs });
    const changed = [...this.closedZones, ...closedZones].filter(
      (zone) => this.closedZones.includes(zone) !== closedZones.includes(zone),
    );
    changed.forEach((zone) => this.zoneIndexes.set(zone, index));
    this.closedZones = closedZones;
    if (this.applied.length > MAX_APPLIED) this.applied.shift();
  }

  /** Log index of the first routing of a version; undefined if this host did not record it. */
  indexOf(version: number): number | undefined {
    return this.applied.find((routing) => routing.version === version)?.index;
  }

  /** Log index at which a zone was closed or opened last; undefined if this host did not record it. */
  indexOfZone(zone: string): number | undefined {
    return this.zoneIndexes.get(zone);
  }

  /** Confirms a change now, or once it is in force. */
  add(request: RoutingRequest, body: unknown, index: number, nowMs: number): void {
    const { requestId, arrivedAtMs } = request;
    this.pending.set(requestId, { body, index, arrivedAtMs, missing: [] });
    this.release(nowMs);
  }

  /** Confirms the changes that are in force, or whose wait has ended; called periodically. */
  release(nowMs: number): void {
    const checked = new Map<number, MissingProgress>();
    this.pending.forEach((pending, requestId) => {
      const { body, index, arrivedAtMs, missing: lastMissing } = pending;
      const progress = checked.get(index) ?? this.options.missing(index, nowMs);
      checked.set(index, progress);
      const waitedMs = nowMs - this.appliedAtMs(index);
      const aware = waitedMs < APPLIED_WAIT_MS ? [] : progress.awareIds;
      const awaited = progress.gatewayIds.filter((id) => !aware.includes(id));
      const missing = [...awaited, ...progress.controlHostIds];
      if (missing.length > 0) {
        pending.missing = missing;
        if (waitedMs < IN_FORCE_WAIT_MS) return;
        const fields = { index, waitedMs: Math.round(waitedMs), missing: joinIds(missing) };
        this.options.log('confirmed_not_in_force', fields);
      }
      this.pending.delete(requestId);
      const { gateways, reported, leftOut } = this.options.coverage(nowMs);
      this.latestTookMs = nowMs - arrivedAtMs;
      this.options.log('routing_confirmed', {
        index,
        waitedMs: Number.isFinite(waitedMs) ? Math.round(waitedMs) : UNKNOWN_WAIT_MS,
        tookMs: Math.round(this.latestTookMs),
        lastMissing: joinIds(lastMissing),
        aware: joinIds(aware),
        gateways,
        reported: joinIds(reported),
        leftOut: joinIds(leftOut),
      });
      this.options.confirm(requestId, body);
    });
  }

  /** Removes and returns the ids of the requests that wait. */
  takeAll(): string[] {
    const requestIds = [...this.pending.keys()];
    this.pending.clear();
    return requestIds;
  }

  /** Time at which this host applied a routing, or the first one after it that it recorded. */
  private appliedAtMs(index: number): number {
    const applied = this.applied.find((routing) => routing.index >= index);
    return applied?.atMs ?? Number.NEGATIVE_INFINITY;
  }
}
