import type { BackendRecord } from '../common/backends/Types.js';
import { CONTACT_SILENCE_MS, departureKey } from './DepartureDelivery.js';

/** Acknowledgements of one departure by control hosts. */
interface DepartureProgress {
  /** Batches in which it was relayed, one for each announcement. */
  readonly batchIds: Set<number>;
  /** Control hosts that hold the departure on disk. */
  readonly memberAcks: Set<string>;
  /** Control hosts all of whose entry hosts have acknowledged it. */
  readonly delivered: Set<string>;
  /** Control hosts that hold it, but not all of whose entry hosts have acknowledged it. */
  readonly undelivered: Set<string>;
  askedAtMs: number;
}

/** Departure that waits for acknowledgements of control hosts and entry hosts. */
export interface PendingDeparture {
  readonly requestId: string;
  readonly id: string;
  readonly bornMs: number;
  readonly dueAtMs: number;
  readonly progress: DepartureProgress;
}

/** Announcement of a departure. */
export interface DepartureRequest {
  readonly requestId: string;
  /** Batch in which the departure is relayed. */
  readonly batchId: number;
  readonly record: Pick<BackendRecord, 'id' | 'bornMs' | 'state'>;
}

/** Result of a departure that is complete. */
export interface CompletedDeparture {
  readonly departure: PendingDeparture;
  readonly confirmed: boolean;
}

/** Departures that another control host relayed, and what was reported to it. */
export interface PendingDelivery {
  readonly from: string;
  readonly relayBatchId: number;
  /** Keys of the departures. */
  readonly keys: readonly string[];
  readonly receivedAtMs: number;
  /** True if the other control host accepts a report before the departures are on disk. */
  readonly acceptsUnstored: boolean;
  /** True once the departures are on disk. */
  isStored: boolean;
  /** Last report; undefined before the first one. */
  reported?: DeliveryReport;
  /** Departure that was last found to wait for an entry host. */
  waitingKey?: string;
}

/** Report on a relayed batch. */
export interface DeliveryReport {
  readonly delivered: boolean;
  readonly stored: boolean;
}

/** Report to send to the control host that relayed a batch. */
export interface DueReport extends DeliveryReport {
  readonly delivery: PendingDelivery;
}

/** Acknowledgement of a relayed batch by another control host. */
export interface MemberAck {
  readonly from: string;
  readonly batchId: number;
  /** False while some of its entry hosts have not acknowledged the batch. */
  readonly delivered: boolean;
  /** False while the batch is not on its disk. */
  readonly stored: boolean;
}

/** Dependencies of {@link PendingDepartures}. */
export interface PendingDeparturesOptions {
  /** True if these control hosts are a majority of the voters. */
  readonly isMajority: (ids: ReadonlySet<string>) => boolean;
  /** True while an entry host of this control host has not acknowledged a departure. */
  readonly isWaiting: (key: string) => boolean;
  /** Other control hosts in contact, whose entry hosts must have acknowledged a departure. */
  readonly awaitedIds: () => readonly string[];
  /** True for another control host in contact, of whichever version. */
  readonly isInContact: (id: string) => boolean;
}

/**
 * Time after which a departure that lacks acknowledgements is answered as not confirmed; shorter
 * than the second after which an announcing client tries another control host.
 */
export const DEPARTURE_TIMEOUT_MS = 700;

/**
 * Time after which a control host reports departures that its entry hosts have acknowledged, but
 * that its slow disk does not hold yet; well within {@link DEPARTURE_TIMEOUT_MS}.
 */
const UNSTORED_REPORT_MS = 200;

/**
 * Time for which acknowledgements count for the next announcement of the same departure, so that a
 * control host that takes longer than {@link DEPARTURE_TIMEOUT_MS} does not prevent every
 * confirmation; one has to come within 4 s.
 */
const PROGRESS_RETENTION_MS = 4_000;

/** Departures that wait for acknowledgements at one control host. */
export class PendingDepartures {
  private departures: PendingDeparture[] = [];

  /** Acknowledgements by departure. */
  private readonly progress = new Map<string, DepartureProgress>();

  private deliveries: PendingDelivery[] = [];

  constructor(private readonly options: PendingDeparturesOptions) {}

  /** Adds an announcement that is answered later; returns it with the acknowledgements so far. */
  add({ requestId, batchId, record }: DepartureRequest, nowMs: number): PendingDeparture {
    const { id, bornMs, state } = record;
    this.progress.forEach(({ askedAtMs }, known) => {
      if (nowMs - askedAtMs > PROGRESS_RETENTION_MS) this.progress.delete(known);
    });
    const key = `${id} ${bornMs} ${state}`;
    const progress = this.progress.get(key) ?? {
      batchIds: new Set(),
      memberAcks: new Set(),
      delivered: new Set(),
      undelivered: new Set(),
      askedAtMs: nowMs,
    };
    progress.askedAtMs = nowMs;
    progress.batchIds.add(batchId);
    this.progress.set(key, progress);
    const dueAtMs = nowMs + DEPARTURE_TIMEOUT_MS;
    const departure = { requestId, id, bornMs, dueAtMs, progress };
    this.departures.push(departure);
    return departure;
  }

  /** Waits until entry hosts have acknowledged the departures that another control host relayed. */
  addDelivery(delivery: PendingDelivery): void {
    this.deliveries.push(delivery);
  }

  /** Records that a control host has a batch, on disk or not, and whether its entry hosts do. */
  noteMemberAck({ from, batchId, delivered, stored }: MemberAck): void {
    this.progress.forEach((progress) => {
      if (!progress.batchIds.has(batchId)) return;
      if (stored) progress.memberAcks.add(from);
      const [reported, other] = delivered
        ? [progress.delivered, progress.undelivered]
        : [progress.undelivered, progress.delivered];
      reported.add(from);
      other.delete(from);
    });
  }

  /** Control hosts whose entry hosts may not have acknowledged a departure. */
  missingMembers({ progress }: PendingDeparture): string[] {
    const { delivered, undelivered } = progress;
    const { awaitedIds, isInContact } = this.options;
    const unreported = awaitedIds().filter((id) => !delivered.has(id));
    return [...new Set([...[...undelivered].filter(isInContact), ...unreported])];
  }

  /** Removes and returns the departures that are confirmed or due. */
  takeCompleted(nowMs: number): CompletedDeparture[] {
    if (this.departures.length === 0) return [];
    const completed: CompletedDeparture[] = [];
    this.departures = this.departures.filter((departure) => {
      const confirmed = this.isConfirmed(departure);
      if (!confirmed && nowMs < departure.dueAtMs) return true;
      completed.push({ departure, confirmed });
      return false;
    });
    return completed;
  }

  /**
   * Returns the reports that are due. A batch that was reported as delivered is reported again if
   * an entry host links that has not acknowledged it, for as long as that may delay a confirmation.
   *
   * @param includesDelivered - false to leave out what was reported as delivered
   */
  takeReports(nowMs: number, includesDelivered: boolean): DueReport[] {
    if (this.deliveries.length === 0) return [];
    const reports: DueReport[] = [];
    this.deliveries = this.deliveries.filter((delivery) => {
      const ageMs = nowMs - delivery.receivedAtMs;
      const { isStored, acceptsUnstored, reported } = delivery;
      const isDone = reported?.delivered === true && reported.stored === isStored;
      if (isDone && !includesDelivered) return true;
      const delivered = !this.isDeliveryWaiting(delivery);
      const isUnstoredDue = acceptsUnstored && ageMs >= UNSTORED_REPORT_MS;
      const isDue = isStored || (isUnstoredDue && (delivered || reported !== undefined));
      if (isDue && (reported?.delivered !== delivered || reported.stored !== isStored)) {
        Object.assign(delivery, { reported: { delivered, stored: isStored } });
        reports.push({ delivery, delivered, stored: isStored });
      }
      return !isStored || ageMs < CONTACT_SILENCE_MS;
    });
    return reports;
  }

  /** True while one of the departures waits; the one found last is tried first. */
  private isDeliveryWaiting(delivery: PendingDelivery): boolean {
    const { isWaiting } = this.options;
    const { keys, waitingKey } = delivery;
    if (waitingKey !== undefined && isWaiting(waitingKey)) return true;
    const found = keys.find(isWaiting);
    Object.assign(delivery, { waitingKey: found });
    return found !== undefined;
  }

  private isConfirmed(departure: PendingDeparture): boolean {
    const { isMajority, isWaiting } = this.options;
    return (
      isMajority(departure.progress.memberAcks) &&
      !isWaiting(departureKey(departure)) &&
      this.missingMembers(departure).length === 0
    );
  }
}
