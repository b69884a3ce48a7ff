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

  /** Applies a newer routing; returns false if it is not newer, throws if it can't be read. */
  apply(view: RoutingView): boolean {
    if (view.index <= this.logIndex) return false;
    const { table } = view;
    if (table && view.version !== this.version) {
      // Both are built before anything changes, so that a routing applies as a whole or not at all.
      const index = new RouteIndex(table);
      const customers = table.customers ? new CustomerIndex(table.customers) : null;
      this.table = table;
      this.index = index;
      this.customers = customers;
      this.split.retain(table.routes);
    }
    this.logIndex = view.index;
    this.closedZones = view.closedZones;
    this.rollouts = view.rollouts ?? [];
    this.version = view.version;
    return true;
  }

  /** Returns the service for the route's next call. */
  nextService(route: Route): RoutedService | undefined {
    return this.index?.service(this.split.next(route));
  }
}
