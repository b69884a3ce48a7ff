import type { BackendLifecycleState } from '../common/Enums.js';
import type { EgretError } from '../common/Errors.js';
import type {
  ClaimOutcome,
  ControlToEntryMessage,
  ReplayAnswer,
  EntryToControlMessage,
} from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';
import type { PeerMessage } from './PeerMessages.js';

/** Announcement of a backend server, as received over HTTP. */
export interface Announcement {
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** Increases with every start of the backend server. */
  readonly incarnation: number;
  /** Increases with every announcement of an incarnation. */
  readonly sequence: number;
  readonly state: BackendLifecycleState;
  readonly slots: number;
  readonly connections: number;
  readonly load: BackendLoad;
  /** Requests per second that it accepts from all entry hosts together; null without a limit. */
  readonly requestsPerSecond: number | null;
  /** Time since the start of this incarnation. */
  readonly upForMs: number;
  /** Stamp from the last answer of the entry host that receives this announcement. */
  readonly leaseStamp: string | null;
  /** Entry host that last accepted an announcement, if it is another one. */
  readonly previous: PreviousHolder | null;
  /** Entry hosts, as `address:port`, that the backend server could not reach recently. */
  readonly unreachable: readonly string[];
}

/** Load that a backend server reports. */
export interface BackendLoad {
  readonly inFlight: number;
}

/** Entry host that may still hold a lease. */
export interface PreviousHolder {
  readonly entryHostId: string;
  /** Time since the last announcement was sent to it. */
  readonly sinceMs: number;
}

/** Answer to an announcement. */
export interface AnnouncementAnswer {
  readonly announceTo: { readonly address: string; readonly port: number };
  readonly entryHostId: string;
  readonly intervalMs: number;
  readonly leaseMs: number;
  /** To be sent back with the next announcement to the same entry host. */
  readonly leaseStamp: string;
}

/** Entry hosts that serve a service. */
export interface DirectoryAnswer {
  readonly service: string;
  readonly revision: number;
  readonly validForMs: number;
  readonly entries: readonly DirectoryEntry[];
}

export interface DirectoryEntry {
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
}

/** Call as passed to the reducer; its body stays in the server. */
export interface ArrivedCall {
  readonly callId: number;
  readonly service: string;
  readonly method: string;
  readonly idempotencyKey: string | null;
  /** Identifies equal requests: key, or method, path and body hash. */
  readonly fingerprint: string;
  /** Timeout set by the caller; null for the service's own. */
  readonly timeoutMs: number | null;
  readonly callerId: string;
  /** True if a peer forwarded the call. */
  readonly forwarded: boolean;
  /** True if the body can be sent again. */
  readonly replayable: boolean;
}

/** Kind of process that an attempt goes to. */
export enum TargetKind {
  Backend = 'backend',
  Peer = 'peer',
}

/** Destination of one attempt. */
export interface AttemptTarget {
  readonly kind: TargetKind;
  readonly id: string;
  readonly address: string;
  readonly port: number;
  /** Maximum number of connections to a backend server. */
  readonly connectionsMax: number;
}

/** How an attempt ended. */
export enum AttemptResult {
  /** The whole answer arrived. */
  Completed = 'completed',
  /** The target shed the request: it reported that the request did not run. */
  Shed = 'shed',
  /** No byte of the request was written. */
  NotSent = 'not-sent',
  /** The connection ended after the first byte of the request and before the answer. */
  Reset = 'reset',
  /** The connection ended inside the answer. */
  Truncated = 'truncated',
  /** The entry host cancelled the attempt, and the attempt has ended. */
  Cancelled = 'cancelled',
}

/** Where a truncated answer can be continued. */
export interface ResumePoint {
  readonly etag: string;
  readonly receivedBytes: number;
}

/** Capacity of one service's pool at an entry host. */
export interface PoolStatus {
  readonly freeSlots: number;
  readonly slots: number;
  readonly queued: number;
}

export enum EntryEventType {
  Tick = 'tick',
  ControlConnected = 'control-connected',
  ControlMessage = 'control-message',
  ControlClosed = 'control-closed',
  PeerMessage = 'peer-message',
  PeerUnreachable = 'peer-unreachable',
  Announcement = 'announcement',
  DirectoryRequested = 'directory-requested',
  CallArrived = 'call-arrived',
  CallerDisconnected = 'caller-disconnected',
  AttemptHeaders = 'attempt-headers',
  AttemptEnded = 'attempt-ended',
  TargetClosed = 'target-closed',
  Stop = 'stop',
  StopExpired = 'stop-expired',
}

/** Fields of every event. */
interface EntryEventBase {
  /** Monotonic time. */
  readonly nowMs: number;
}

export interface AttemptEndedEvent extends EntryEventBase {
  readonly type: EntryEventType.AttemptEnded;
  readonly callId: number;
  readonly attemptId: number;
  readonly result: AttemptResult;
  readonly statusCode: number;
  readonly resume: ResumePoint | null;
  /** Whole answer, if it was small enough to record. */
  readonly answer: ReplayAnswer | null;
  /** Reported by a peer with the answer to, or refusal of, a forwarded call. */
  readonly peerStatus: PoolStatus | null;
  /** Refusal by a peer; relayed if no other peer accepts the call. */
  readonly peerRefusal: EgretError | null;
}

export type EntryEvent =
  | (EntryEventBase & { readonly type: EntryEventType.Tick })
  | (EntryEventBase & {
      readonly type: EntryEventType.ControlConnected;
      readonly controlHostId: string;
    })
  | (EntryEventBase & {
      readonly type: EntryEventType.ControlMessage;
      readonly controlHostId: string;
      readonly message: ControlToEntryMessage;
    })
  | (EntryEventBase & {
      readonly type: EntryEventType.ControlClosed;
      readonly controlHostId: string;
    })
  | (EntryEventBase & {
      readonly type: EntryEventType.PeerMessage;
      readonly from: string;
      readonly message: PeerMessage;
    })
  | (EntryEventBase & { readonly type: EntryEventType.PeerUnreachable; readonly peerId: string })
  | (EntryEventBase & {
      readonly type: EntryEventType.Announcement;
      readonly requestId: number;
      readonly announcement: Announcement;
      /** SHA-256 of the bearer token in hexadecimal. */
      readonly tokenHash: string;
    })
  | (EntryEventBase & {
      readonly type: EntryEventType.DirectoryRequested;
      readonly requestId: number;
      readonly service: string | null;
      readonly availabilityZone: string | null;
    })
  | (EntryEventBase & { readonly type: EntryEventType.CallArrived; readonly call: ArrivedCall })
  | (EntryEventBase & { readonly type: EntryEventType.CallerDisconnected; readonly callId: number })
  | (EntryEventBase & {
      readonly type: EntryEventType.AttemptHeaders;
      readonly callId: number;
      readonly attemptId: number;
    })
  | AttemptEndedEvent
  /** The last open connection to a backend server was closed. */
  | (EntryEventBase & { readonly type: EntryEventType.TargetClosed; readonly targetId: string })
  | (EntryEventBase & {
      readonly type: EntryEventType.Stop;
      /** Time by which every call is to be answered; absent without a bound. */
      readonly answerByMs?: number;
    })
  /** Every call is to be answered now, in a planned stop, and none is admitted any more. */
  | (EntryEventBase & { readonly type: EntryEventType.StopExpired });

export enum EntryEffectType {
  SendControl = 'send-control',
  SendPeer = 'send-peer',
  SyncControlHosts = 'sync-control-hosts',
  AnswerAnnouncement = 'answer-announcement',
  AnswerDirectory = 'answer-directory',
  StartAttempt = 'start-attempt',
  CancelAttempt = 'cancel-attempt',
  UseAnswer = 'use-answer',
  RefuseCall = 'refuse-call',
  ReplayCall = 'replay-call',
  AbortAnswer = 'abort-answer',
  CloseTarget = 'close-target',
  Log = 'log',
  Count = 'count',
}

/** Counters of the entry host that the reducer increments. */
export enum CounterName {
  Calls = 'calls',
  Attempts = 'attempts',
  Forwards = 'forwards',
  Retries = 'retries',
  Hedges = 'hedges',
  Refusals = 'refusals',
  Resumes = 'resumes',
  Quarantined = 'quarantined',
  Announcements = 'announcements',
  LeaseMoves = 'lease_moves',
}

export interface StartAttemptEffect {
  readonly type: EntryEffectType.StartAttempt;
  readonly callId: number;
  readonly attemptId: number;
  readonly target: AttemptTarget;
  /** Remaining time, sent to the target. */
  readonly timeoutMs: number;
  readonly attemptNumber: number;
  /** True if the whole answer is to be recorded for a replay. */
  readonly record: boolean;
  readonly resume: ResumePoint | null;
}

export type EntryEffect =
  | {
      readonly type: EntryEffectType.SendControl;
      readonly controlHostId: string;
      readonly message: EntryToControlMessage;
    }
  | {
      readonly type: EntryEffectType.SendPeer;
      readonly peer: EntryHost;
      readonly message: PeerMessage;
    }
  | {
      readonly type: EntryEffectType.SyncControlHosts;
      readonly controlHosts: readonly {
        readonly id: string;
        readonly address: string;
        readonly port: number;
      }[];
    }
  | {
      readonly type: EntryEffectType.AnswerAnnouncement;
      readonly requestId: number;
      readonly answer: AnnouncementAnswer | null;
      readonly error: EgretError | null;
    }
  | {
      readonly type: EntryEffectType.AnswerDirectory;
      readonly requestId: number;
      readonly answer: DirectoryAnswer | null;
      readonly error: EgretError | null;
    }
  | StartAttemptEffect
  | {
      readonly type: EntryEffectType.CancelAttempt;
      readonly callId: number;
      readonly attemptId: number;
    }
  | {
      readonly type: EntryEffectType.UseAnswer;
      readonly callId: number;
      readonly attemptId: number;
    }
  | {
      readonly type: EntryEffectType.RefuseCall;
      readonly callId: number;
      readonly error: EgretError;
    }
  | {
      readonly type: EntryEffectType.ReplayCall;
      readonly callId: number;
      readonly answer: ReplayAnswer;
    }
  /** Aborts an answer that has begun, so that the caller can detect that it is incomplete. */
  | { readonly type: EntryEffectType.AbortAnswer; readonly callId: number }
  /** Closes idle connections to a target that no longer exists. */
  | { readonly type: EntryEffectType.CloseTarget; readonly targetId: string }
  | {
      readonly type: EntryEffectType.Log;
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  | {
      readonly type: EntryEffectType.Count;
      readonly counter: CounterName;
      readonly service: string;
    };

/** Result of a claimed call that is not yet durable. */
export interface UnsettledClaim {
  readonly key: string;
  readonly service: string;
  readonly attemptId: string;
  readonly outcome: ClaimOutcome;
  readonly answer: ReplayAnswer | null;
}
