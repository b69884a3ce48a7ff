import { BackendState, type BackendRecord } from '../common/backends/Types.js';

/** Entry host that receives the registry from this control host, or did until its link was lost. */
interface WatcherContact {
  readonly entryHostId: string;
  /** Session that receives the registry; undefined once it was lost. */
  sessionId: number | undefined;
  /** Time of the last heartbeat or acknowledgement. */
  lastSeenMs: number;
  /** Departures in the batches that the session has not acknowledged, by batch id. */
  readonly unacked: Map<number, readonly string[]>;
  /** Time at which departures that are not acknowledged are sent again. */
  resendAtMs: number;
  /** Time from the last batch with departures until then. */
  resendAfterMs: number;
}

/** Departure that some entry hosts have not acknowledged. */
interface UndeliveredDeparture {
  readonly record: BackendRecord;
  readonly missing: Set<WatcherContact>;
  /** One of the missing ones that was in contact, so that not all of them are searched. */
  witness: WatcherContact | undefined;
}

/** Departures to send again on a session. */
export interface Resend {
  readonly sessionId: number;
  readonly records: readonly BackendRecord[];
}

/** Dependencies of a {@link DepartureDelivery}. */
export interface DepartureDeliveryOptions {
  /** Time of the last heartbeat on a session; undefined without a session. */
  readonly lastSeenMs: (sessionId: number) => number | undefined;
  /** Id of the entry host of a session; empty without a session. */
  readonly entryHostId: (sessionId: number) => string;
}

/**
 * Silence after which an entry host, or another control host, is not waited for. A departure must
 * be confirmed within 4 s although one is silent, which leaves 2 s for the announcements. An entry
 * host that lost its link has a new session 3 s later at the most (`SessionAdmission`): with
 * these 2 s, that is within the 2 s after the confirmation in which it may still send calls.
 */
export const CONTACT_SILENCE_MS = 2_000;

/**
 * Times after which departures are sent again to an entry host that has not acknowledged them:
 * the first one, within the 4 s of a confirmation, and the longest; each is twice the one before, as
 * the messages may wait on a slow link. After a whole list, which takes longer, it is the longest.
 */
const RESEND_FIRST_MS = 500;
const RESEND_MAX_MS = 2_000;

/** Unacknowledged batches kept for one session; older ones have been sent again since. */
const MAX_UNACKED_BATCHES = 64;

/** Identifies the departure of one incarnation. */
export function departureKey({ id, bornMs }: Pick<BackendRecord, 'id' | 'bornMs'>): string {
  return `${id} ${bornMs}`;
}

/** True for a record of a backend server that is leaving or has left. */
export function isDeparture(record: BackendRecord): boolean {
  return record.state !== BackendState.Ready;
}

/**
 * Departures that entry hosts of one control host have not acknowledged. It counts entry hosts, not
 * sessions: one whose link was lost still sends calls by its old list until it has acknowledged
 * the list of a new session, or has been silent for {@link CONTACT_SILENCE_MS}.
 *
 * @example
 * delivery.open(1, 7, []); // entry host of session 1 was sent the registry in batch 7
 * delivery.add([draining]); // departure that all entry hosts have to acknowledge
 * delivery.noteSent(8, [draining]); // the batch with it
 * delivery.acknowledge(1, 8);
 * delivery.isWaiting(departureKey(draining)); // false
 */
export class DepartureDelivery {
  /** Entry hosts by id. */
  private readonly contacts = new Map<string, WatcherContact>();

  private readonly bySession = new Map<number, WatcherContact>();

  private readonly undelivered = new Map<string, UndeliveredDeparture>();

  private nowMs = 0;

  constructor(private readonly options: DepartureDeliveryOptions) {}

  beginEvent(nowMs: number): void {
    this.nowMs = nowMs;
  }

  /**
   * Begins to wait for an entry host, which was sent the whole registry.
   *
   * @param batchId - batch with the whole registry; 0 if it holds no departure
   * @param departures - departures in the registry, all of which it has to acknowledge
   */
  open(sessionId: number, batchId: number, departures: readonly BackendRecord[]): void {
    const entryHostId = this.options.entryHostId(sessionId) || `session ${sessionId}`;
    const contact = this.contacts.get(entryHostId) ?? {
      entryHostId,
      sessionId,
      lastSeenMs: this.nowMs,
      unacked: new Map(),
      resendAtMs: this.nowMs,
      resendAfterMs: RESEND_MAX_MS,
    };
    if (contact.sessionId !== undefined) this.bySession.delete(contact.sessionId);
    contact.sessionId = sessionId;
    contact.lastSeenMs = this.nowMs;
    contact.unacked.clear();
    contact.resendAfterMs = RESEND_MAX_MS;
    contact.resendAtMs = this.nowMs + RESEND_MAX_MS;
    this.contacts.set(entryHostId, contact);
    this.bySession.set(sessionId, contact);
    departures.forEach((record) => {
      const known = this.undelivered.get(departureKey(record));
      const missing = known?.missing ?? new Set();
      missing.add(contact);
      this.undelivered.set(departureKey(record), { record, missing, witness: contact });
    });
    if (batchId > 0) contact.unacked.set(batchId, departures.map(departureKey));
  }

  /** Ends the waiting for an entry host that has ended its subscription and watches others. */
  end(sessionId: number): void {
    const contact = this.bySession.get(sessionId);
    if (contact) this.remove(contact);
  }

  /** Notes the loss of a link: the entry host is waited for until it is back or silent. */
  lose(sessionId: number): void {
    const contact = this.bySession.get(sessionId);
    if (!contact) return;
    this.bySession.delete(sessionId);
    contact.sessionId = undefined;
    contact.unacked.clear();
  }

  /** Adds departures that no entry host has acknowledged. */
  add(records: readonly BackendRecord[]): void {
    records.forEach((record) => {
      const missing = new Set(this.contacts.values());
      if (missing.size === 0) return;
      this.undelivered.set(departureKey(record), { record, missing, witness: undefined });
    });
  }

  /** Notes departures that were sent to all sessions in a batch. */
  noteSent(batchId: number, records: readonly BackendRecord[]): void {
    const keys = records.map(departureKey);
    if (keys.length === 0) return;
    this.bySession.forEach((contact) => {
      contact.resendAfterMs = RESEND_FIRST_MS;
      this.noteSentTo(contact, batchId, keys);
    });
  }

  /** Notes departures that were sent again on one session. */
  noteResent({ sessionId, records }: Resend, batchId: number): void {
    const contact = this.bySession.get(sessionId);
    if (!contact) return;
    contact.resendAfterMs = Math.min(RESEND_MAX_MS, contact.resendAfterMs * 2);
    this.noteSentTo(contact, batchId, records.map(departureKey));
  }

  /** Notes an acknowledgement; returns true if nobody is missing any more for some departure. */
  acknowledge(sessionId: number, batchId: number): boolean {
    const contact = this.bySession.get(sessionId);
    const keys = contact?.unacked.get(batchId);
    if (!contact || !keys) return false;
    contact.unacked.delete(batchId);
    contact.lastSeenMs = this.nowMs;
    let isComplete = false;
    keys.forEach((key) => {
      const missing = this.undelivered.get(key)?.missing;
      if (missing?.delete(contact) && missing.size === 0) isComplete = true;
    });
    return isComplete;
  }

  /** True while an entry host in contact has not acknowledged a departure. */
  isWaiting(key: string): boolean {
    const departure = this.undelivered.get(key);
    if (!departure) return false;
    const { missing, witness } = departure;
    if (witness && missing.has(witness) && this.isInContact(witness)) return true;
    departure.witness = [...missing].find((contact) => this.isInContact(contact));
    return departure.witness !== undefined;
  }

  /** Ids of the entry hosts in contact that have not acknowledged a departure. */
  missingIds(key: string): string[] {
    return [...(this.undelivered.get(key)?.missing ?? [])]
      .filter((contact) => this.isInContact(contact))
      .map(({ entryHostId }) => entryHostId);
  }

  /** Returns the departures to send again; those of a silent entry host wait until it is back. */
  takeResends(): Resend[] {
    const due = new Map<number, BackendRecord[]>();
    this.undelivered.forEach(({ record, missing }) =>
      missing.forEach((contact) => {
        const { sessionId, resendAtMs } = contact;
        if (sessionId === undefined || this.nowMs < resendAtMs) return;
        if (!this.isInContact(contact)) return;
        const records = due.get(sessionId) ?? [];
        records.push(record);
        due.set(sessionId, records);
      }),
    );
    return [...due].map(([sessionId, records]) => ({ sessionId, records }));
  }

  /** Number of departures that some entry host has not acknowledged. */
  get size(): number {
    return [...this.undelivered.values()].filter(({ missing }) => missing.size > 0).length;
  }

  /** Notes heartbeats, and forgets what nobody waits for. */
  tick(): void {
    this.contacts.forEach((contact) => {
      const isLost = contact.sessionId === undefined;
      if (!this.isInContact(contact) && isLost) this.remove(contact);
    });
    this.undelivered.forEach(({ missing }, key) => {
      if (missing.size === 0) this.undelivered.delete(key);
    });
  }

  /** Forgets the departures of backend servers that are no longer known. */
  forget(ids: readonly string[]): void {
    const gone = new Set(ids);
    this.undelivered.forEach(({ record }, key) => {
      if (gone.has(record.id)) this.undelivered.delete(key);
    });
  }

  private noteSentTo(contact: WatcherContact, batchId: number, keys: readonly string[]): void {
    const { unacked } = contact;
    unacked.set(batchId, keys);
    contact.resendAtMs = this.nowMs + contact.resendAfterMs;
    const [oldest] = unacked.keys();
    if (unacked.size > MAX_UNACKED_BATCHES && oldest !== undefined) unacked.delete(oldest);
  }

  private isInContact(contact: WatcherContact): boolean {
    const { sessionId } = contact;
    const seenMs = sessionId === undefined ? undefined : this.options.lastSeenMs(sessionId);
    contact.lastSeenMs = Math.max(contact.lastSeenMs, seenMs ?? contact.lastSeenMs);
    return this.nowMs - contact.lastSeenMs < CONTACT_SILENCE_MS;
  }

  private remove(contact: WatcherContact): void {
    if (contact.sessionId !== undefined) this.bySession.delete(contact.sessionId);
    this.contacts.delete(contact.entryHostId);
    this.undelivered.forEach(({ missing }) => missing.delete(contact));
  }
}
