/** Promise of the brief that was broken. */
export enum Promised {
  MeasuringBudget = 'measuring budget',
  ColdServers = 'cold backend servers get no more than they bear',
  ZoneOut = 'no new work in a closed availability zone',
  WholeAnswers = 'each caller gets the whole answer to its own request',
  NotRun = '"not run" is true',
  AtMostOnce = 'non-idempotent requests run at most once',
  Leaving = 'no new work for a leaving backend server',
  InForce = 'an accepted configuration is in force and never reverts',
  Answered = 'every caller of a living entry host is answered',
  Killers = 'one request ends at most two backend servers',
  Slots = 'no backend server is sent more than its slots',
}

/** Thrown at the first broken promise. */
export class BrokenPromise extends Error {
  constructor(
    readonly promised: Promised,
    detail: string,
  ) {
    super(`${promised}: ${detail}`);
    this.name = 'BrokenPromise';
  }
}
