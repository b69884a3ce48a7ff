import type { Disturbance, Run } from '../Types.js';

/** Change of the routing that an operator sent. */
export interface SentVersion {
  readonly version: number;
  /** Service of the moved route. */
  readonly service: string;
  readonly sentMs: number;
  /** Infinite without a confirmation. */
  confirmedMs: number;
  /** Address that confirmed it. */
  confirmedBy: string;
}

/** What a request asks for. */
export enum ProbeKind {
  /** A route whose service changes with each version. */
  Moved = 'moved',
  /** A route that the version added. */
  Added = 'added',
}

/** Request of a client to one gateway. */
export interface Probe {
  readonly id: string;
  readonly machine: string;
  readonly kind: ProbeKind;
  /** Version that added the route. */
  readonly version: number;
  readonly sentMs: number;
  readonly status: number;
}

/** Kinds of a disturbance of links, as the rules tell them apart. */
export enum LinkDisturbanceKind {
  /** No path in one or both directions. */
  Cut = 'cut',
  Slow = 'slow',
}

/** Time in which the links between two machines were disturbed. */
export interface LinkDisturbance {
  readonly kind: LinkDisturbanceKind;
  readonly machine: string;
  readonly core: string;
  readonly fromMs: number;
  toMs: number;
}

/** All that a run has recorded. */
export interface RoutingRecord {
  readonly coreNames: readonly string[];
  readonly versions: SentVersion[];
  readonly probes: Probe[];
  readonly runs: Run[];
  readonly disturbances: Disturbance[];
  readonly linkDisturbances: LinkDisturbance[];
}

/** Request that was handled as only an older version allows. */
export interface Finding {
  readonly rule: 'late' | 'regressed';
  readonly probe: Probe;
  readonly detail: string;
  /** Why the rule does not count it; undefined if it counts. */
  readonly excuse: string | undefined;
}
