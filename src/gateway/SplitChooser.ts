import type { RandomSource } from '../common/Random.js';
import type { Destination, Route } from '../common/routing/Types.js';

/**
 * Step from one call to the next, as a share of all calls: the golden ratio's fractional part, whose
 * multiples are spread most evenly for every number of calls (Knuth, "The Art of Computer
 * Programming", volume 3, section 6.4, three-distance theorem).
 */
const STEP = (Math.sqrt(5) - 1) / 2;

/**
 * Destinations that calls of a route are sent to: those with a weight, or the first one if none has.
 *
 * @example
 * usedDestinations(route).some(({ service }) => service === 'ledger'); // false at weight 0
 */
export function usedDestinations({ destinations }: Route): readonly Destination[] {
  const weighted = destinations.filter(({ weight }) => weight > 0);
  return weighted.length > 0 ? weighted : destinations.slice(0, 1);
}

/**
 * Distributes the calls of each route over its services: the n-th call takes the point
 * `start + n * STEP` (modulo 1) on a line that is divided by the weights. From a random start, each
 * call goes to a service with a probability that is its share, at every gateway and from the first
 * call on. The point does not depend on the weights, so that it stays when the routing changes.
 */
export class SplitChooser {
  /** Point of the latest call of each route, from 0 to 1, by the name of the route. */
  private readonly points = new Map<string, number>();

  constructor(private readonly random: RandomSource) {}

  /** Number of routes whose point is kept. */
  get size(): number {
    return this.points.size;
  }

  /** Returns the service for the route's next call. */
  next(route: Route): string {
    const used = usedDestinations(route);
    const last = used.at(-1)!;
    if (used.length === 1) return last.service;
    const total = used.reduce((sum, { weight }) => sum + weight, 0);
    let rest = this.advance(route.name) * total;
    const chosen = used.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    });
    return (chosen ?? last).service;
  }

  /** Forgets all routes but these. */
  retain(routes: readonly Route[]): void {
    const names = new Set(routes.map(({ name }) => name));
    [...this.points.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.points.delete(name));
  }

  private advance(name: string): number {
    const point = ((this.points.get(name) ?? this.random.next()) + STEP) % 1;
    this.points.set(name, point);
    return point;
  }
}
