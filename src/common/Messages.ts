import type { BackendRecord } from './backends/Types.js';
import type { LevelColumns, UsageColumns } from './caps/Types.js';
import type { EntryHost } from './Placement.js';
import type { EvidenceRow } from './rollouts/Evidence.js';
import type { RoutingView } from './routing/Types.js';
import type { SettingsTree } from './SettingsSchema.js';
import type { ErrorKind } from './Errors.js';

/** Kinds of messages between an entry host and a control host. */
export enum ControlMessageType {
  Hello = 'hello',
  Ping = 'ping',
  Pong = 'pong',
  FetchSettings = 'fetch-settings',
  Settings = 'settings',
  SettingsDelta = 'settings-delta',
  EntryHosts = 'entry-hosts',
  EntryHostChanges = 'entry-host-changes',
  Claim = 'claim',
  ClaimReply = 'claim-reply',
  Settle = 'settle',
  SettleReply = 'settle-reply',
  Watch = 'watch',
  Routing = 'routing',
  PackedRouting = 'packed-routing',
  Compressed = 'compressed',
  Backends = 'backends',
  BackendsAck = 'backends-ack',
  CrashReport = 'crash-report',
  LimitReport = 'limit-report',
  BackendRelay = 'backend-relay',
  BackendRelayAck = 'backend-relay-ack',
  BackendRenewals = 'backend-renewals',
  EntryHostsShare = 'entry-hosts-share',
  ReportRelay = 'report-relay',
  UsageReport = 'usage-report',
  UsageShare = 'usage-share',
  UsageUpdate = 'usage-update',
  RolloutEvidence = 'rollout-evidence',
  RolloutEvidenceRelay = 'rollout-evidence-relay',
  RoutingProgress = 'routing-progress',
}

/** How a session receives the list of entry hosts. */
export enum EntryHostUpdates {
  /** The whole list after every change; sessions of earlier versions receive it so. */
  Whole = 'whole',
  /** The whole list once, then its changes. */
  Changes = 'changes',
  None = 'none',
}

/** First message that an entry host sends on a link. */
export interface HelloMessage {
  readonly type: ControlMessageType.Hello;
  readonly entryHost: EntryHost;
  /** Updates until the first watch message; the whole list if omitted. */
  readonly entryHostUpdates?: EntryHostUpdates;
}

/** Checks for newer settings; also serves as the heartbeat of the entry host. */
export interface PingMessage {
  readonly type: ControlMessageType.Ping;
  readonly pingId: number;
  /** Log index of the settings that the entry host applies. */
  readonly appliedIndex: number;
  /** True if the control host should push changes to this entry host. */
  readonly subscribe: boolean;
  readonly stopping: boolean;
  /** True while the entry host reaches no backend server; earlier versions omit it. */
  readonly cutOff?: boolean;
  /** Index of the entry host's membership; a pong with the same index omits the voters. */
  readonly membershipIndex?: number;
  /**
   * Log index of the newest routing that an entry host of routed services knows of. Within 1.4 s it applies
   * it or refuses calls. Earlier versions omit it, and so do other entry hosts.
   */
  readonly knownIndex?: number;
}

/** Address at which entry hosts reach a control host. */
export interface VoterAddress {
  readonly id: string;
  readonly address: string;
  readonly port: number;
}

/** Answer to a ping. */
export interface PongMessage {
  readonly type: ControlMessageType.Pong;
  readonly pingId: number;
  /** Log index of the newest settings change in the host's log, committed or not. */
  readonly newestSettingsIndex: number;
  readonly leaderId: string | null;
  readonly membershipIndex: number;
  /** Empty if the ping has the same membership index. */
  readonly voters: readonly VoterAddress[];
  /** True if this control host is a voter. */
  readonly isVoter: boolean;
  /** Availability zone of this control host; earlier versions omit it. */
  readonly availabilityZone?: string;
  /** Log index of the newest routing that this control host has applied; earlier versions omit it. */
  readonly routingIndex?: number;
  /**
   * True if this control host is in contact with a majority and has applied all that was committed
   * when the contact began; earlier versions omit it.
   */
  readonly isCurrent?: boolean;
}

export interface FetchSettingsMessage {
  readonly type: ControlMessageType.FetchSettings;
}

/** The whole settings tree at a log index. */
export interface SettingsMessage {
  readonly type: ControlMessageType.Settings;
  readonly index: number;
  readonly revision: number;
  readonly tree: SettingsTree;
}

/** One change of the settings tree; applies only to the tree at `previousIndex`. */
export interface SettingsDeltaMessage {
  readonly type: ControlMessageType.SettingsDelta;
  readonly previousIndex: number;
  readonly index: number;
  readonly revision: number;
  readonly path: string;
  readonly value: unknown;
}

/** Entry hosts with a session at the control host. */
export interface EntryHostsMessage {
  readonly type: ControlMessageType.EntryHosts;
  readonly entryHosts: readonly EntryHost[];
}

/** Changes of the list of entry hosts since the last message on the same link. */
export interface EntryHostChangesMessage {
  readonly type: ControlMessageType.EntryHostChanges;
  /** Entry hosts that are new or changed. */
  readonly entryHosts: readonly EntryHost[];
  readonly removedIds: readonly string[];
}

/** Requests permission to run a non-idempotent call once. */
export interface ClaimMessage {
  readonly type: ControlMessageType.Claim;
  readonly requestId: string;
  readonly key: string;
  readonly service: string;
  readonly fingerprint: string;
  readonly attemptId: string;
  readonly holdMs: number;
}

/** Verdict on a {@link ClaimMessage}. */
export enum ClaimReplyVerdict {
  Granted = 'granted',
  InProgress = 'in-progress',
  Unknown = 'unknown',
  Replay = 'replay',
  Refused = 'refused',
  /** The control host isn't the leader or has lost its majority; the claim's state is unknown. */
  Unavailable = 'unavailable',
}

/** Answer recorded for a replay. */
export interface ReplayAnswer {
  readonly statusCode: number;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
}

export interface ClaimReplyMessage {
  readonly type: ControlMessageType.ClaimReply;
  readonly requestId: string;
  readonly verdict: ClaimReplyVerdict;
  readonly answer: ReplayAnswer | null;
  readonly refusal: ErrorKind | null;
}

/** Outcome of a claimed call. */
export enum ClaimOutcome {
  Answered = 'answered',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

export interface SettleMessage {
  readonly type: ControlMessageType.Settle;
  readonly requestId: string;
  readonly key: string;
  readonly service: string;
  readonly attemptId: string;
  readonly outcome: ClaimOutcome;
  readonly answer: ReplayAnswer | null;
}

export interface SettleReplyMessage {
  readonly type: ControlMessageType.SettleReply;
  readonly requestId: string;
  /** False if storing the result is not confirmed; the entry host then sends it again. */
  readonly durable: boolean;
}

/** Subscribes to the routing and the backend servers, starting with their current state. */
export interface WatchMessage {
  readonly type: ControlMessageType.Watch;
  /** Log index of the routing that the entry host applies. */
  readonly routingIndex: number;
  /**
   * Records of departing and departed backend servers. The control hosts that confirmed a departure
   * may have restarted since.
   */
  readonly departures?: readonly BackendRecord[];
  /** True if large routings may be sent compressed; earlier versions omit it. */
  readonly acceptsPacked?: boolean;
  /** True if any large message may be sent compressed; earlier versions omit it. */
  readonly acceptsCompressed?: boolean;
  /** Changes how the session receives the list of entry hosts. */
  readonly entryHostUpdates?: EntryHostUpdates;
  /** True to end the subscription; earlier versions ignore it and go on sending. */
  readonly ends?: boolean;
}

/** Routing in force. */
export interface RoutingMessage {
  readonly type: ControlMessageType.Routing;
  readonly view: RoutingView;
}

/** Routing in force, compressed; sent only to watchers that accept it. */
export interface PackedRoutingMessage {
  readonly type: ControlMessageType.PackedRouting;
  /** Log index of the routing, so that a known one need not be decompressed. */
  readonly index: number;
  /** The encoded view, compressed with zlib. */
  readonly bytes: Uint8Array;
}

/** Another message, compressed; sent only to watchers that accept it. */
export interface CompressedMessage {
  readonly type: ControlMessageType.Compressed;
  /** The encoded message, compressed with zlib. */
  readonly bytes: Uint8Array;
}

/** Records of the changed backend servers, or of all of them. */
export interface BackendsMessage {
  readonly type: ControlMessageType.Backends;
  /** Identifies a batch that is to be acknowledged; 0 for one that is not. */
  readonly batchId: number;
  readonly records: readonly BackendRecord[];
  /** Backend servers removed because their announcements stopped. */
  readonly expiredIds: readonly string[];
  /** True for provisional records: saved before a restart, used if there is no other record. */
  readonly provisional?: boolean;
  /**
   * Ids of all backend servers that this control host knows, once it has run long enough to have
   * the record of every live one; earlier versions omit it.
   */
  readonly knownIds?: readonly string[];
}

/** Confirms that an entry host has applied a batch to its dispatch. */
export interface BackendsAckMessage {
  readonly type: ControlMessageType.BackendsAck;
  readonly batchId: number;
}

/** Reports a crash of a backend server during a call; relayed to every other entry host. */
export interface CrashReportMessage {
  readonly type: ControlMessageType.CrashReport;
  readonly fingerprint: string;
  readonly backendId: string;
  readonly bornMs: number;
}

/**
 * Reports the limit of requests that a backend server named or ended; relayed to every other entry
 * host, as the limit holds for all of them together.
 */
export interface LimitReportMessage {
  readonly type: ControlMessageType.LimitReport;
  readonly backendId: string;
  readonly bornMs: number;
  /** Requests per second; null once the limit has ended. */
  readonly perSecond: number | null;
}

/** Evidence of one gateway on a running rollout; earlier versions ignore it. */
export interface RolloutEvidenceMessage {
  readonly type: ControlMessageType.RolloutEvidence;
  readonly gatewayId: string;
  /** Distinguishes process starts of the gateway, whose counts begin again. */
  readonly startId: string;
  /** Increases with each report, so that a late one is ignored. */
  readonly sequence: number;
  readonly service: string;
  readonly orderIndex: number;
  /** Log index of the routing that the gateway applies. */
  readonly routingIndex: number;
  /** Counts since the gateway learned of the rollout; a lost report is made good by the next. */
  readonly rows: readonly EvidenceRow[];
}

/** Passes evidence on to the leader; earlier versions ignore it. */
export interface RolloutEvidenceRelayMessage {
  readonly type: ControlMessageType.RolloutEvidenceRelay;
  readonly from: string;
  readonly evidence: RolloutEvidenceMessage;
}

/** Relays announcements to another control host. */
export interface BackendRelayMessage {
  readonly type: ControlMessageType.BackendRelay;
  readonly from: string;
  readonly batchId: number;
  readonly records: readonly BackendRecord[];
  /** True if the sender accepts acknowledgements with `stored`; earlier versions omit it. */
  readonly acceptsUnstored?: boolean;
}

/** Confirms that a control host has merged a relayed batch, and holds its departures on disk. */
export interface BackendRelayAckMessage {
  readonly type: ControlMessageType.BackendRelayAck;
  readonly from: string;
  readonly batchId: number;
  /**
   * False if entry hosts at the control host have not acknowledged the batch yet; another message
   * follows once they have. Earlier versions omit it.
   */
  readonly delivered?: boolean;
  /**
   * False if the departures are not on disk yet; another message follows once they are. Sent only
   * to a control host that accepts it; all earlier ones take the message for a stored batch.
   */
  readonly stored?: boolean;
}

/** Announcements of one interval that changed nothing; sent from protocol version 2 on. */
export interface BackendRenewalsMessage {
  readonly type: ControlMessageType.BackendRenewals;
  readonly from: string;
  /** Ids, start times and sequences of the backend servers, in the same order. */
  readonly ids: readonly string[];
  readonly bornMs: readonly number[];
  readonly sequences: readonly number[];
}

/** Entry hosts with a session at a control host, for the others; from protocol version 2 on. */
export interface EntryHostsShareMessage {
  readonly type: ControlMessageType.EntryHostsShare;
  readonly from: string;
  /** New and changed entry hosts, or all of them. */
  readonly entryHosts: readonly EntryHost[];
  readonly removedIds: readonly string[];
  /** True if the message has all entry hosts. */
  readonly isWhole: boolean;
  /** Version of the sender's list, and the one that the changes build on. */
  readonly version: number;
  readonly baseVersion: number;
  /** True to ask for the receiver's whole list; the other fields then mean nothing. */
  readonly requestsWhole: boolean;
  /**
   * True in whole lists if the sender reports the delivery of departures whatever the state of its
   * disk, so that others wait for the report; earlier versions omit it.
   */
  readonly reportsDelivery?: boolean;
}

/** Report of an entry host, for those that watch another control host; from version 2 on. */
export interface ReportRelayMessage {
  readonly type: ControlMessageType.ReportRelay;
  readonly from: string;
  readonly report: CrashReportMessage | LimitReportMessage;
}

/** Calls of customers that an entry host counted; sent from protocol version 3 on. */
export interface UsageReportMessage {
  readonly type: ControlMessageType.UsageReport;
  /** Identifies the start of the entry host's process, from which the totals count. */
  readonly startedAtMs: number;
  readonly usage: UsageColumns;
}

/** Customers near their usage cap, for entry hosts that report their usage. */
export interface UsageUpdateMessage {
  readonly type: ControlMessageType.UsageUpdate;
  readonly levels: LevelColumns;
}

/** Calls of customers that entry hosts reported to a control host, for the other ones. */
export interface UsageShareMessage {
  readonly type: ControlMessageType.UsageShare;
  readonly from: string;
  /** Identifies the start of the sender's process, from which the totals count. */
  readonly startedAtMs: number;
  readonly usage: UsageColumns;
  /** Levels of the customers near their cap; empty until the sender has counted for a window. */
  readonly levels: LevelColumns;
}

/** Routing at the gateways of a control host, for the leader; from protocol version 4 on. */
export interface RoutingProgressMessage {
  readonly type: ControlMessageType.RoutingProgress;
  readonly from: string;
  /** Log index of the newest routing that the sender has applied. */
  readonly routingIndex: number;
  /** Number of gateways in contact with the sender. */
  readonly gatewayCount: number;
  /** Ids of those that have not applied that routing. */
  readonly behind: readonly string[];
  /** Log indexes of the routings that these gateways apply, in the same order. */
  readonly appliedIndexes: readonly number[];
  /** Log indexes of the routings that they know of, in the same order; earlier versions omit it. */
  readonly knownIndexes?: readonly number[];
}

/** Messages between control hosts about backend servers. */
export type RegistryPeerMessage =
  BackendRelayMessage | BackendRelayAckMessage | BackendRenewalsMessage;

/** Messages between control hosts outside the replicated log. */
export type ControlPeerMessage =
  | RegistryPeerMessage
  | EntryHostsShareMessage
  | ReportRelayMessage
  | UsageShareMessage
  | RolloutEvidenceRelayMessage
  | RoutingProgressMessage;

/** Messages from an entry host to a control host. */
export type EntryToControlMessage =
  | HelloMessage
  | PingMessage
  | FetchSettingsMessage
  | ClaimMessage
  | SettleMessage
  | WatchMessage
  | BackendsAckMessage
  | CrashReportMessage
  | LimitReportMessage
  | UsageReportMessage
  | RolloutEvidenceMessage;

/** Messages from a control host to an entry host. */
export type ControlToEntryMessage =
  | PongMessage
  | SettingsMessage
  | SettingsDeltaMessage
  | EntryHostsMessage
  | EntryHostChangesMessage
  | CompressedMessage
  | ClaimReplyMessage
  | SettleReplyMessage
  | RoutingMessage
  | PackedRoutingMessage
  | BackendsMessage
  | CrashReportMessage
  | LimitReportMessage
  | UsageUpdateMessage;
