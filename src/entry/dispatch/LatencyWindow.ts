import { build, type Histogram } from 'hdr-histogram-js';

const WINDOW_MS = 5_000;
const REFRESH_MS = 100;
const MICROSECONDS_PER_MS = 1_000;
/** Longest recordable latency, one hour; longer ones are recorded as one hour. */
const HIGHEST_MICROSECONDS = 3_600_000_000;
const PERCENT = 100;
const MEDIAN_PERCENT = 50;

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

/** Recent latency distribution of one service, over the current and the previous window. */
export class LatencyWindow {
  private current = createHistogram();

  private previous = createHistogram();

  private windowEndsMs = 0;

  private refreshAtMs = 0;

  /** Median, as of the last refresh; 0 without answers. */
  medianMs = 0;

  /** Latency at the hedge quantile, as of the last refresh; 0 without answers. */
  hedgeMs = 0;

  meanMs = 0;

  constructor(private readonly hedgeQuantile: number) {}

  /** Records one answer; runs for every call. */
  record(latencyMs: number): void {
    const microseconds = Math.round(latencyMs * MICROSECONDS_PER_MS);
    this.current.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, microseconds)));
  }

  /** Rotates the windows and recomputes the quantiles when they are due. */
  refresh(nowMs: number): void {
    if (nowMs < this.refreshAtMs) return;
    this.refreshAtMs = nowMs + REFRESH_MS;
    if (nowMs >= this.windowEndsMs) {
      const oldest = this.previous;
      this.previous = this.current;
      oldest.reset();
      this.current = oldest;
      this.windowEndsMs = nowMs + WINDOW_MS;
    }
    const source =
      this.current.totalCount >= this.previous.totalCount / 2 ? this.current : this.previous;
    if (source.totalCount === 0) return;
    this.medianMs = source.getValueAtPercentile(MEDIAN_PERCENT) / MICROSECONDS_PER_MS;
    this.hedgeMs = source.getValueAtPercentile(this.hedgeQuantile * PERCENT) / MICROSECONDS_PER_MS;
    this.meanMs = source.mean / MICROSECONDS_PER_MS;
  }
}
