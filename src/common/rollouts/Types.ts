/** State of a rollout; all but `Running` are final. */
export enum RolloutState {
  Running = 'running',
  Completed = 'completed',
  RolledBack = 'rolled-back',
}

/** Move of a service's calls to backend servers of another version. */
export interface Rollout {
  readonly service: string;
  readonly toVersion: string;
  readonly state: RolloutState;
  /** Share of the service's calls that the new version receives, between 0 and 1. */
  readonly share: number;
  /** Unix time by which the rollout must have ended. */
  readonly dueAtMs: number;
  /** Unix time of the order. */
  readonly orderedAtMs: number;
  /** Log index of the order, which distinguishes rollouts of one service. */
  readonly orderIndex: number;
  /** Unix time of the last change of the share. */
  readonly shareSinceMs: number;
  /** Version that the previous rollout completed; omitted if every other version is the old one. */
  readonly fromVersion?: string;
  /** Versions that earlier rollouts of the service rejected; they receive no calls. */
  readonly rejectedVersions?: readonly string[];
}

/** Limits of all rollouts of a deployment. */
export interface RolloutSettings {
  /** Share of a service's calls that may reach a bad version before its deadline. */
  readonly exposureShare: number;
  /** Number of calls that may reach a bad version in addition to the share. */
  readonly exposureSlack: number;
}

/** Limits that the operators' requirements name (part 2 of docs/design/requirements.md). */
export const DEFAULT_ROLLOUT_SETTINGS: RolloutSettings = {
  exposureShare: 0.1,
  exposureSlack: 50,
};
