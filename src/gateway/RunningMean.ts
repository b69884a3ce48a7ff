/** Smallest weight of a new observation, once enough have been made. */
const NEWEST_WEIGHT = 0.05;

/**
 * Running mean that follows its first observations closely.
 *
 * @example
 * const mean = new RunningMean(100, 1);
 * mean.note(200); // mean.value is 150
 */
export class RunningMean {
  /**
   * Creates a mean with an assumed value.
   *
   * @param count Number of observations that the assumption counts for.
   */
  constructor(
    public value: number,
    private count: number,
  ) {}

  note(observed: number): void {
    this.count += 1;
    this.value += Math.max(NEWEST_WEIGHT, 1 / this.count) * (observed - this.value);
  }
}
