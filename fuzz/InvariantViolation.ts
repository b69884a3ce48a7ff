/** Promised property that every run must satisfy; the text names it in failure reports. */
export enum Invariant {
  AnnouncementBudget = 'announcement budget',
  ColdLimit = 'cold backend servers run no more requests than their limit',
  ClosedZone = 'no new work in a closed availability zone',
  CompleteAnswers = 'each caller receives the complete answer to its own request',
  NotRun = 'a request reported as not run did not run',
  AtMostOnce = 'non-idempotent requests run at most once',
  Ended = 'a backend server that ended without a departure is dropped',
  Departure = 'no new work for a departing backend server',
  ActiveConfig = 'an accepted configuration takes effect and never reverts',
  Answered = 'every caller of a running entry host is answered',
  CrashContainment = 'one request crashes at most two backend servers',
  Directory = 'the directory leaves out entry hosts that reach no backend server',
  RequestLimit = 'no backend server gets more requests than the limit that it names',
  Slots = 'no backend server runs more requests than it has slots',
}

/** Thrown at the first violation of an invariant. */
export class InvariantViolation extends Error {
  constructor(
    readonly invariant: Invariant,
    detail: string,
  ) {
    super(`${invariant}: ${detail}`);
    this.name = 'InvariantViolation';
  }
}
