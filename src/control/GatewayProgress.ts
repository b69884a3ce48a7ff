/** Gateway that has not applied a routing, with the index of the one that it applies. */
export interface LaggingGateway {
  readonly id: string;
  readonly appliedIndex: number;
  /** Log index of the newest routing that it knows of; it applies it or refuses calls within a bound. */
  readonly knownIndex: number;
}

/** Routings of a gateway, as its heartbeat states them. */
export type ReportedRouting = Pick<LaggingGateway, 'appliedIndex' | 'knownIndex'>;

/** Latest session of a gateway at this control host. */
interface GatewayEntry {
  readonly sessionId: number;
  appliedIndex: number;
  knownIndex: number;
  /** Time of the last heartbeat, or of the end of the session. */
  contactAtMs: number;
}

/**
 * Time without a heartbeat, or since the end of its session, after which a gateway is not in contact:
 * five heartbeats. By then it knows that it lacks news of this control host.
 */
export const GATEWAY_CONTACT_MS = 1_000;

/**
 * Gap between two checks, which are made at every tick, after which this host was paused itself:
 * heartbeats that arrived meanwhile are read after the check.
 */
const PAUSED_AFTER_MS = 200;

/** Routing that each gateway applies which watches this control host. */
export class GatewayProgress {
  private checkedAtMs = Number.POSITIVE_INFINITY;

  private readonly entries = new Map<string, GatewayEntry>();

  /** Ids of the gateways that watch, by session. */
  private readonly watching = new Map<number, string>();

  /** Starts to track a gateway that watches, with the index that it reports. */
  watch(sessionId: number, gatewayId: string, appliedIndex: number, nowMs: number): void {
    if (gatewayId === '') return;
    this.watching.set(sessionId, gatewayId);
    const entry = { sessionId, appliedIndex, knownIndex: appliedIndex, contactAtMs: nowMs };
    this.entries.set(gatewayId, entry);
  }

  /** Notes a heartbeat; returns true if the gateway has applied a newer routing since the last. */
  noteHeartbeat(sessionId: number, reported: ReportedRouting, nowMs: number): boolean {
    const entry = this.entryOf(sessionId);
    if (!entry) return false;
    const isNewer = reported.appliedIndex > entry.appliedIndex;
    entry.appliedIndex = reported.appliedIndex;
    entry.knownIndex = Math.max(reported.appliedIndex, reported.knownIndex);
    entry.contactAtMs = nowMs;
    return isNewer;
  }

  /** Ends a subscription at the request of the gateway, which watches other control hosts. */
  endWatch(sessionId: number): void {
    const id = this.watching.get(sessionId);
    if (id !== undefined && this.entries.get(id)?.sessionId === sessionId) this.entries.delete(id);
    this.watching.delete(sessionId);
  }

  /** Notes the end of a session; its gateway may serve on, and counts for a while. */
  close(sessionId: number, nowMs: number): void {
    const entry = this.entryOf(sessionId);
    this.watching.delete(sessionId);
    if (entry && nowMs - entry.contactAtMs < GATEWAY_CONTACT_MS) entry.contactAtMs = nowMs;
  }

  /** Excludes a pause of this host from the silence of gateways. */
  private excludePause(nowMs: number): void {
    const gapMs = nowMs - this.checkedAtMs;
    this.checkedAtMs = nowMs;
    if (gapMs <= PAUSED_AFTER_MS) return;
    this.entries.forEach((entry) => {
      Object.assign(entry, { contactAtMs: Math.min(nowMs, entry.contactAtMs + gapMs) });
    });
  }

  /** Gateways in contact that apply an older routing than this one. */
  behind(index: number, nowMs: number): LaggingGateway[] {
    this.excludePause(nowMs);
    const lagging: LaggingGateway[] = [];
    this.entries.forEach(({ sessionId, appliedIndex, knownIndex, contactAtMs }, id) => {
      const isInContact = nowMs - contactAtMs < GATEWAY_CONTACT_MS;
      if (isInContact && appliedIndex < index) lagging.push({ id, appliedIndex, knownIndex });
      if (!isInContact && !this.watching.has(sessionId)) this.entries.delete(id);
    });
    return lagging;
  }

  /** Number of gateways in contact. */
  contacts(nowMs: number): number {
    const times = [...this.entries.values()].map(({ contactAtMs }) => contactAtMs);
    return times.filter((contactAtMs) => nowMs - contactAtMs < GATEWAY_CONTACT_MS).length;
  }

  /** True if the gateway is known here to have applied this routing or a newer one. */
  hasApplied(gatewayId: string, index: number): boolean {
    const entry = this.entries.get(gatewayId);
    return entry !== undefined && entry.appliedIndex >= index;
  }

  private entryOf(sessionId: number): GatewayEntry | undefined {
    const id = this.watching.get(sessionId);
    const entry = id === undefined ? undefined : this.entries.get(id);
    return entry?.sessionId === sessionId ? entry : undefined;
  }
}
