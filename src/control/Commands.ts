import type { ErrorKind } from '../common/Errors.js';
import type { ClaimOutcome, ReplayAnswer } from '../common/Messages.js';
import type { SettingsTree } from '../common/SettingsSchema.js';
import type { Membership } from './raft/Types.js';
import type { RolloutOrderCommand, RolloutVerdictCommand } from './rollouts/RolloutCommands.js';
import type { RoutingChangeCommand, ZoneClosureCommand } from './RoutingCommands.js';

/** Kinds of commands in the replicated log. */
export enum CommandType {
  Noop = 'noop',
  Membership = 'membership',
  Bootstrap = 'bootstrap',
  Change = 'change',
  Refusal = 'refusal',
  Claim = 'claim',
  Settle = 'settle',
  RoutingChange = 'routing-change',
  ZoneClosure = 'zone-closure',
  RolloutOrder = 'rollout-order',
  RolloutVerdict = 'rollout-verdict',
}

export interface NoopCommand {
  readonly type: CommandType.Noop;
}

export interface MembershipCommand {
  readonly type: CommandType.Membership;
  readonly membership: Membership;
  readonly actor: string;
  readonly atMs: number;
}

export interface BootstrapCommand {
  readonly type: CommandType.Bootstrap;
  readonly tree: SettingsTree;
  readonly atMs: number;
}

/** Compare-and-set of one value of the settings tree. */
export interface ChangeCommand {
  readonly type: CommandType.Change;
  readonly changeId: string;
  readonly baseRevision: number;
  readonly path: string;
  /** New value; null removes it. */
  readonly value: unknown;
  readonly actor: string;
  readonly atMs: number;
}

/** Refused request, kept for the audit trail. */
export interface RefusalCommand {
  readonly type: CommandType.Refusal;
  readonly path: string;
  readonly kind: ErrorKind;
  readonly actor: string;
  readonly atMs: number;
}

/** Permission to run a non-idempotent call once. */
export interface ClaimCommand {
  readonly type: CommandType.Claim;
  readonly key: string;
  readonly service: string;
  /** Hash of method, path and body; must be equal in every request with this key. */
  readonly fingerprint: string;
  readonly attemptId: string;
  readonly entryHostId: string;
  /** Time without a result after which the outcome counts as unknown. */
  readonly holdMs: number;
  readonly atMs: number;
}

/** Result of a claimed call. */
export interface SettleCommand {
  readonly type: CommandType.Settle;
  readonly key: string;
  readonly service: string;
  readonly attemptId: string;
  readonly outcome: ClaimOutcome;
  readonly answer: ReplayAnswer | null;
  readonly atMs: number;
}

export type Command =
  | NoopCommand
  | MembershipCommand
  | BootstrapCommand
  | ChangeCommand
  | RefusalCommand
  | ClaimCommand
  | SettleCommand
  | RoutingChangeCommand
  | ZoneClosureCommand
  | RolloutOrderCommand
  | RolloutVerdictCommand;
