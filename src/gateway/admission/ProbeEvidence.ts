/** Late probes in a row, to any servers, after which this host itself counts as slow. */
const LATE_IN_ROW = 4;

/**
 * Distinguishes backend servers that do not answer from a host whose own link or event loop is busy:
 * behind a long answer on a narrow link, every probe of the host is late at once.
 *
 * @example
 * const evidence = new ProbeEvidence();
 * evidence.noteLate('perth');
 * evidence.isAnsweredSince(sentAtMs); // false: the server is not to blame
 */
export class ProbeEvidence {
  /** Latest time at which a probe was sent that has been answered. */
  private answeredSentAtMs = Number.NEGATIVE_INFINITY;

  private lateInRow = 0;

  private readonly lateZones = new Set<string>();

  /** True while no probe is answered in time, whatever its server. */
  get isHostSlow(): boolean {
    return this.lateInRow >= LATE_IN_ROW;
  }

  /** True if servers of several zones were late in a row, so that no lost zone is the reason. */
  get isSlowAcrossZones(): boolean {
    return this.isHostSlow && this.lateZones.size > 1;
  }

  noteAnswered(sentAtMs: number): void {
    this.answeredSentAtMs = Math.max(this.answeredSentAtMs, sentAtMs);
    this.lateInRow = 0;
    this.lateZones.clear();
  }

  noteLate(availabilityZone: string): void {
    this.lateInRow += 1;
    this.lateZones.add(availabilityZone);
  }

  /** True if a probe that was sent no earlier was answered, to whichever server. */
  isAnsweredSince(sentAtMs: number): boolean {
    return this.answeredSentAtMs >= sentAtMs;
  }
}
