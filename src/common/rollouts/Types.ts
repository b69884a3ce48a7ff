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
}
