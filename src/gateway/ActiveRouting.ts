import type { RandomSource } from '../common/Random.js';
import { RouteIndex } from '../common/routing/RouteIndex.js';
import type { Rollout } from '../common/rollouts/Types.js';
import type { Route, RoutedService, RoutingTable, RoutingView } from '../common/routing/Types.js';
import { CustomerIndex } from './customers/CustomerIndex.js';
import { SplitChooser } from './SplitChooser.js';

/** Routing in force at one entry host; it never reverts to an older version. */
export class ActiveRouting {
  index: RouteIndex | null = null;

  table: RoutingTable | null = null;

  /** Null in deployments whose calls carry no keys. */
  customers: CustomerIndex | null = null;

  version = 0;

  /** Log index of the last change applied. */
  logIndex = 0;

  closedZones: readonly string[] = [];

  rollouts: readonly Rollout[] = [];

  private readonly split: SplitChooser;

  constructor(random: RandomSource) {
    this.split = new SplitChooser(random);
  }

  /** Applies a newer routing; returns false if it is not newer. */
  apply(view: RoutingView): boolean {
    if (view.index <= this.logIndex) return false;
    this.logIndex = view.index;
    this.closedZones = view.closedZones;
    this.rollouts = view.rollouts ?? [];
    if (view.table && view.version !== this.version) {
      this.table = view.table;
      this.index = new RouteIndex(view.table);
      this.customers = view.table.customers ? new CustomerIndex(view.table.customers) : null;
      this.split.reset();
    }
    this.version = view.version;
    return true;
  }

  /** Returns the service for the route's next call. */
  nextService(route: Route): RoutedService | undefined {
    return this.index?.service(this.split.next(route));
  }
}
