/** Life-cycle state that a backend server announces. */
export enum BackendLifecycleState {
  Starting = 'starting',
  Ready = 'ready',
  Draining = 'draining',
  Stopped = 'stopped',
}

/** Whether an availability zone receives new calls. */
export enum ZoneState {
  In = 'in',
  Out = 'out',
}

/** Outcome of a refused call, as far as it is known. */
export enum Outcome {
  NotRun = 'not-run',
  Unknown = 'unknown',
  InProgress = 'in-progress',
  Quarantined = 'quarantined',
}

/** Policy by which an entry host selects a backend server. */
export enum PolicyName {
  Leaseholder = 'leaseholder',
  RoundRobin = 'round_robin',
  TwoChoices = 'two_choices',
}

/** Permission level of an operator. */
export enum Role {
  Reader = 'reader',
  Operator = 'operator',
  Administrator = 'administrator',
}

/** Behaviour of an entry host that cannot prove that its settings are current. */
export enum WhenStale {
  Refuse = 'refuse',
  Serve = 'serve',
}

/** Levels of the log, most severe first. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}
