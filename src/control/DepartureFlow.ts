import type { BackendRecord } from '../common/backends/Types.js';
import {
  ControlMessageType,
  type BackendRelayAckMessage,
  type BackendRelayMessage,
} from '../common/Messages.js';
import { departureKey, DepartureDelivery, isDeparture } from './DepartureDelivery.js';
import { DepartureStore } from './DepartureStore.js';
import type { EntrySessions } from './EntrySessions.js';
import type { ExchangePeers } from './ExchangePeers.js';
import { PeerContacts } from './PeerContacts.js';
import { PendingDepartures, type DueReport, type PendingDelivery } from './PendingDepartures.js';
import type { RegistryBatches } from './RegistryBatches.js';
import type { RaftState } from './raft/RaftState.js';
import { ControlEffectType, type ControlEffect } from './Types.js';

/** Dependencies of a {@link DepartureFlow}. */
export interface DepartureFlowOptions {
  readonly raft: RaftState;
  readonly peers: ExchangePeers;
  readonly sessions: EntrySessions;
  readonly batches: RegistryBatches;
  readonly emit: (effect: ControlEffect) => void;
  /** Every record of this host. */
  readonly records: () => readonly BackendRecord[];
  /** True if these control hosts are a majority of the voters. */
  readonly isMajority: (ids: ReadonlySet<string>) => boolean;
  /** Sends records on one session, in a batch that is acknowledged. */
  readonly resend: (sessionId: number, batchId: number, records: readonly BackendRecord[]) => void;
}

/** Most ids of entry hosts in one line of the log; hundreds may be missing. */
const LOGGED_IDS = 10;

/**
 * Departures at one control host, from the announcement to the answer. One is confirmed once a
 * majority of the control hosts have it on disk, and all entry hosts in contact with a control host
 * that is itself in contact have acknowledged it. Otherwise the answer is "not confirmed", soon
 * enough for the backend server to announce it again.
 */
export class DepartureFlow {
  private readonly delivery: DepartureDelivery;

  private readonly store: DepartureStore;

  private readonly pending: PendingDepartures;

  private readonly contacts = new PeerContacts();

  /** Start times of backend servers whose departure this host has confirmed, by id. */
  private readonly confirmed = new Map<string, number>();

  private nowMs = 0;

  constructor(private readonly options: DepartureFlowOptions) {
    const { peers, sessions, records, emit, isMajority } = options;
    this.delivery = new DepartureDelivery({
      lastSeenMs: (sessionId) => sessions.lastSeenMs(sessionId),
      entryHostId: (sessionId) => sessions.entryHostId(sessionId),
    });
    this.store = new DepartureStore({ records, emit });
    this.pending = new PendingDepartures({
      isMajority,
      isWaiting: (key) => this.delivery.isWaiting(key),
      awaitedIds: () => this.contacts.awaited(peers.members(), this.nowMs),
      isInContact: (id) => this.contacts.isInContact(id, this.nowMs),
    });
  }

  /** Number of departures that some entry host has not acknowledged. */
  get undelivered(): number {
    return this.delivery.size;
  }

  beginEvent(nowMs: number): void {
    this.nowMs = nowMs;
    this.delivery.beginEvent(nowMs);
  }

  isConfirmed({ id, bornMs }: BackendRecord): boolean {
    return this.confirmed.get(id) === bornMs;
  }

  /** Saves departures that have changed; entry hosts have to acknowledge them. */
  noteChanged(records: readonly BackendRecord[]): void {
    const departures = records.filter(isDeparture);
    if (departures.length === 0) return;
    this.delivery.add(departures);
    this.store.noteChanged();
  }

  /** Answers an announcement once its departure is confirmed, or later as not confirmed. */
  awaitConfirmation(requestId: string, record: BackendRecord): void {
    const { batchId } = this.options.batches;
    const { progress } = this.pending.add({ requestId, batchId, record }, this.nowMs);
    this.store.whenSaved(() => {
      progress.memberAcks.add(this.options.raft.id);
      this.complete();
    });
  }

  /**
   * Reports that relayed departures are on disk, and whether all own entry hosts acknowledged them.
   *
   * @param send - sends them to the entry hosts
   */
  reportDelivery(
    { from, batchId, acceptsUnstored = false }: BackendRelayMessage,
    departures: readonly BackendRecord[],
    send: () => void,
  ): void {
    const delivery: PendingDelivery = {
      from,
      relayBatchId: batchId,
      keys: departures.map(departureKey),
      receivedAtMs: this.nowMs,
      acceptsUnstored,
      isStored: false,
    };
    // Entry hosts may acknowledge the batch before it is on disk.
    this.pending.addDelivery(delivery);
    send();
    this.store.whenSaved(() => {
      delivery.isStored = true;
      this.complete();
    });
  }

  /** Notes the report of another control host. */
  noteMemberAck(message: BackendRelayAckMessage): void {
    const { from, batchId, delivered = true, stored = true } = message;
    this.pending.noteMemberAck({ from, batchId, delivered, stored });
    this.complete();
  }

  /** Notes a sign of life of another control host. */
  noteContact(memberId: string): void {
    this.contacts.note(memberId, this.nowMs);
  }

  /** Notes whether another control host reports deliveries, whatever the state of its disk. */
  noteReports(memberId: string, reports: boolean): void {
    this.contacts.noteReports(memberId, reports);
  }

  /** Notes that an entry host was sent the whole registry in a batch; 0 if it has no departure. */
  openSession(sessionId: number, batchId: number, records: readonly BackendRecord[]): void {
    this.delivery.open(sessionId, batchId, records.filter(isDeparture));
    this.complete(true);
  }

  /** Notes that an entry host has ended its subscription and watches other control hosts. */
  endSession(sessionId: number): void {
    this.delivery.end(sessionId);
    this.complete();
  }

  /** Notes that the link of an entry host was lost. */
  loseSession(sessionId: number): void {
    this.delivery.lose(sessionId);
  }

  acknowledge(sessionId: number, batchId: number): void {
    // Most acknowledgements of hundreds change nothing yet; silent entry hosts are left to the tick.
    if (this.delivery.acknowledge(sessionId, batchId)) this.complete();
  }

  /** Notes records that were sent to all sessions in a batch. */
  noteSent(batchId: number, records: readonly BackendRecord[]): void {
    this.delivery.noteSent(batchId, records.filter(isDeparture));
  }

  /** Completes a save of the departures. */
  onSaved(saveId: number): void {
    this.store.onSaved(saveId);
  }

  tick(): void {
    this.delivery.tick();
    this.complete(true);
    this.delivery.takeResends().forEach((resend) => {
      const { sessionId, records } = resend;
      const batchId = this.options.batches.createId();
      this.options.resend(sessionId, batchId, records);
      this.delivery.noteResent(resend, batchId);
    });
  }

  /** Forgets backend servers that are no longer known. */
  forget(ids: readonly string[]): void {
    ids.forEach((id) => this.confirmed.delete(id));
    this.delivery.forget(ids);
  }

  /**
   * Reports and answers what is due.
   *
   * @param includesDelivered - true if an entry host may be missing again
   */
  private complete(includesDelivered = false): void {
    const { emit } = this.options;
    this.pending
      .takeReports(this.nowMs, includesDelivered)
      .forEach((report) => this.sendReport(report));
    this.pending.takeCompleted(this.nowMs).forEach(({ departure, confirmed }) => {
      const { requestId, id, bornMs, progress } = departure;
      if (confirmed) this.confirmed.set(id, bornMs);
      emit({ type: ControlEffectType.AnswerAnnouncement, requestId, confirmed });
      const missingIds = this.delivery.missingIds(departureKey(departure));
      const fields = {
        backend: id,
        confirmed,
        controlHosts: progress.memberAcks.size,
        entryHostsMissing: missingIds.length,
      };
      emit({ type: ControlEffectType.Log, event: 'backend_departure', fields });
      if (confirmed) return;
      const waits = {
        backend: id,
        entryHosts: missingIds.slice(0, LOGGED_IDS).join(','),
        controlHosts: this.pending.missingMembers(departure).join(','),
      };
      emit({ type: ControlEffectType.Log, event: 'departure_waits', fields: waits });
    });
  }

  private sendReport({ delivery, delivered, stored }: DueReport): void {
    const message = {
      type: ControlMessageType.BackendRelayAck,
      from: this.options.raft.id,
      batchId: delivery.relayBatchId,
      delivered,
      ...(delivery.acceptsUnstored && { stored }),
    } as const;
    this.options.emit({ type: ControlEffectType.SendControl, to: delivery.from, message });
  }
}
