import { RouteKind, type Route, type RoutedService, type RoutingTable } from './Types.js';

/** Creates an idempotent route, for tests. */
export function createRoute(name: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'calls.example',
    pathPrefix: `/${name}/`,
    kind: RouteKind.Idempotent,
    destinations: [{ service: 'alpha', weight: 1 }],
    timeoutMs: 1_200,
    attemptsMax: 2,
    objectiveMs: 250,
    priority: 1,
    ...changes,
  };
}

/** Creates a service, for tests. */
export function createService(name = 'alpha', changes: Partial<RoutedService> = {}): RoutedService {
  return {
    name,
    healthPath: '/health',
    connectionsMax: 280,
    coldMs: 3_000,
    coldPerSecond: 9.4,
    ...changes,
  };
}

/** Creates a routing table, for tests. */
export function createTable(routes: readonly Route[] = [createRoute('read')]): RoutingTable {
  return {
    routes,
    services: [createService()],
    limits: {
      headerBytesMax: 16_384,
      bodyBytesMax: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
