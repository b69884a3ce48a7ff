import type { RoutingPatch, RoutingTable } from '../common/routing/Types.js';
import type { CommandType } from './Commands.js';

/** A complete table, or a patch of named items of the table in force. */
export type RoutingEdit = { readonly table: RoutingTable } | { readonly patch: RoutingPatch };

/** Compare-and-set of the routing table. */
export interface RoutingChangeCommand {
  readonly type: CommandType.RoutingChange;
  /** Same for every resend of one change. */
  readonly changeId: string;
  /** Version that the change builds on. */
  readonly baseVersion: number;
  /** Version that the operator chose for the result. */
  readonly version: number;
  readonly edit: RoutingEdit;
  readonly actor: string;
  readonly atMs: number;
}

/** Closes an availability zone for every service, or opens it again. */
export interface ZoneClosureCommand {
  readonly type: CommandType.ZoneClosure;
  readonly zone: string;
  readonly closed: boolean;
  readonly actor: string;
  readonly atMs: number;
}
