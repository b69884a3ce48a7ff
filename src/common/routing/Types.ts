import type { Rollout } from '../rollouts/Types.js';

/** Kind of a route's calls; determines whether a call with an unknown outcome may run again. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Idempotent, with answers of many kilobytes. */
  LargeAnswer = 'large-answer',
  /** May run at most once for each call. */
  NonIdempotent = 'non-idempotent',
}

/** One service of a route, with its share of the route's calls. */
export interface Destination {
  readonly service: string;
  readonly weight: number;
}

/** Maps calls of one caller-facing host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly Destination[];
  /** Maximum time until the caller gets an answer. */
  readonly timeoutMs: number;
  /** Maximum number of backend servers that one call is sent to. */
  readonly attemptsMax: number;
  /** Latency objective: an answer after this time has less than its full value. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if calls need no key although the table has customers. */
  readonly isOpen?: boolean;
  /** Document as the operator's client submitted it, kept to be returned unchanged. */
  readonly source?: unknown;
}

/** Settings of a service that its routes refer to, without its backend servers. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all entry hosts. */
  readonly connectionsMax: number;
  /** How long a backend server stays cold after its start. */
  readonly coldMs: number;
  /** Calls per second that a cold backend server can handle from all entry hosts. */
  readonly coldPerSecond: number;
  readonly source?: unknown;
}

/** Limits on the size of a request and on the time that a caller may take. */
export interface CallerLimits {
  readonly headerBytesMax: number;
  readonly bodyBytesMax: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly source?: unknown;
}

/** Customer whose calls carry one of its keys. */
export interface Customer {
  readonly name: string;
  /** Keys as issued; empty at gateways, which hold only their digests. */
  readonly keys: readonly string[];
  /** SHA-256 digests of the keys, in hexadecimal; set only at gateways. */
  readonly keyDigests?: readonly string[];
  /** Takes precedence over the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Calls per second allowed over all gateways together; 0 or omitted for no limit. */
  readonly ratePerSecond?: number;
  /** Calls allowed at once in addition to the rate. */
  readonly burst?: number;
  /** Document as the operator's client submitted it, kept to be returned unchanged. */
  readonly source?: unknown;
}

/** All routes and services of one version. */
export interface RoutingTable {
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Customers; omitted in deployments whose calls carry no keys. */
  readonly customers?: readonly Customer[];
}

/** Change of named items; the rest of the table is unchanged. */
export interface RoutingPatch {
  readonly upsertRoutes: readonly Route[];
  readonly upsertServices: readonly RoutedService[];
  readonly removeRoutes: readonly string[];
  readonly removeServices: readonly string[];
  readonly limits?: CallerLimits;
  readonly upsertCustomers?: readonly Customer[];
  readonly removeCustomers?: readonly string[];
}

/** Routing in force: table, version and closed availability zones at a log index. */
export interface RoutingView {
  /** Log index of the last change. */
  readonly index: number;
  /** Version that the operator chose; 0 before the first table. */
  readonly version: number;
  readonly table: RoutingTable | null;
  /** Availability zones whose backend servers receive no calls. */
  readonly closedZones: readonly string[];
  /** Rollouts of services, at most one for each; omitted where there is none. */
  readonly rollouts?: readonly Rollout[];
}
