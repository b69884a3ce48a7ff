import type { SettingsMessage } from '../common/Messages.js';
import type { BackendLifecycleState } from '../common/Enums.js';
import type { PoolStatus } from './Types.js';

/** Kinds of messages between entry hosts. */
export enum PeerMessageType {
  LeaseRequest = 'lease-request',
  LeaseReleased = 'lease-released',
  PoolStatus = 'pool-status',
  Report = 'report',
  Suspicion = 'suspicion',
  FreshnessRequest = 'freshness-request',
  FreshnessReply = 'freshness-reply',
}

/** Requests that the previous leaseholder stop dispatching to a backend server. */
export interface LeaseRequestMessage {
  readonly type: PeerMessageType.LeaseRequest;
  readonly backendId: string;
  readonly incarnation: number;
}

/** Reports that the sender no longer holds the lease. */
export interface LeaseReleasedMessage {
  readonly type: PeerMessageType.LeaseReleased;
  readonly backendId: string;
  readonly incarnation: number;
  /** Requests of the sender that still run there. */
  readonly inFlight: number;
  /** Concurrency limit that the sender had reached. */
  readonly limit: number;
}

/** Free capacity of a leaseholder for one service. */
export interface PoolStatusMessage {
  readonly type: PeerMessageType.PoolStatus;
  readonly service: string;
  readonly status: PoolStatus;
}

/** Relayed load report, for the policies that dispatch without leases. */
export interface ReportMessage {
  readonly type: PeerMessageType.Report;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: BackendLifecycleState;
  readonly slots: number;
  readonly inFlight: number;
}

/** Reports a backend server that crashed, or may have, while a call was in flight there. */
export interface SuspicionMessage {
  readonly type: PeerMessageType.Suspicion;
  readonly service: string;
  readonly fingerprint: string;
  readonly backendId: string;
  readonly incarnation: number;
  /** True if the crash is confirmed, false if it is only suspected. */
  readonly confirmed: boolean;
}

/** Requests a peer's settings and the time for which they are known to be current. */
export interface FreshnessRequestMessage {
  readonly type: PeerMessageType.FreshnessRequest;
  readonly requestId: number;
  readonly appliedIndex: number;
}

export interface FreshnessReplyMessage {
  readonly type: PeerMessageType.FreshnessReply;
  readonly requestId: number;
  readonly index: number;
  /** Remaining time for which the sender's settings are known to be current. */
  readonly currentForMs: number;
  /** Present if the requester's settings were older. */
  readonly settings: SettingsMessage | null;
}

export type PeerMessage =
  | LeaseRequestMessage
  | LeaseReleasedMessage
  | PoolStatusMessage
  | ReportMessage
  | SuspicionMessage
  | FreshnessRequestMessage
  | FreshnessReplyMessage;
