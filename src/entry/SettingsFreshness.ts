import type { PongMessage, VoterAddress } from '../common/Messages.js';

/** Ping that is not yet answered by a majority. */
interface PendingPing {
  readonly sentAtMs: number;
  /** Index of the newest settings change in each voter's log, by voter id. */
  readonly confirmations: Map<string, number>;
}

/** Maximum number of pings kept; beyond it the oldest are dropped. */
const MAX_PENDING_PINGS = 16;

/**
 * Tracks how long the applied settings are known to be current: for the configuration lease after
 * a majority of the voters reported that their logs hold no newer settings change, committed or
 * not. A committed change is in the logs of a majority, so one of the reports would include it.
 */
export class SettingsFreshness {
  /** Time until which the applied settings are known to be current. */
  private currentUntilMs = Number.NEGATIVE_INFINITY;

  /** Index that {@link currentUntilMs} refers to. */
  private confirmedIndex = 0;

  private nextPingId = 1;

  private readonly pending = new Map<number, PendingPing>();

  private membershipIndex = -1;

  voters: readonly VoterAddress[] = [];

  leaderId: string | null = null;

  /** Starts a ping and returns its id. */
  startPing(nowMs: number): number {
    const pingId = this.nextPingId;
    this.nextPingId += 1;
    this.pending.set(pingId, { sentAtMs: nowMs, confirmations: new Map() });
    if (this.pending.size > MAX_PENDING_PINGS) {
      const [oldest] = this.pending.keys();
      if (oldest !== undefined) this.pending.delete(oldest);
    }
    return pingId;
  }

  /** Counts an answer; returns true if the set of voters changed. */
  onPong(from: string, pong: PongMessage, appliedIndex: number, leaseMs: number): boolean {
    const changed = pong.membershipIndex > this.membershipIndex;
    if (changed) {
      this.membershipIndex = pong.membershipIndex;
      this.voters = pong.voters;
    }
    if (pong.leaderId) this.leaderId = pong.leaderId;
    const ping = this.pending.get(pong.pingId);
    if (!ping) return changed;
    ping.confirmations.set(from, pong.newestSettingsIndex);
    const confirmed = this.voters.filter((voter) => {
      const newest = ping.confirmations.get(voter.id);
      return newest !== undefined && newest <= appliedIndex;
    });
    if (confirmed.length * 2 > this.voters.length) {
      this.confirm(appliedIndex, ping.sentAtMs + leaseMs);
    }
    return changed;
  }

  /** Applies a peer's reply; `untilMs` counts from the time at which the request was sent. */
  onRelayed(index: number, appliedIndex: number, untilMs: number): void {
    if (index === appliedIndex) this.confirm(index, untilMs);
  }

  /** Remaining time for which the applied settings are known to be current. */
  currentForMs(appliedIndex: number, nowMs: number): number {
    if (appliedIndex === 0 || appliedIndex < this.confirmedIndex) return 0;
    return Math.max(0, this.currentUntilMs - nowMs);
  }

  private confirm(index: number, untilMs: number): void {
    if (index < this.confirmedIndex) return;
    this.confirmedIndex = index;
    this.currentUntilMs = Math.max(this.currentUntilMs, untilMs);
  }
}
