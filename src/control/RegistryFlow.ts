import {
  BackendRegistry,
  RegistryChange,
  type BackendRegistryOptions,
} from '../common/backends/BackendRegistry.js';
import { RecordFilter } from '../common/backends/RecordFilter.js';
import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import {
  ControlMessageType,
  type BackendRelayAckMessage,
  type BackendRelayMessage,
  type BackendRenewalsMessage,
  type BackendsMessage,
  type ControlPeerMessage,
  type ControlToEntryMessage,
  type RegistryPeerMessage,
} from '../common/Messages.js';
import { isDeparture } from './DepartureDelivery.js';
import { DepartureFlow } from './DepartureFlow.js';
import type { EntrySessions } from './EntrySessions.js';
import type { ExchangePeers } from './ExchangePeers.js';
import { RegistryBatches } from './RegistryBatches.js';
import type { RaftState } from './raft/RaftState.js';
import { hasRecentMajority } from './raft/Replication.js';
import { RaftRole } from './raft/Types.js';
import { RestoredBackends } from './RestoredBackends.js';
import { ControlEffectType, type ControlEffect } from './Types.js';

/** Dependencies of a {@link RegistryFlow}. */
export interface RegistryFlowOptions {
  readonly raft: RaftState;
  /** Control hosts that hold all announcements too. */
  readonly peers: ExchangePeers;
  readonly sessions: EntrySessions;
  readonly emit: (effect: ControlEffect) => void;
  readonly registry?: BackendRegistryOptions;
}

/** Interval of the checks for expired backend servers. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Time after its start by which a host has all live backend servers' records, some by relay. */
const REGISTRY_COMPLETE_MS = 3_000;

/** Intervals of saving the registry: after a change, and without one. */
const SAVE_CHANGED_MS = 500;
const SAVE_INTERVAL_MS = 2_000;

/** Source of records from the data folder, in the log. */
const SAVED = 'data folder';

/**
 * Announcements at one control host. Every one but observers holds all of them: changes are sent at once,
 * what only renews a record in one message an interval. A departure is confirmed once a majority of
 * the control hosts have it on disk, and every entry host in contact has acknowledged it
 * ({@link DepartureFlow}).
 */
export class RegistryFlow {
  readonly registry: BackendRegistry;

  /** Sessions of entry hosts that receive the registry. */
  private readonly watchers = new Set<number>();

  /** Watchers that accept compressed messages. */
  readonly compressedWatchers = new Set<number>();

  /** Watchers that have not been sent the ids of all backend servers. */
  private readonly incompleteWatchers = new Set<number>();

  private readonly batches = new RegistryBatches();

  /** Whole registry as it was last sent to a new watcher; undefined once it has changed. */
  private wholeMessage: BackendsMessage | undefined;

  private expireAtMs = 0;

  private readonly restored = new RestoredBackends();

  private readonly departures: DepartureFlow;

  private readonly filter = new RecordFilter((refused) =>
    this.log('backend_record_refused', { ...refused }),
  );

  private savedAtMs = 0;

  /** True if the registry has changed since the last save. */
  private unsaved = false;

  private nowMs = 0;

  /** Time of the first event. */
  private startedAtMs = Number.NaN;

  constructor(private readonly options: RegistryFlowOptions) {
    this.registry = new BackendRegistry(options.registry);
    const { raft, peers, sessions, emit } = options;
    this.departures = new DepartureFlow({
      raft,
      peers,
      sessions,
      batches: this.batches,
      emit,
      records: () => this.registry.records(),
      isMajority: (ids) => this.isMajority(ids),
      resend: (sessionId, batchId, records) => {
        const type = ControlMessageType.Backends;
        this.sendLarge(sessionId, { type, batchId, records, expiredIds: [] });
      },
    });
  }

  /** Number of departures that some entry host has not acknowledged. */
  get undeliveredDepartures(): number {
    return this.departures.undelivered;
  }

  beginEvent(nowMs: number): void {
    this.nowMs = nowMs;
    this.departures.beginEvent(nowMs);
    if (Number.isNaN(this.startedAtMs)) this.startedAtMs = nowMs;
  }

  /** Loads the records saved before this process started, and the departures it acknowledged. */
  restore(saved: readonly BackendRecord[], savedDepartures: readonly BackendRecord[] = []): void {
    const departures = this.filter.sound(savedDepartures, SAVED);
    departures.forEach((record) => this.registry.merge(record, this.nowMs));
    const sound = this.filter.sound(saved, SAVED);
    const records = sound.filter((record) => !this.registry.supersedes(record));
    if (departures.length > 0) this.log('departures_restored', { count: departures.length });
    if (records.length === 0) return;
    this.restored.load(records, this.nowMs);
    this.log('backends_restored', { count: records.length });
    this.watchers.forEach((sessionId) => this.sendRestored(sessionId));
  }

  /** Handles an announcement that arrived at this host. */
  announce(requestId: string, record: BackendRecord): void {
    this.restored.remove(record.id);
    const change = this.registry.merge(record, this.nowMs);
    const current = this.registry.get(record.id) ?? record;
    if (change === RegistryChange.Changed) this.noteChanged([current]);
    if (!isDeparture(current)) {
      if (change === RegistryChange.Changed) this.distribute([current]);
      else if (change === RegistryChange.Renewed) this.batches.addRenewal(current);
      this.confirm(requestId, current);
      return;
    }
    if (change !== RegistryChange.Changed && this.departures.isConfirmed(current)) {
      this.confirm(requestId, current);
      return;
    }
    this.distribute([current]);
    this.departures.awaitConfirmation(requestId, current);
    this.flush();
  }

  /** Handles the departure of a backend server, reported to this host by id. */
  announceDeparture(requestId: string, id: string, bornMs: number | undefined): void {
    const restored = this.restored.remove(id);
    if (restored) this.registry.merge(restored, this.nowMs);
    const record = this.registry.createDepartureRecord(id, bornMs);
    if (!record) {
      // A host that has just started may not have the record of this backend server yet.
      const confirmed = this.isComplete && this.hasQuorum();
      this.options.emit({ type: ControlEffectType.AnswerAnnouncement, requestId, confirmed });
      return;
    }
    this.announce(requestId, record);
  }

  /**
   * Sends the whole registry to an entry host, and from then on every change. Departures that the
   * entry host holds and this host does not are distributed first.
   */
  watch(
    sessionId: number,
    departures: readonly BackendRecord[] = [],
    acceptsCompressed = false,
  ): void {
    departures.forEach(({ id }) => this.restored.remove(id));
    const unknown = departures.filter(
      (record) => this.registry.merge(record, this.nowMs) === RegistryChange.Changed,
    );
    if (unknown.length > 0) {
      this.noteChanged(unknown);
      this.distribute(unknown);
      this.flush();
    }
    this.watchers.add(sessionId);
    if (acceptsCompressed) this.compressedWatchers.add(sessionId);
    this.sendWhole(sessionId);
    this.sendRestored(sessionId);
  }

  /** Ends the subscription of a session, whose entry host watches others. */
  closeSession(sessionId: number): void {
    this.watchers.delete(sessionId);
    this.incompleteWatchers.delete(sessionId);
    this.compressedWatchers.delete(sessionId);
    this.departures.endSession(sessionId);
  }

  /** Notes that the link of a session was lost; called before it is closed. */
  loseSession(sessionId: number): void {
    this.departures.loseSession(sessionId);
  }

  acknowledge(sessionId: number, batchId: number): void {
    this.departures.acknowledge(sessionId, batchId);
  }

  /** Notes a sign of life of another control host. */
  noteContact(memberId: string): void {
    this.departures.noteContact(memberId);
  }

  /** Notes whether another control host reports the delivery of departures. */
  noteReports(memberId: string, reports = false): void {
    this.departures.noteReports(memberId, reports);
  }

  /** Sends the whole registry to a control host whose link has just opened. */
  onControlLink(memberId: string): void {
    const records = this.registry.records();
    if (records.length > 0) this.relay(memberId, 0, records);
  }

  readonly onControlPeerMessage = (message: RegistryPeerMessage): void => {
    this.noteContact(message.from);
    const handler = this.peerHandlers[message.type] as (received: RegistryPeerMessage) => void;
    handler(message);
  };

  private readonly peerHandlers = {
    [ControlMessageType.BackendRelay]: (message: BackendRelayMessage) => this.onRelay(message),
    [ControlMessageType.BackendRelayAck]: (message: BackendRelayAckMessage) =>
      this.departures.noteMemberAck(message),
    [ControlMessageType.BackendRenewals]: ({ ids, bornMs, sequences }: BackendRenewalsMessage) =>
      ids.forEach((id, index) => {
        this.registry.renew(id, bornMs[index] ?? 0, sequences[index] ?? 0, this.nowMs);
      }),
  };

  /** Merges the changes that another control host received. */
  private onRelay(message: BackendRelayMessage): void {
    const { from, batchId, records: relayed } = message;
    const records = this.filter.sound(relayed, from);
    records.forEach(({ id }) => this.restored.remove(id));
    const changed = records.filter(
      (record) => this.registry.merge(record, this.nowMs) === RegistryChange.Changed,
    );
    if (changed.length > 0) {
      this.noteChanged(changed);
      this.batches.addPush(changed, changed.some(isDeparture));
    }
    const departures = records.filter(isDeparture);
    if (departures.length > 0) {
      this.departures.reportDelivery(message, departures, () => this.flush());
      return;
    }
    const { id } = this.options.raft;
    const type = ControlMessageType.BackendRelayAck;
    this.sendControl(from, { type, from: id, batchId, delivered: true });
    this.flush();
  }

  /** Completes a save of the departures. */
  onDeparturesSaved(saveId: number): void {
    this.departures.onSaved(saveId);
  }

  tick(): void {
    this.departures.tick();
    this.flush();
    this.saveWhenDue();
    this.sendKnownIds();
    this.sendRenewals();
    if (this.nowMs < this.expireAtMs) return;
    this.expireAtMs = this.nowMs + EXPIRY_INTERVAL_MS;
    const expiredIds = this.registry.expire(this.nowMs);
    if (expiredIds.length === 0) return;
    this.departures.forget(expiredIds);
    this.wholeMessage = undefined;
    this.batches.addExpired(expiredIds);
    this.flush();
    this.log('backend_expired', { ids: expiredIds.join(',') });
  }

  /** True once this host has the records of all live backend servers. */
  private get isComplete(): boolean {
    return this.nowMs - this.startedAtMs >= REGISTRY_COMPLETE_MS;
  }

  /** Sends the ids of all backend servers to entry hosts that linked before they were complete. */
  private sendKnownIds(): void {
    if (!this.isComplete || this.incompleteWatchers.size === 0) return;
    const message = {
      type: ControlMessageType.Backends,
      batchId: 0,
      records: [],
      expiredIds: [],
      knownIds: this.registry.ids(),
    } as const;
    this.incompleteWatchers.forEach((sessionId) => this.sendLarge(sessionId, message));
    this.incompleteWatchers.clear();
  }

  /** True while this host belongs to a connected majority. */
  hasQuorum(): boolean {
    const { raft } = this.options;
    if (raft.role === RaftRole.Leader) return hasRecentMajority(raft, this.nowMs);
    return this.nowMs - raft.leaderContactAtMs < raft.timing.electionTimeoutMs;
  }

  /** Notes records that changed, which are saved and logged. */
  private noteChanged(records: readonly BackendRecord[]): void {
    this.unsaved = true;
    this.wholeMessage = undefined;
    this.departures.noteChanged(records);
    records.forEach((record) =>
      this.log('backend_changed', {
        backend: record.id,
        service: record.service,
        zone: record.availabilityZone,
        address: `${record.address}:${record.port}`,
        state: record.state,
        sequence: record.sequence,
        bornMs: record.bornMs,
        coldLeftMs: record.coldLeftMs,
      }),
    );
  }

  /** Adds changes to the batch for entry hosts and control hosts. */
  private distribute(records: readonly BackendRecord[]): void {
    this.batches.addPush(records, records.some(isDeparture));
    this.batches.addRelay(records);
    if (!records.some(isDeparture)) this.flush();
  }

  /** Sends the batch if it is due. */
  private flush(): void {
    const batch = this.batches.take(this.nowMs);
    if (!batch) return;
    if (batch.push) this.departures.noteSent(batch.batchId, batch.push.records);
    const { emit, peers } = this.options;
    const sessionIds = [...this.watchers];
    if (batch.push && sessionIds.length > 0) {
      const { compressedWatchers: compressedIds } = this;
      emit({ type: ControlEffectType.Broadcast, sessionIds, message: batch.push, compressedIds });
    }
    if (batch.relay.length === 0) return;
    peers.ids().forEach((id) => this.relay(id, batch.batchId, batch.relay));
  }

  private sendRenewals(): void {
    const { raft, peers } = this.options;
    const message = this.batches.takeRenewals(raft.id, this.nowMs);
    if (!message) return;
    peers.ids().forEach((id) => this.sendControl(id, message));
  }

  /**
   * Sends the whole registry to a new watcher, one message for all until the next change, and the ids
   * of all backend servers once this host knows them.
   */
  private sendWhole(sessionId: number): void {
    this.wholeMessage ??= this.createWholeMessage();
    const { batchId, records } = this.wholeMessage;
    this.sendLarge(sessionId, this.wholeMessage);
    this.departures.openSession(sessionId, batchId, records);
    this.incompleteWatchers.add(sessionId);
    this.sendKnownIds();
  }

  /** Whole registry, to be acknowledged if it holds departures. */
  private createWholeMessage(): BackendsMessage {
    const records = this.registry.records();
    const batchId = records.some(isDeparture) ? this.batches.createId() : 0;
    return { type: ControlMessageType.Backends, batchId, records, expiredIds: [] };
  }

  /** Saves ready backend servers, so that a start of all hosts at once begins with records. */
  private saveWhenDue(): void {
    const intervalMs = this.unsaved ? SAVE_CHANGED_MS : SAVE_INTERVAL_MS;
    if (this.registry.size === 0 || this.nowMs - this.savedAtMs < intervalMs) return;
    this.savedAtMs = this.nowMs;
    this.unsaved = false;
    const ready = this.registry.records().filter((record) => record.state === BackendState.Ready);
    const records = [...ready, ...this.restored.current(this.nowMs)];
    this.options.emit({ type: ControlEffectType.SaveBackends, records });
  }

  private sendRestored(sessionId: number): void {
    const records = this.restored.current(this.nowMs);
    if (records.length === 0) return;
    this.sendLarge(sessionId, {
      type: ControlMessageType.Backends,
      batchId: 0,
      records,
      expiredIds: [],
      provisional: true,
    });
  }

  private isMajority(ids: ReadonlySet<string>): boolean {
    const { log } = this.options.raft;
    const acked = log.membership.voters.filter((voter) => ids.has(voter.id)).length;
    return acked >= log.quorum && log.membership.voters.length > 0;
  }

  /** Answers the announcement of a backend server that is ready. */
  private confirm(requestId: string, record: BackendRecord): void {
    const confirmed = this.hasQuorum();
    this.options.emit({ type: ControlEffectType.AnswerAnnouncement, requestId, confirmed });
    if (!confirmed) {
      const leader = this.options.raft.leaderId ?? 'none';
      this.log('announcement_refused', { backend: record.id, sequence: record.sequence, leader });
    }
  }

  private relay(to: string, batchId: number, records: readonly BackendRecord[]): void {
    const from = this.options.raft.id;
    const type = ControlMessageType.BackendRelay;
    this.sendControl(to, { type, from, batchId, records, acceptsUnstored: true });
  }

  private sendControl(to: string, message: ControlPeerMessage): void {
    this.options.emit({ type: ControlEffectType.SendControl, to, message });
  }

  /** Sends a message that may be compressed. */
  private sendLarge(sessionId: number, message: ControlToEntryMessage): void {
    const acceptsCompressed = this.compressedWatchers.has(sessionId);
    const type = ControlEffectType.SendSession;
    this.options.emit({ type, sessionId, message, acceptsCompressed });
  }

  private log(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.options.emit({ type: ControlEffectType.Log, event, fields });
  }
}
