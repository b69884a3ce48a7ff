import type { PongMessage } from '../common/Messages.js';
import type { RandomSource } from '../common/Random.js';
import type { RoutingView } from '../common/routing/Types.js';
import { ActiveRouting } from './ActiveRouting.js';
import type { DecisionLog } from './DispatchTypes.js';
import { RoutingLag } from './RoutingLag.js';

/** Options of a {@link GatewayRouting}. */
export interface GatewayRoutingOptions {
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Sends a heartbeat to the control hosts at once. */
  readonly ping: () => void;
  /** Registers a gauge that is read at each scrape. */
  readonly gauge: (name: string, help: string, read: () => number) => void;
  readonly log: DecisionLog;
}

/** Routing of a gateway, and what the gateway knows about newer ones. */
export class GatewayRouting {
  readonly active: ActiveRouting;

  private readonly lag = new RoutingLag();

  constructor(private readonly options: GatewayRoutingOptions) {
    this.active = new ActiveRouting(options.random);
    this.registerGauges();
  }

  /** Applies a routing that a control host sent; returns false if it is not newer. */
  apply(view: RoutingView, control: string): boolean {
    const { active, lag, options } = this;
    const before = active.version;
    const newest = Math.max(lag.newestIndex, view.index);
    const behindMs = lag.behindMs(options.nowMs());
    if (!active.apply(view)) return false;
    lag.noteApplied(view.index);
    options.log('routing_applied', {
      index: view.index,
      version: view.version,
      before,
      control,
      newest,
      behindMs,
      closedZones: view.closedZones.join(','),
    });
    options.ping();
    return true;
  }

  /** Takes the answer of a control host to a heartbeat. */
  notePong({ routingIndex, isCurrent }: PongMessage): void {
    if (routingIndex === undefined || isCurrent !== true) return;
    this.lag.noteReported(routingIndex, this.options.nowMs());
  }

  private registerGauges(): void {
    const { active, lag, options } = this;
    options.gauge('egret_routing_version', 'Routing in force.', () => active.version);
    options.gauge(
      'egret_routing_index',
      'Log index of the applied routing.',
      () => active.logIndex,
    );
    options.gauge(
      'egret_routing_newest_index',
      'Log index of the newest routing heard of.',
      () => lag.newestIndex,
    );
    options.gauge(
      'egret_routing_behind_seconds',
      'Time since a routing newer than the applied one was first reported; 0 if none is.',
      () => lag.behindMs(options.nowMs()) / 1_000,
    );
  }
}
