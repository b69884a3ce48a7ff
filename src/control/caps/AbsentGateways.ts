import { DemandRate } from '../../common/caps/DemandRate.js';
import { USUAL_DEMAND_MS } from '../../common/caps/UsualDemand.js';
import type { UsageColumns } from '../../common/caps/Types.js';

/**
 * Time for which a gateway without a session is assumed to serve callers: a few lifetimes of the
 * list from which callers choose gateways, which no longer has it.
 */
const ASSUMED_MS = 15_000;

function add(sums: Map<string, number>, customer: string, calls: number): void {
  sums.set(customer, (sums.get(customer) ?? 0) + calls);
}

interface Gateway {
  /** Demand by customer, as the gateway reported it. */
  readonly demand: Map<string, DemandRate>;
  /** Parts of the customers' demand at the loss of the session; undefined while there is one. */
  lost: ReadonlyMap<string, number> | undefined;
  lostAtMs: number;
  /** Calls that were counted for this gateway since the loss, by customer. */
  readonly assumed: Map<string, number>;
}

/** Options of an {@link AbsentGateways}. */
export interface AbsentGatewaysOptions {
  /** Usual demand of a customer at all gateways together, in calls per second. */
  readonly usualPerSecond: (customer: string, nowMs: number) => number;
}

/**
 * Gateways that reported to this control host and then lost all control hosts, but may still serve
 * callers from their own allowance. Their calls are assumed until they return and report them.
 */
export class AbsentGateways {
  private readonly gateways = new Map<string, Gateway>();

  constructor(private readonly options: AbsentGatewaysOptions) {}

  get isEmpty(): boolean {
    return this.gateways.size === 0;
  }

  noteReport(gatewayId: string, usage: UsageColumns, nowMs: number): void {
    let gateway = this.gateways.get(gatewayId);
    if (!gateway) {
      gateway = { demand: new Map(), lost: undefined, lostAtMs: nowMs, assumed: new Map() };
      this.gateways.set(gatewayId, gateway);
    }
    const { demand } = gateway;
    usage.customers.forEach((customer, index) => {
      let rate = demand.get(customer);
      if (!rate) {
        rate = new DemandRate(USUAL_DEMAND_MS, nowMs);
        demand.set(customer, rate);
      }
      const calls = (usage.admittedDelta[index] ?? 0) + (usage.refusedDelta[index] ?? 0);
      rate.add(calls, nowMs);
    });
  }

  /**
   * Updates which gateways are absent.
   *
   * @param present - ids of the gateways with a session at any control host
   * @returns calls by customer that were assumed for gateways that are back
   */
  update(present: ReadonlySet<string>, nowMs: number): Map<string, number> {
    const returned = new Map<string, number>();
    this.gateways.forEach((gateway, id) => {
      if (present.has(id)) {
        gateway.assumed.forEach((calls, customer) => add(returned, customer, calls));
        gateway.assumed.clear();
        gateway.lost = undefined;
        gateway.lostAtMs = nowMs;
      } else if (nowMs - gateway.lostAtMs > ASSUMED_MS) this.gateways.delete(id);
      else gateway.lost ??= this.partsOf(gateway, nowMs);
    });
    return returned;
  }

  /** Parts of the demand that the absent gateways had, by customer. */
  lostParts(): Map<string, number> {
    const sums = new Map<string, number>();
    this.gateways.forEach(({ lost }) => lost?.forEach((part, name) => add(sums, name, part)));
    return sums;
  }

  /** Divides calls that were counted for the absent gateways among them. */
  noteAssumed(calls: ReadonlyMap<string, number>, parts: ReadonlyMap<string, number>): void {
    this.gateways.forEach(({ lost, assumed }) =>
      lost?.forEach((part, name) => {
        const sum = parts.get(name) ?? 0;
        if (sum > 0) add(assumed, name, ((calls.get(name) ?? 0) * part) / sum);
      }),
    );
  }

  private partsOf({ demand }: Gateway, nowMs: number): Map<string, number> {
    return new Map(
      [...demand].map(([customer, rate]): [string, number] => {
        const usual = this.options.usualPerSecond(customer, nowMs);
        return [customer, usual > 0 ? Math.min(1, rate.perSecond(nowMs) / usual) : 0];
      }),
    );
  }
}
