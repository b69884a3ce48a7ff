/** Report of a routing that is newer than the applied one. */
interface NewerReport {
  index: number;
  readonly learnedAtMs: number;
  /** Earliest time at which the newer routing may have been in force: that of the last news without it. */
  readonly supersededFromMs: number;
}

/** Reports kept at most; further ones are merged into the last one, which is older. */
const REPORTS_MAX = 64;

/**
 * Compares the routing that a gateway applies with the newest one that it has heard of. Each version
 * counts from the time at which it was first reported, so that a series of changes of which every
 * one is applied in time never adds up to a long lag.
 */
export class RoutingLag {
  private readonly newer: NewerReport[] = [];

  private newest = 0;

  private applied = 0;

  /** Log index of the newest routing heard of, applied or not; 0 before the first. */
  get newestIndex(): number {
    return this.newest;
  }

  /** Log index of the applied routing; 0 before the first. */
  get appliedIndex(): number {
    return this.applied;
  }

  /**
   * Log index of the newest routing that this gateway will apply, or refuse calls without; a routing that
   * it can not use does not count.
   */
  get knownIndex(): number {
    return this.newer.at(-1)?.index ?? this.applied;
  }

  /**
   * Records that a control host has applied a routing.
   *
   * @param supersededFromMs - earliest time at which it may have been in force; when it was learned of by
   *   default
   */
  noteReported(index: number, nowMs: number, supersededFromMs = nowMs): void {
    if (index <= this.newest) return;
    this.newest = index;
    const last = this.newer.at(-1);
    if (last && this.newer.length >= REPORTS_MAX) last.index = index;
    else this.newer.push({ index, learnedAtMs: nowMs, supersededFromMs });
  }

  /** Records that this gateway has applied a routing. */
  noteApplied(index: number): void {
    this.applied = Math.max(this.applied, index);
    this.newest = Math.max(this.newest, index);
    while (this.newer[0] && this.newer[0].index <= this.applied) this.newer.shift();
  }

  /**
   * Records that a routing arrived that this gateway can not use. It will never be applied, so that
   * it must not end service; nor must the ones before it, which are no longer sent.
   */
  noteRefused(index: number): void {
    while (this.newer[0] && this.newer[0].index <= index) this.newer.shift();
  }

  /** Longest time for which a newer version than the applied one may have been in force; 0 if none is. */
  supersededMs(nowMs: number): number {
    const [oldest] = this.newer;
    return oldest ? Math.max(0, nowMs - oldest.supersededFromMs) : 0;
  }

  /**
   * Time since the oldest version that is newer than the applied one was first reported; 0 if none is.
   *
   * @example
   * lag.noteReported(7, 1_000);
   * lag.behindMs(1_250); // 250
   */
  behindMs(nowMs: number): number {
    const [oldest] = this.newer;
    return oldest ? Math.max(0, nowMs - oldest.learnedAtMs) : 0;
  }
}
