import { PacedBucket, type Pace } from '../../common/PacedBucket.js';
import type { BackendView } from '../BackendView.js';
import { GatewayCounts, type CountedGateway } from './GatewayCounts.js';

/** Options of a {@link ProbeBudget}. */
export interface ProbeBudgetOptions {
  /** Probes that one backend server receives per second from all gateways together. */
  readonly probesPerServerPerSecond: number;
  /** Own availability zone. */
  readonly availabilityZone: string;
  /** Start of this gateway. */
  readonly startedAtMs: number;
  /** Number of backend servers known for a service. */
  readonly serversOf: (service: string) => number;
}

/**
 * Time whose share a bucket holds at most. Calls come unevenly to one gateway among hundreds: with
 * less, it is without probes in one moment and leaves its share unused in the next.
 */
const BURST_SECONDS = 0.4;

/** Share of the limit that is spent steadily; what gateways save up for bursts takes the rest. */
const STEADY_SHARE = 0.93;

/**
 * Smallest burst: the candidates of the own zone that one pick probes at most. A service of few servers
 * has a share of a few probes a second at each gateway, and calls that come just as seldom.
 */
const BURST_MIN = 8;

/**
 * Probes of one backend server in a row: its own share is below one per second with more gateways
 * than the limit, and random candidates come unevenly. Over time its share still holds.
 */
const SERVER_BURST = 6;

/** Probes of one backend server in a row at the start. */
const SERVER_BURST_FIRST = 3;

/**
 * Share of a backend server's probes for the gateways of its zone. Picks search their own zone first
 * and others only when that has no room.
 */
const OWN_ZONE_SHARE = 0.75;

const MS_PER_SECOND = 1_000;

/** Backend server as far as its budget depends on it. */
export type ProbedServer = Pick<BackendView, 'record'>;

/**
 * Part of this gateway in the probes that backend servers receive. Every service has a bucket of its
 * own and so has every backend server, since the limit holds for each one: picks prefer servers that
 * accept calls, and under load these would get a multiple of the mean. The buckets of services are
 * empty at the start of the gateway, so that restarts add no probes.
 */
export class ProbeBudget {
  private readonly buckets = new Map<string, PacedBucket>();

  private readonly serverBuckets = new WeakMap<ProbedServer, PacedBucket>();

  private readonly gateways = new GatewayCounts();

  constructor(private readonly options: ProbeBudgetOptions) {}

  /** Applies the list of live gateways. */
  setGateways(gateways: readonly CountedGateway[], nowMs: number): void {
    this.gateways.update(gateways, nowMs);
  }

  /** Own share of the probes of a service per second; 0 until the first list of gateways. */
  perSecond(service: string, nowMs: number): number {
    const { probesPerServerPerSecond, serversOf } = this.options;
    const servers = serversOf(service);
    const listed = this.gateways.total(nowMs);
    // While a list grows, the others are assumed to be about as many as the servers.
    const assumed = this.gateways.isSettled(nowMs) ? listed : Math.max(listed, servers);
    return listed === 0 ? 0 : (probesPerServerPerSecond * servers) / assumed;
  }

  /**
   * Takes one probe from the budget; false if it is used up.
   *
   * @param reservedShare - share of the service's full bucket that is left to others
   */
  tryTake(view: ProbedServer, nowMs: number, reservedShare = 0): boolean {
    const { service } = view.record;
    const pace = this.pace(service, nowMs);
    const reserved = pace.burst * reservedShare;
    if (this.bucket(service).available(pace, nowMs) < Math.max(1, reserved)) return false;
    const serverPace = this.serverPace(view, nowMs);
    if (!this.serverBucket(view, serverPace, nowMs).hasToken(serverPace, nowMs)) return false;
    this.charge(view, nowMs);
    return true;
  }

  /** Counts a probe that is sent whatever the budget is, such as a crash check; later ones wait. */
  charge(view: ProbedServer, nowMs: number): void {
    const { service } = view.record;
    this.bucket(service).take(this.pace(service, nowMs), nowMs);
    const serverPace = this.serverPace(view, nowMs);
    this.serverBucket(view, serverPace, nowMs).take(serverPace, nowMs);
  }

  /** Own share of the probes of one backend server; the shares of all gateways add up to its limit. */
  private serverPace({ record }: ProbedServer, nowMs: number): Pace {
    const { probesPerServerPerSecond: limit, availabilityZone } = this.options;
    const total = this.gateways.total(nowMs);
    const inZone = this.gateways.inZone(record.availabilityZone, nowMs);
    const others = total - inZone;
    if (total === 0) return { perSecond: 0, burst: SERVER_BURST };
    if (inZone === 0 || others === 0) return { perSecond: limit / total, burst: SERVER_BURST };
    const perSecond =
      record.availabilityZone === availabilityZone
        ? (limit * OWN_ZONE_SHARE) / inZone
        : (limit * (1 - OWN_ZONE_SHARE)) / others;
    return { perSecond, burst: SERVER_BURST };
  }

  /** Bucket of a backend server; it does not start empty, since that of the service bounds a restart. */
  private serverBucket(view: ProbedServer, { perSecond }: Pace, nowMs: number): PacedBucket {
    const known = this.serverBuckets.get(view);
    if (known) return known;
    const filledForMs = perSecond === 0 ? 0 : (SERVER_BURST_FIRST * MS_PER_SECOND) / perSecond;
    const created = new PacedBucket(nowMs - filledForMs);
    this.serverBuckets.set(view, created);
    return created;
  }

  private pace(service: string, nowMs: number): Pace {
    const perSecond = this.perSecond(service, nowMs);
    const burst = Math.max(BURST_MIN, perSecond * BURST_SECONDS);
    return { perSecond: perSecond * STEADY_SHARE, burst };
  }

  private bucket(service: string): PacedBucket {
    const known = this.buckets.get(service);
    if (known) return known;
    const created = new PacedBucket(this.options.startedAtMs);
    this.buckets.set(service, created);
    return created;
  }
}
