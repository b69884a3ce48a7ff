import Result from 'true-myth/result';
import { MAX_CLOCK_DRIFT_RATIO } from '../common/Constants.js';
import { BackendLifecycleState } from '../common/Enums.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { placeBackend, type EntryHost } from '../common/Placement.js';
import type { CatalogEntry } from '../common/SettingsTree.js';
import { MAX_ANNOUNCEMENT_DELAY_MS, BackendRecord } from './dispatch/BackendRecord.js';
import type { ServicePool } from './dispatch/ServicePool.js';
import type { EntryContext } from './EntryContext.js';
import type { EntryRoster } from './EntryRoster.js';
import { decodeLeaseStamp, encodeLeaseStamp } from './LeaseStamp.js';
import {
  PeerMessageType,
  type LeaseReleasedMessage,
  type LeaseRequestMessage,
} from './PeerMessages.js';
import type { Pools } from './Pools.js';
import {
  CounterName,
  EntryEffectType,
  type Announcement,
  type AnnouncementAnswer,
} from './Types.js';

/** Interval of the early announcements that verify a server after a lease move. */
const VERIFICATION_INTERVAL_MS = 150;

/** Announcements allowed beyond the budget, for a start and a lease move. */
const ANNOUNCEMENT_BURST = 8;

const MS_PER_SECOND = 1_000;

/** A record is dropped this many lease durations after its lease expired. */
const DROP_AFTER_LEASES = 10;

/** The same for a released record, whose limit is reported to the new holder until then. */
const DROP_RELEASED_AFTER_LEASES = 2;

/** Incarnation that ended: a successor announced itself, or announcements stopped. */
export interface EndedIncarnation {
  readonly pool: ServicePool;
  readonly backendId: string;
  readonly incarnation: number;
}

/** True if a backend server has announced more often than its budget allows. */
function isOverBudget(announcement: Announcement, perSecond: number): boolean {
  const allowed = (perSecond * announcement.upForMs) / MS_PER_SECOND + ANNOUNCEMENT_BURST;
  return announcement.sequence + 1 > allowed;
}

/** Delay of a redirect: none, unless hosts that disagree have exhausted the server's budget. */
function redirectDelayMs(announcement: Announcement, pool: ServicePool): number {
  const { measuringPerSecond } = pool.settings;
  return isOverBudget(announcement, measuringPerSecond) ? MS_PER_SECOND / measuringPerSecond : 0;
}

/** Refuses an announcement that is not newer than the last one. */
function checkOrder(
  announcement: Announcement,
  existing: BackendRecord | undefined,
): EgretError | undefined {
  if (!existing) return undefined;
  const { incarnation, sequence } = announcement;
  const replayed =
    incarnation < existing.incarnation ||
    (incarnation === existing.incarnation && sequence <= existing.sequence);
  if (!replayed) return undefined;
  return new EgretError(
    ErrorKind.ReplayedSequence,
    `Incarnation ${incarnation} sequence ${sequence} is not above ` +
      `${existing.incarnation}/${existing.sequence}.`,
  );
}

/**
 * Leases on backend servers. A backend server arbitrates its lease by announcing to one entry host
 * at a time. A lease starts at the answer whose stamp the next announcement returns, which is
 * before that announcement was sent; a delayed announcement therefore can't renew it. A new holder
 * waits until the previous lease has expired on any clock within the drift bound, or until the
 * previous holder has released it.
 */
export class LeaseTable {
  constructor(
    private readonly context: EntryContext,
    private readonly roster: EntryRoster,
    private readonly pools: Pools,
    private readonly onEnded: (ended: EndedIncarnation) => void,
  ) {}

  /** Handles an announcement of an authenticated backend server. */
  announce(
    announcement: Announcement,
    entry: CatalogEntry,
  ): Result<AnnouncementAnswer, EgretError> {
    const { context } = this;
    const backendId = `${announcement.address}:${announcement.port}`;
    const pool = this.pools.getOrCreate(entry);
    const existing = pool.records.get(backendId);
    const refusal = checkOrder(announcement, existing);
    if (refusal) return Result.err(refusal);
    context.count(CounterName.Announcements, entry.service);
    const reachable = this.roster
      .leaseholders(entry)
      .filter((host) => !announcement.unreachable.includes(`${host.address}:${host.port}`));
    const holder =
      placeBackend(backendId, announcement.availabilityZone, reachable) ?? context.self;
    if (holder.id !== context.self.id) {
      if (existing?.incarnation === announcement.incarnation) existing.redirected = true;
      else if (existing) this.release(existing, holder);
      return Result.ok(this.answer(holder, redirectDelayMs(announcement, pool)));
    }
    const record = this.accept(announcement, backendId, pool, existing);
    return Result.ok(this.answer(holder, this.intervalMs(record, pool, announcement)));
  }

  /** Releases a lease on request of the new holder. */
  onLeaseRequest(from: EntryHost, message: LeaseRequestMessage): void {
    const record = this.pools.findBackend(message.backendId);
    if (record && record.incarnation === message.incarnation) {
      this.release(record, from);
      return;
    }
    // This host holds no lease: no request is in flight and none can start.
    this.sendReleased(from, message.backendId, message.incarnation, 0, 0);
  }

  /** Permits dispatching once the previous holder has released the lease. */
  onLeaseReleased(message: LeaseReleasedMessage): BackendRecord | undefined {
    const record = this.pools.findBackend(message.backendId);
    if (!record || record.incarnation !== message.incarnation || record.released) return undefined;
    record.foreignInFlight = message.inFlight;
    record.foreignUntilMs = this.context.nowMs + this.timeoutMs(record.service);
    if (record.usableFromMs > this.context.nowMs) {
      record.usableFromMs = this.context.nowMs;
      if (message.limit > 0) record.limit.resumeAt(message.limit);
    }
    return record;
  }

  /** Reports to the new holder that a request of a released lease has ended. */
  onReleasedAttemptEnded(record: BackendRecord): void {
    const holder = this.newHolders.get(record.id);
    if (!record.released || !holder) return;
    this.sendReleased(holder, record.id, record.incarnation, record.inFlight, record.limit.current);
  }

  /** Drops records of backend servers that no longer announce here. */
  tick(leaseMs: number): void {
    const { nowMs } = this.context;
    this.pools.forEach((pool) => {
      pool.records.forEach((record) => {
        const expiredForMs =
          nowMs - Math.max(record.leaseUntilMs, this.createdAtMs.get(record.id) ?? 0);
        const moved = record.released || record.redirected;
        const leases = moved ? DROP_RELEASED_AFTER_LEASES : DROP_AFTER_LEASES;
        if (record.inFlight > 0 || expiredForMs < leaseMs * leases) return;
        if (!moved) {
          this.onEnded({ pool, backendId: record.id, incarnation: record.incarnation });
        }
        this.drop(record);
      });
    });
  }

  /** New holders of released leases, by backend id. */
  private readonly newHolders = new Map<string, EntryHost>();

  /** Times at which records were created, by backend id. */
  private readonly createdAtMs = new Map<string, number>();

  private accept(
    announcement: Announcement,
    backendId: string,
    pool: ServicePool,
    existing: BackendRecord | undefined,
  ): BackendRecord {
    const { context } = this;
    const leaseMs = this.leaseMs();
    let record = existing;
    // A redirected server that names a previous holder was accepted by it in the meantime.
    const returned = record?.redirected && announcement.previous !== null;
    if (returned) record!.released = true;
    if (!record || record.incarnation !== announcement.incarnation || record.released) {
      record = this.create(announcement, backendId, pool, existing);
    } else if (announcement.previous && record.leaseUntilMs <= context.nowMs) {
      // Another host may have held a lease since this host's own lease expired.
      record.usableFromMs = context.nowMs + this.waitMs(announcement, undefined);
    }
    record.redirected = false;
    this.countForeign(record, announcement.load.inFlight);
    record.sequence = announcement.sequence;
    record.slots = Math.min(announcement.slots, pool.settings.slotsMax);
    record.limit.setSlots(record.slots);
    record.setRequestsPerSecond(announcement.requestsPerSecond, context.nowMs);
    record.reportedInFlight = announcement.load.inFlight;
    if (
      announcement.state === BackendLifecycleState.Starting &&
      record.state === BackendLifecycleState.Ready
    ) {
      record.limit.onColdStart();
    }
    record.state = announcement.state;
    record.backoffUntilMs = 0;
    record.onAnnounced(context.nowMs);
    pool.quarantine.clearIncarnation(
      backendId,
      record.incarnation,
      context.nowMs - MAX_ANNOUNCEMENT_DELAY_MS,
    );
    const stamp = decodeLeaseStamp(announcement.leaseStamp);
    if (stamp?.entryHostId === context.self.id && stamp.bootId === context.bootId) {
      record.leaseUntilMs = Math.max(record.leaseUntilMs, stamp.answeredAtMs + leaseMs);
    }
    return record;
  }

  /** Counts requests of previous holders that the backend server still runs. */
  private countForeign(record: BackendRecord, reportedInFlight: number): void {
    const { nowMs } = this.context;
    if (nowMs < record.usableFromMs) {
      record.foreignInFlight = Math.max(0, reportedInFlight - record.inFlight);
      record.foreignUntilMs = record.usableFromMs + this.timeoutMs(record.service);
    } else {
      record.foreignInFlight = Math.min(record.foreignInFlight, reportedInFlight);
    }
  }

  private timeoutMs(service: string): number {
    return this.pools.get(service)?.settings.timeoutMs ?? 0;
  }

  /** Creates the record of a backend server or incarnation that is new to this host. */
  private create(
    announcement: Announcement,
    backendId: string,
    pool: ServicePool,
    existing: BackendRecord | undefined,
  ): BackendRecord {
    const { context } = this;
    if (existing && existing.incarnation !== announcement.incarnation) {
      this.onEnded({ pool, backendId, incarnation: existing.incarnation });
      context.emit({ type: EntryEffectType.CloseTarget, targetId: backendId });
    }
    const record = new BackendRecord({
      id: backendId,
      service: pool.service,
      address: announcement.address,
      port: announcement.port,
      availabilityZone: announcement.availabilityZone,
      incarnation: announcement.incarnation,
      slots: Math.min(announcement.slots, pool.settings.slotsMax),
      coldRampSuccesses: pool.settings.coldRampSuccesses,
      connectionsMax: pool.settings.connectionsMax,
    });
    // Requests of an earlier record of this host keep their slots until they end.
    if (existing) {
      record.inFlight = existing.inFlight;
      record.startedAtMs.clear();
      existing.startedAtMs.forEach((startedAtMs, id) => record.startedAtMs.set(id, startedAtMs));
    }
    record.usableFromMs = context.nowMs + this.waitMs(announcement, existing);
    pool.records.set(backendId, record);
    this.newHolders.delete(backendId);
    this.createdAtMs.set(backendId, context.nowMs);
    context.count(CounterName.LeaseMoves, pool.service);
    context.log('lease_taken', {
      service: pool.service,
      backend: backendId,
      incarnation: record.incarnation,
      waitMs: Math.round(record.usableFromMs - context.nowMs),
    });
    return record;
  }

  /** Time until no other host can still hold a lease. */
  private waitMs(announcement: Announcement, existing: BackendRecord | undefined): number {
    const maxLeaseMs = this.leaseMs() * (1 + MAX_CLOCK_DRIFT_RATIO);
    if (existing && !existing.released && existing.leaseUntilMs > this.context.nowMs) return 0;
    const { previous } = announcement;
    if (!previous) return Math.max(0, maxLeaseMs - announcement.upForMs);
    if (previous.entryHostId === this.context.self.id && !existing) {
      return Math.max(0, maxLeaseMs - previous.sinceMs);
    }
    const peer = this.roster.find(previous.entryHostId);
    if (peer && peer.id !== this.context.self.id) {
      this.context.emit({
        type: EntryEffectType.SendPeer,
        peer,
        message: {
          type: PeerMessageType.LeaseRequest,
          backendId: `${announcement.address}:${announcement.port}`,
          incarnation: announcement.incarnation,
        },
      });
    }
    return Math.max(0, maxLeaseMs - previous.sinceMs);
  }

  /** Stops dispatching under a lease and notifies the new holder. */
  private release(record: BackendRecord, holder: EntryHost): void {
    if (!record.released) {
      record.released = true;
      this.context.log('lease_released', {
        service: record.service,
        backend: record.id,
        holder: holder.id,
        inFlight: record.inFlight,
      });
    }
    this.newHolders.set(record.id, holder);
    this.sendReleased(holder, record.id, record.incarnation, record.inFlight, record.limit.current);
  }

  private sendReleased(
    peer: EntryHost,
    backendId: string,
    incarnation: number,
    inFlight: number,
    limit: number,
  ): void {
    if (peer.id === this.context.self.id) return;
    this.context.emit({
      type: EntryEffectType.SendPeer,
      peer,
      message: { type: PeerMessageType.LeaseReleased, backendId, incarnation, inFlight, limit },
    });
  }

  private drop(record: BackendRecord): void {
    const pool = this.pools.get(record.service);
    if (pool?.records.get(record.id) !== record) return;
    pool.records.delete(record.id);
    this.newHolders.delete(record.id);
    this.createdAtMs.delete(record.id);
    this.context.emit({ type: EntryEffectType.CloseTarget, targetId: record.id });
  }

  private leaseMs(): number {
    return this.pools.system().leaseMs;
  }

  /**
   * Time to the next announcement: short while only the missing verification keeps the server at
   * its cold limit, within the announcement budget. The sequence number shows the budget spent, so
   * that it holds for any number of entry hosts and across lease moves.
   */
  private intervalMs(record: BackendRecord, pool: ServicePool, announcement: Announcement): number {
    const regularMs = this.pools.system().announcementIntervalMs;
    const upForS = announcement.upForMs / MS_PER_SECOND;
    record.announcementsPerSecond = (announcement.sequence + 1) / Math.max(1, upForS);
    const { measuringPerSecond } = pool.settings;
    if (isOverBudget(announcement, measuringPerSecond)) {
      return Math.max(regularMs, MS_PER_SECOND / measuringPerSecond);
    }
    // Only an open connection allows verification; a new lease will soon have one.
    const ageMs = this.context.nowMs - (this.createdAtMs.get(record.id) ?? 0);
    const verifiable = record.connectedAtMs !== null || ageMs < regularMs;
    const needsVerification = !record.verified && record.limit.current > 1 && verifiable;
    return needsVerification ? Math.min(regularMs, VERIFICATION_INTERVAL_MS) : regularMs;
  }

  private answer(holder: EntryHost, intervalMs: number): AnnouncementAnswer {
    const { context } = this;
    const system = this.pools.system();
    return {
      announceTo: { address: holder.address, port: holder.port },
      entryHostId: context.self.id,
      intervalMs,
      leaseMs: system.leaseMs,
      leaseStamp: encodeLeaseStamp({
        entryHostId: context.self.id,
        bootId: context.bootId,
        answeredAtMs: context.nowMs,
      }),
    };
  }
}
