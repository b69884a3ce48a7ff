import type { RolloutState } from '../../common/rollouts/Types.js';
import type { CommandType } from '../Commands.js';

/** Orders a rollout of a service. */
export interface RolloutOrderCommand {
  readonly type: CommandType.RolloutOrder;
  readonly service: string;
  readonly toVersion: string;
  readonly durationMs: number;
  readonly actor: string;
  readonly atMs: number;
}

/** Changes the share of a running rollout, or ends it. */
export interface RolloutVerdictCommand {
  readonly type: CommandType.RolloutVerdict;
  readonly service: string;
  /** Order that the verdict is about; without effect on any other. */
  readonly orderIndex: number;
  readonly state: RolloutState;
  readonly share: number;
  /** Reason, for the audit trail. */
  readonly reason: string;
  readonly actor: string;
  readonly atMs: number;
}

/** Verdict on an order. */
export enum RolloutOrderVerdict {
  Accepted = 'accepted',
  /** Another rollout of the service is running. */
  Running = 'running',
  /** The routing in force has no such service. */
  UnknownService = 'unknown-service',
}
