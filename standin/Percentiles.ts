/** Collects durations and reports their percentiles. */
export class Percentiles {
  private values: number[] = [];

  get count(): number {
    return this.values.length;
  }

  add(value: number): void {
    this.values.push(value);
  }

  /** Value below which the given share of the values lies; 0 without values. */
  quantile(share: number): number {
    if (this.values.length === 0) return 0;
    const sorted = this.values.sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
  }
}
