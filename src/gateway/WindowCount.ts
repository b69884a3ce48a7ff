/** Count of events within a sliding window. */
export class WindowCount {
  private times: number[] = [];

  add(nowMs: number): void {
    this.times.push(nowMs);
  }

  count(nowMs: number, windowMs: number): number {
    let stale = 0;
    while (stale < this.times.length && nowMs - this.times[stale]! >= windowMs) stale += 1;
    if (stale > 0) this.times.splice(0, stale);
    return this.times.length;
  }
}
