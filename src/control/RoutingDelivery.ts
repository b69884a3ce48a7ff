/** Routing that a session receives, and the one that it applies. */
interface Delivery {
  appliedIndex: number;
  /** Newest routing that was sent. */
  sentIndex: number;
  sentAtMs: number;
  resendAfterMs: number;
}

/** State of the control host that decides whether it may send its routing. */
export interface DeliveryTimes {
  readonly nowMs: number;
  /** True if this host has applied all that was committed when its contact with a majority began. */
  readonly isCaughtUp: boolean;
  /** True while this host belongs to a connected majority. */
  readonly hasQuorum: boolean;
}

/**
 * First time after which a routing that was not applied is sent again: half of the 2 s by which a
 * change must be in force. It doubles with each time, for links that are slow and not lossy.
 */
export const RESEND_AFTER_MS = 1_000;

/** Longest time between two times; a gateway that refuses a routing costs little by then. */
const RESEND_AFTER_MAX_MS = 8_000;

/**
 * Time without a majority after which a host sends what it has, as it may be newer than what gateways
 * have that start: the longest wait of their sessions.
 */
export const ALONE_AFTER_MS = 3_000;

/**
 * Decides when a session is sent the routing: the newest one, with at most one not applied yet, as
 * the heartbeats tell. Versions in between are skipped on links that are slower than the changes.
 *
 * @example
 * delivery.watch(1, 0);
 * delivery.takeDue(7, times); // [1]: send the routing of index 7 to session 1
 * delivery.takeDue(8, times); // []
 * delivery.noteApplied(1, 7);
 * delivery.takeDue(8, times); // [1]
 */
export class RoutingDelivery {
  private readonly deliveries = new Map<number, Delivery>();

  /** Time of the last contact with a majority; of the first event before one. */
  private quorumAtMs = Number.NaN;

  /** Starts to send to a session, which applies the routing of a log index. */
  watch(sessionId: number, appliedIndex: number): void {
    this.deliveries.set(sessionId, {
      appliedIndex,
      sentIndex: appliedIndex,
      sentAtMs: 0,
      resendAfterMs: RESEND_AFTER_MS,
    });
  }

  end(sessionId: number): void {
    this.deliveries.delete(sessionId);
  }

  /** Notes the routing that the entry host of a session reports to apply. */
  noteApplied(sessionId: number, appliedIndex: number): void {
    const delivery = this.deliveries.get(sessionId);
    if (!delivery) return;
    if (appliedIndex > delivery.appliedIndex) delivery.resendAfterMs = RESEND_AFTER_MS;
    delivery.appliedIndex = appliedIndex;
  }

  /** Sessions that the newest routing is to be sent to now, which are noted as sent. */
  takeDue(newestIndex: number, times: DeliveryTimes): number[] {
    if (!this.maySend(times)) return [];
    const { nowMs } = times;
    const due: number[] = [];
    this.deliveries.forEach((delivery, sessionId) => {
      if (delivery.appliedIndex >= newestIndex) return;
      const isInFlight = delivery.sentIndex > delivery.appliedIndex;
      if (isInFlight && nowMs - delivery.sentAtMs < delivery.resendAfterMs) return;
      if (isInFlight) {
        delivery.resendAfterMs = Math.min(delivery.resendAfterMs * 2, RESEND_AFTER_MAX_MS);
      }
      delivery.sentIndex = newestIndex;
      delivery.sentAtMs = nowMs;
      due.push(sessionId);
    });
    return due;
  }

  /**
   * True if the routing of this host is not superseded as far as it can know. A host that replays its
   * log has a majority, and waits; one without a majority is the best source after a while.
   */
  private maySend({ nowMs, isCaughtUp, hasQuorum }: DeliveryTimes): boolean {
    if (hasQuorum || Number.isNaN(this.quorumAtMs)) this.quorumAtMs = nowMs;
    return isCaughtUp || nowMs - this.quorumAtMs >= ALONE_AFTER_MS;
  }
}
