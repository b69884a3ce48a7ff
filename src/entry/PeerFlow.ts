import { MAX_CLOCK_DRIFT_RATIO } from '../common/Constants.js';
import { ControlMessageType } from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';
import { pickIndex } from '../common/Random.js';
import type { SettingsFreshness } from './SettingsFreshness.js';
import { BackendRecord } from './dispatch/BackendRecord.js';
import type { Attempt, CallRecord } from './dispatch/CallRecord.js';
import type { ServicePool } from './dispatch/ServicePool.js';
import type { EntryContext } from './EntryContext.js';
import type { EntryRoster } from './EntryRoster.js';
import type { LeaseTable } from './LeaseTable.js';
import type { PeerCapacity } from './PeerCapacity.js';
import {
  PeerMessageType,
  type FreshnessReplyMessage,
  type FreshnessRequestMessage,
  type PeerMessage,
  type PoolStatusMessage,
  type ReportMessage,
  type SuspicionMessage,
} from './PeerMessages.js';
import type { Pools } from './Pools.js';
import type { SettingsView } from './SettingsView.js';
import { EntryEffectType, type Announcement, type PoolStatus } from './Types.js';

type PeerMessageOf<T extends PeerMessageType> = Extract<PeerMessage, { type: T }>;

/** Dependencies of a {@link PeerFlow}. */
export interface PeerFlowOptions {
  readonly context: EntryContext;
  readonly settings: SettingsView;
  readonly roster: EntryRoster;
  readonly pools: Pools;
  readonly capacity: PeerCapacity;
  readonly freshness: SettingsFreshness;
  readonly leases: LeaseTable;
  readonly onSettingsChanged: () => void;
}

/** Minimum interval between two status reports of a pool. */
const STATUS_INTERVAL_MS = 50;

/** Remaining share of the configuration lease at which a peer's settings are requested. */
const RELAY_BELOW_RATIO = 0.4;

/** Maximum number of unanswered freshness requests; beyond it the oldest are dropped. */
const MAX_FRESHNESS_REQUESTS = 16;

/** Messages between entry hosts: leases, free slots, suspicions, relayed settings. */
export class PeerFlow {
  private nextStatusAtMs = 0;

  private nextRelayAtMs = 0;

  /** Last reported status of each pool, by service. */
  private readonly reported = new Map<string, PoolStatus>();

  private nextRequestId = 1;

  /** Send times of unanswered freshness requests, by request id. */
  private readonly requests = new Map<number, number>();

  constructor(private readonly options: PeerFlowOptions) {}

  onMessage(from: string, message: PeerMessage): void {
    const handler = this.handlers[message.type] as
      ((sender: string, received: PeerMessage) => void) | undefined;
    handler?.(from, message);
  }

  /** Reports free slots to the other leaseholders and requests relayed settings if needed. */
  tick(): void {
    const { nowMs } = this.options.context;
    if (nowMs >= this.nextStatusAtMs) {
      this.nextStatusAtMs = nowMs + STATUS_INTERVAL_MS;
      this.options.pools.forEach((pool) => this.reportStatus(pool));
    }
    if (nowMs >= this.nextRelayAtMs) {
      this.nextRelayAtMs = nowMs + this.options.settings.catalog.system.configPingIntervalMs;
      this.requestFreshness();
    }
  }

  /** Relays an announcement to every entry host, for policies without leases. */
  relayAnnouncement(announcement: Announcement): void {
    const { service, address, port, availabilityZone, incarnation, state, slots } = announcement;
    const message: ReportMessage = {
      type: PeerMessageType.Report,
      service,
      address,
      port,
      availabilityZone,
      incarnation,
      state,
      slots,
      inFlight: announcement.load.inFlight,
    };
    this.options.roster.all().forEach((peer) => this.send(peer, message));
    this.onReport(message);
  }

  /** Records that a backend server's connection broke, or, if confirmed, that it refused one. */
  onSuspicion(call: CallRecord, attempt: Attempt, confirmed: boolean): void {
    const backend = attempt.record;
    if (!backend) return;
    const { pool } = call;
    if (confirmed) {
      this.confirmCrashes(pool, backend.id, backend.incarnation);
      return;
    }
    const { fingerprint } = call.call;
    const { nowMs } = this.options.context;
    pool.quarantine.suspect(fingerprint, backend.id, backend.incarnation, nowMs);
    this.broadcastSuspicion(pool, fingerprint, backend.id, backend.incarnation, false);
  }

  /** Confirms the suspicions about an ended incarnation as crashes, here and at the peers. */
  confirmCrashes(pool: ServicePool, backendId: string, incarnation: number): void {
    pool.quarantine
      .confirmAll(backendId, incarnation, this.options.context.nowMs)
      .forEach((fingerprint) =>
        this.broadcastSuspicion(pool, fingerprint, backendId, incarnation, true),
      );
  }

  private readonly handlers = {
    [PeerMessageType.LeaseRequest]: (
      from: string,
      message: PeerMessageOf<PeerMessageType.LeaseRequest>,
    ) => {
      const peer = this.options.roster.find(from);
      if (peer) this.options.leases.onLeaseRequest(peer, message);
    },
    [PeerMessageType.LeaseReleased]: (
      from: string,
      message: PeerMessageOf<PeerMessageType.LeaseReleased>,
    ) => {
      this.options.leases.onLeaseReleased(message);
    },
    [PeerMessageType.PoolStatus]: (from: string, message: PoolStatusMessage) =>
      this.options.capacity.onStatus(
        from,
        message.service,
        message.status,
        this.options.context.nowMs,
      ),
    [PeerMessageType.Report]: (from: string, message: ReportMessage) => this.onReport(message),
    [PeerMessageType.Suspicion]: (from: string, message: SuspicionMessage) =>
      this.onSuspicionMessage(message),
    [PeerMessageType.FreshnessRequest]: (from: string, message: FreshnessRequestMessage) =>
      this.onFreshnessRequest(from, message),
    [PeerMessageType.FreshnessReply]: (from: string, message: FreshnessReplyMessage) =>
      this.onFreshnessReply(message),
  };

  private send(peer: EntryHost, message: PeerMessage): void {
    if (peer.id === this.options.context.self.id) return;
    this.options.context.emit({ type: EntryEffectType.SendPeer, peer, message });
  }

  private sendToLeaseholders(pool: ServicePool, message: PeerMessage): void {
    const { roster, settings } = this.options;
    const entry = settings.catalog.services.get(pool.service);
    if (entry) roster.leaseholders(entry).forEach((peer) => this.send(peer, message));
  }

  private reportStatus(pool: ServicePool): void {
    const { nowMs } = this.options.context;
    if (pool.policy.leaseless || pool.records.size === 0) return;
    const status = pool.status(nowMs);
    const last = this.reported.get(pool.service);
    const unchanged =
      last?.freeSlots === status.freeSlots &&
      last.slots === status.slots &&
      last.queued === status.queued;
    if (unchanged) return;
    this.reported.set(pool.service, status);
    const { service } = pool;
    this.sendToLeaseholders(pool, { type: PeerMessageType.PoolStatus, service, status });
  }

  private broadcastSuspicion(
    pool: ServicePool,
    fingerprint: string,
    backendId: string,
    incarnation: number,
    confirmed: boolean,
  ): void {
    const { service } = pool;
    this.sendToLeaseholders(pool, {
      type: PeerMessageType.Suspicion,
      service,
      fingerprint,
      backendId,
      incarnation,
      confirmed,
    });
  }

  private onSuspicionMessage(message: SuspicionMessage): void {
    const { context, pools, settings } = this.options;
    const entry = settings.catalog.services.get(message.service);
    if (!entry) return;
    const { quarantine } = pools.getOrCreate(entry);
    const { fingerprint, backendId, incarnation } = message;
    if (message.confirmed) {
      quarantine.confirm(fingerprint, backendId, incarnation, context.nowMs);
    } else {
      quarantine.suspect(fingerprint, backendId, incarnation, context.nowMs);
    }
  }

  /** Creates or updates the record of a reported backend server, for policies without leases. */
  private onReport(message: ReportMessage): void {
    const { context, pools, settings } = this.options;
    const entry = settings.catalog.services.get(message.service);
    if (!entry) return;
    const pool = pools.getOrCreate(entry);
    const id = `${message.address}:${message.port}`;
    let record = pool.records.get(id);
    if (!record || record.incarnation !== message.incarnation) {
      record = new BackendRecord({
        id,
        service: message.service,
        address: message.address,
        port: message.port,
        availabilityZone: message.availabilityZone,
        incarnation: message.incarnation,
        slots: message.slots,
        coldRampSuccesses: pool.settings.coldRampSuccesses,
        connectionsMax: pool.settings.connectionsMax,
      });
      pool.records.set(id, record);
    }
    record.state = message.state;
    record.reportedInFlight = message.inFlight;
    record.usableFromMs = Math.min(record.usableFromMs, context.nowMs);
    record.leaseUntilMs = context.nowMs + settings.catalog.system.leaseMs;
  }

  /** Requests a random peer's settings while little of the configuration lease remains. */
  private requestFreshness(): void {
    const { context, settings, freshness, roster } = this.options;
    const remainingMs = freshness.currentForMs(settings.index, context.nowMs);
    if (remainingMs > settings.catalog.system.configLeaseMs * RELAY_BELOW_RATIO) return;
    const peers = roster.all().filter((peer) => peer.id !== context.self.id);
    const peer = peers[pickIndex(context.random, peers.length)];
    if (!peer) return;
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    this.requests.set(requestId, context.nowMs);
    if (this.requests.size > MAX_FRESHNESS_REQUESTS) {
      const [oldest] = this.requests.keys();
      if (oldest !== undefined) this.requests.delete(oldest);
    }
    const type = PeerMessageType.FreshnessRequest;
    this.send(peer, { type, requestId, appliedIndex: settings.index });
  }

  private onFreshnessRequest(from: string, message: FreshnessRequestMessage): void {
    const { context, settings, freshness, roster } = this.options;
    const peer = roster.find(from);
    if (!peer) return;
    // The requester's clock may run slower than this one, so the time is shortened.
    const currentForMs =
      freshness.currentForMs(settings.index, context.nowMs) * (1 - MAX_CLOCK_DRIFT_RATIO);
    const newer = settings.index > message.appliedIndex;
    this.send(peer, {
      type: PeerMessageType.FreshnessReply,
      requestId: message.requestId,
      index: settings.index,
      currentForMs,
      settings: newer ? settings.toMessage(ControlMessageType.Settings) : null,
    });
  }

  private onFreshnessReply(message: FreshnessReplyMessage): void {
    const { settings, freshness } = this.options;
    const sentAtMs = this.requests.get(message.requestId);
    this.requests.delete(message.requestId);
    if (sentAtMs === undefined) return;
    if (message.settings && settings.applyFull(message.settings)) {
      this.options.onSettingsChanged();
    }
    freshness.onRelayed(message.index, settings.index, sentAtMs + message.currentForMs);
  }
}
