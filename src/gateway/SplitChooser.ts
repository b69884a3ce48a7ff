import type { RandomSource } from '../common/Random.js';
import type { Route } from '../common/routing/Types.js';

/**
 * Distributes the calls of each route over its services by smooth weighted round robin, from a
 * random start, so that the shares hold over all entry hosts even for few calls.
 */
export class SplitChooser {
  private readonly credits = new Map<string, number[]>();

  constructor(private readonly random: RandomSource) {}

  /** Returns the service for the route's next call. */
  next(route: Route): string {
    const { destinations } = route;
    if (destinations.length === 1) return destinations[0]!.service;
    const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    if (total <= 0) return destinations[0]!.service;
    const credits = this.creditsOf(route, total);
    let chosen = 0;
    destinations.forEach((destination, index) => {
      credits[index]! += destination.weight;
      if (credits[index]! > credits[chosen]!) chosen = index;
    });
    credits[chosen]! -= total;
    return destinations[chosen]!.service;
  }

  private creditsOf(route: Route, total: number): number[] {
    const key = JSON.stringify([route.name, route.destinations]);
    const existing = this.credits.get(key);
    if (existing) return existing;
    const created = route.destinations.map(() => this.random.next() * total);
    this.credits.set(key, created);
    return created;
  }

  /** Drops the state of all routes after a change of the routing table. */
  reset(): void {
    this.credits.clear();
  }
}
