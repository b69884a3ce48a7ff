/** Counts since the last update. */
export interface Trials {
  readonly count: number;
  readonly badCount: number;
}

/** Options of a {@link SequentialTest}. */
export interface SequentialTestOptions {
  /** Smallest increase of the share of bad answers, among those good so far, that is a fault. */
  readonly minIncrease: number;
}

/** Largest share of bad answers of the old version with which a comparison still means anything. */
const BASE_RATE_MAX = 0.7;

/**
 * Cumulative sum test (Page 1954) of the share of bad answers: the log-likelihood ratio of a faulty
 * version to one as good as the old one, never below 0, so that a fault that begins late is found as
 * fast as one at once. The base rate is that of the old version and may change at each update.
 */
export class SequentialTest {
  private sum = 0;

  constructor(private readonly options: SequentialTestOptions) {}

  /** Log-likelihood ratio. */
  get ratio(): number {
    return this.sum;
  }

  /** Adds answers and returns the ratio. */
  add(trials: Trials, baseRate: number): number {
    this.sum = Math.max(0, this.sum + this.gain(trials, baseRate));
    return this.sum;
  }

  private gain({ count, badCount }: Trials, baseRate: number): number {
    const base = Math.min(BASE_RATE_MAX, baseRate);
    const faulty = base + this.options.minIncrease * (1 - base);
    const good = Math.max(0, count - badCount);
    return badCount * Math.log(faulty / base) + good * Math.log((1 - faulty) / (1 - base));
  }
}
