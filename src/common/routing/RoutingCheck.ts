import Result from 'true-myth/result';
import { EgretError, ErrorKind } from '../Errors.js';
import { customerFaults } from '../customers/CustomerFaults.js';
import type { Route, RoutingPatch, RoutingTable } from './Types.js';

/** Maximum timeout of a route: ten minutes, as specified in the users' protocol. */
export const TIMEOUT_MAX_MS = 600_000;

/** An objective this far above the timeout is an error, as specified in the users' protocol. */
export const OBJECTIVE_EXCESS_MS = 60_000;

function routeFaults(route: Route, services: ReadonlySet<string>): string[] {
  const faults: string[] = [];
  const place = `routes/${route.name}`;
  if (!route.pathPrefix.startsWith('/')) faults.push(`${place}: pathPrefix must begin with "/".`);
  if (!(route.timeoutMs > 0 && route.timeoutMs <= TIMEOUT_MAX_MS)) {
    faults.push(`${place}: timeoutMs must be between 1 and ${TIMEOUT_MAX_MS}.`);
  }
  if (route.objectiveMs >= route.timeoutMs + OBJECTIVE_EXCESS_MS) {
    faults.push(`${place}: objectiveMs is a minute or more above timeoutMs.`);
  }
  if (route.destinations.length === 0) faults.push(`${place}: no destination.`);
  route.destinations.forEach(({ service, weight }) => {
    if (!services.has(service)) faults.push(`${place}: unknown service ${service}.`);
    if (!(weight >= 0)) faults.push(`${place}: the weight of ${service} is below 0.`);
  });
  return faults;
}

/**
 * Checks a whole table and lists every fault.
 *
 * @example
 * checkRouting({ routes: [], services: [], limits }).isOk; // true
 */
export function checkRouting(table: RoutingTable): Result<RoutingTable, EgretError> {
  const services = new Set(table.services.map((service) => service.name));
  const faults = table.routes.flatMap((route) => routeFaults(route, services));
  const names = new Set<string>();
  table.routes.forEach((route) => {
    if (names.has(route.name)) faults.push(`routes/${route.name}: the name stands twice.`);
    names.add(route.name);
  });
  if (services.size < table.services.length) faults.push('services: a name stands twice.');
  faults.push(...customerFaults(table.customers ?? []));
  if (faults.length === 0) return Result.ok(table);
  return Result.err(new EgretError(ErrorKind.InvalidSettings, faults.join(' ')));
}

/** Removes items by name, replaces those of the same name in place and appends the others. */
function upsert<T extends { readonly name: string }>(
  items: readonly T[],
  changed: readonly T[],
  removed: readonly string[],
): T[] {
  const byName = new Map(items.map((item) => [item.name, item]));
  removed.forEach((name) => byName.delete(name));
  changed.forEach((item) => byName.set(item.name, item));
  return [...byName.values()];
}

/**
 * Applies a change of named items to a table.
 *
 * @example
 * patchRouting(table, { ...emptyPatch, removeRoutes: ['old'] }).routes;
 */
export function patchRouting(table: RoutingTable, patch: RoutingPatch): RoutingTable {
  const { upsertCustomers, removeCustomers = [] } = patch;
  const before = table.customers ?? (upsertCustomers && []);
  return {
    routes: upsert(table.routes, patch.upsertRoutes, patch.removeRoutes),
    services: upsert(table.services, patch.upsertServices, patch.removeServices),
    limits: patch.limits ?? table.limits,
    ...(before && { customers: upsert(before, upsertCustomers ?? [], removeCustomers) }),
  };
}
