/** Options of a {@link LimitAudit}; the defaults are the users' bounds. */
export interface LimitAuditOptions {
  /** Time after the limit was first named from which it binds. */
  readonly contactMs?: number;
  readonly windowMs?: number;
  /** Time after a sender first received the limit from which its requests count. */
  readonly noticeMs?: number;
  readonly overshoot?: number;
  readonly slackRequests?: number;
}

/** Window with the most requests above the bound. */
export interface LimitExcess {
  readonly endsAtMs: number;
  readonly requests: number;
  readonly allowed: number;
}

interface CountedRequest {
  readonly sender: string;
  readonly atMs: number;
}

/**
 * Counts the requests to one backend server that names a limit for all senders together, and finds
 * windows with more than the users allow.
 *
 * @example
 * const audit = new LimitAudit();
 * audit.noteNamed(1.5, 0);
 * audit.noteReceived('gateway-1', 10);
 * audit.noteRequest('gateway-1', 600);
 * audit.worstExcess(); // undefined
 */
export class LimitAudit {
  private readonly requests: CountedRequest[] = [];

  /** Time at which each sender first received the limit. */
  private readonly receivedAtMs = new Map<string, number>();

  private namedAtMs = Number.POSITIVE_INFINITY;

  private endedAtMs = Number.POSITIVE_INFINITY;

  private perSecond = 0;

  private readonly bounds: Required<LimitAuditOptions>;

  constructor(options: LimitAuditOptions = {}) {
    this.bounds = {
      contactMs: 3_000,
      windowMs: 4_000,
      noticeMs: 500,
      overshoot: 1.5,
      slackRequests: 5,
      ...options,
    };
  }

  noteNamed(perSecond: number, atMs: number): void {
    this.perSecond = perSecond;
    this.namedAtMs = atMs;
  }

  noteEnded(atMs: number): void {
    this.endedAtMs = atMs;
  }

  /** Records that a sender received an answer that names the limit. */
  noteReceived(sender: string, atMs: number): void {
    if (!this.receivedAtMs.has(sender)) this.receivedAtMs.set(sender, atMs);
  }

  /** Excuses a sender that was disturbed: it counts again from its next answer with the limit. */
  noteDisturbed(sender: string): void {
    this.receivedAtMs.delete(sender);
  }

  noteRequest(sender: string, atMs: number): void {
    const receivedAtMs = this.receivedAtMs.get(sender);
    if (receivedAtMs === undefined || atMs - receivedAtMs < this.bounds.noticeMs) return;
    if (atMs < this.namedAtMs || atMs > this.endedAtMs) return;
    this.requests.push({ sender, atMs });
  }

  /** Requests counted so far. */
  get size(): number {
    return this.requests.length;
  }

  /** Window that exceeds the bound most; undefined if none does. */
  worstExcess(): LimitExcess | undefined {
    const { contactMs, windowMs, overshoot, slackRequests } = this.bounds;
    const allowed = overshoot * this.perSecond * (windowMs / 1_000) + slackRequests;
    let worst: LimitExcess | undefined;
    let first = 0;
    this.requests.forEach(({ atMs }, last) => {
      const bindsAtMs = this.namedAtMs + contactMs;
      if (atMs < bindsAtMs) return;
      const startMs = Math.max(atMs - windowMs, bindsAtMs);
      while (this.requests[first]!.atMs < startMs) first += 1;
      const requests = last - first + 1;
      if (requests <= allowed || requests <= (worst?.requests ?? 0)) return;
      worst = { endsAtMs: atMs, requests, allowed };
    });
    return worst;
  }
}
