/**
 * How long a count that fell is still assumed: longer than parts of a system are cut off from each
 * other without being lost, which is some ten seconds in the deployments.
 */
const HELD_MS = 30_000;

/** Value that falls only some time after it was last reported as large. */
export class HeldMaximum {
  private latest = 0;

  private held = 0;

  private heldUntilMs = Number.NEGATIVE_INFINITY;

  at(nowMs: number): number {
    return nowMs < this.heldUntilMs ? Math.max(this.held, this.latest) : this.latest;
  }

  note(value: number, nowMs: number): void {
    const before = this.at(nowMs);
    if (value < before && this.latest >= before) this.heldUntilMs = nowMs + HELD_MS;
    this.held = Math.max(value, before);
    this.latest = value;
  }
}
