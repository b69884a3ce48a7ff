import type { Role } from '../common/Enums.js';
import type { EgretError } from '../common/Errors.js';
import type { BackendRecord } from '../common/backends/Types.js';
import type {
  ControlPeerMessage,
  ControlToEntryMessage,
  EntryToControlMessage,
} from '../common/Messages.js';
import type { RoutingEdit } from './RoutingCommands.js';
import type { Member, PersistEffect, RaftMessage, RaftRole, Snapshot } from './raft/Types.js';

/** Kinds of administration requests. */
export enum AdminRequestType {
  GetSettings = 'get-settings',
  Change = 'change',
  ShowChange = 'show-change',
  Audit = 'audit',
  Services = 'services',
  EntryHosts = 'entry-hosts',
  Members = 'members',
  AddMember = 'add-member',
  PromoteMember = 'promote-member',
  RemoveMember = 'remove-member',
  GetRouting = 'get-routing',
  ChangeRouting = 'change-routing',
  CloseZone = 'close-zone',
  StartRollout = 'start-rollout',
  ShowRollout = 'show-rollout',
  AbortRollout = 'abort-rollout',
}

/** Request of an operator, as the administration API passes it on. */
export type AdminRequest =
  | { readonly type: AdminRequestType.GetSettings; readonly path: string }
  | {
      readonly type: AdminRequestType.Change;
      readonly changeId: string;
      readonly baseRevision: number;
      readonly path: string;
      readonly value: unknown;
    }
  | { readonly type: AdminRequestType.ShowChange; readonly changeId: string }
  | { readonly type: AdminRequestType.Audit; readonly limit: number; readonly team?: string }
  | { readonly type: AdminRequestType.Services }
  | { readonly type: AdminRequestType.EntryHosts }
  | { readonly type: AdminRequestType.Members }
  | {
      readonly type: AdminRequestType.AddMember;
      readonly id: string;
      readonly address: string;
      readonly port: number;
    }
  | { readonly type: AdminRequestType.PromoteMember; readonly id: string }
  | { readonly type: AdminRequestType.RemoveMember; readonly id: string }
  | {
      readonly type: AdminRequestType.GetRouting;
      /** True for the keys of customers as sent; the administration API never sets it. */
      readonly includesKeys?: boolean;
    }
  | {
      readonly type: AdminRequestType.ChangeRouting;
      readonly changeId: string;
      readonly baseVersion: number;
      readonly version: number;
      readonly edit: RoutingEdit;
    }
  | {
      readonly type: AdminRequestType.CloseZone;
      readonly zone: string;
      readonly closed: boolean;
    }
  | {
      readonly type: AdminRequestType.StartRollout;
      readonly service: string;
      readonly toVersion: string;
      readonly durationMs: number;
    }
  | { readonly type: AdminRequestType.ShowRollout; readonly service: string }
  | { readonly type: AdminRequestType.AbortRollout; readonly service: string };

/** Authenticated operator. */
export interface Actor {
  readonly name: string;
  /** Team that the token is bound to; `*` for all. */
  readonly team: string;
  readonly role: Role;
}

export enum ControlEventType {
  Tick = 'tick',
  RaftMessage = 'raft-message',
  Persisted = 'persisted',
  SnapshotSaved = 'snapshot-saved',
  SessionMessage = 'session-message',
  SessionClosed = 'session-closed',
  Admin = 'admin',
  Announce = 'announce',
  Departure = 'departure',
  ControlPeerMessage = 'control-peer-message',
  ControlLinkOpened = 'control-link-opened',
  Join = 'join',
  DiskState = 'disk-state',
  BackendsRestored = 'backends-restored',
  DeparturesSaved = 'departures-saved',
  Stop = 'stop',
}

/** Times of an event: monotonic for leases, wall clock for records. */
interface ControlEventBase {
  readonly nowMs: number;
  readonly wallMs: number;
}

export type ControlEvent = ControlEventBase &
  (
    | { readonly type: ControlEventType.Tick; readonly random: number }
    | { readonly type: ControlEventType.RaftMessage; readonly message: RaftMessage }
    | {
        readonly type: ControlEventType.Persisted;
        readonly index: number;
        readonly generation: number;
      }
    | {
        readonly type: ControlEventType.SnapshotSaved;
        readonly snapshot: Snapshot;
        readonly received: boolean;
      }
    | {
        readonly type: ControlEventType.SessionMessage;
        readonly sessionId: number;
        readonly message: EntryToControlMessage;
      }
    | { readonly type: ControlEventType.SessionClosed; readonly sessionId: number }
    | {
        readonly type: ControlEventType.Admin;
        readonly requestId: string;
        /** SHA-256 of the bearer token in hexadecimal. */
        readonly tokenHash: string;
        readonly request: AdminRequest;
        /** Set for requests that another part of this process has authenticated. */
        readonly actor?: Actor;
      }
    | {
        readonly type: ControlEventType.Announce;
        readonly requestId: string;
        readonly record: BackendRecord;
      }
    | {
        readonly type: ControlEventType.Departure;
        readonly requestId: string;
        readonly id: string;
        /** Unix time at which the departing process started, if it was reported. */
        readonly bornMs: number | undefined;
      }
    | { readonly type: ControlEventType.ControlPeerMessage; readonly message: ControlPeerMessage }
    | {
        readonly type: ControlEventType.ControlLinkOpened;
        readonly memberId: string;
        readonly random: number;
        /** Protocol version of the member; that of this host if omitted. */
        readonly protocol?: number;
      }
    | {
        readonly type: ControlEventType.Join;
        readonly member: Member;
        /** Earlier ids of the host, if it started with an empty disk and not for the first time. */
        readonly emptiedIds?: readonly string[];
      }
    | { readonly type: ControlEventType.DiskState; readonly refuses: boolean }
    | {
        /** Backend servers saved before this process started; sent once, at the start. */
        readonly type: ControlEventType.BackendsRestored;
        readonly records: readonly BackendRecord[];
        /** Departures that this host acknowledged before. */
        readonly departures?: readonly BackendRecord[];
      }
    | { readonly type: ControlEventType.DeparturesSaved; readonly saveId: number }
    | { readonly type: ControlEventType.Stop }
  );

export enum ControlEffectType {
  Persist = 'persist',
  SaveSnapshot = 'save-snapshot',
  SendRaft = 'send-raft',
  SendSession = 'send-session',
  Broadcast = 'broadcast',
  AnswerAdmin = 'answer-admin',
  SendControl = 'send-control',
  AnswerAnnouncement = 'answer-announcement',
  SaveBackends = 'save-backends',
  SaveDepartures = 'save-departures',
  RoleChanged = 'role-changed',
  Log = 'log',
}

export type ControlEffect =
  | { readonly type: ControlEffectType.Persist; readonly write: PersistEffect }
  | {
      readonly type: ControlEffectType.SaveSnapshot;
      readonly snapshot: Snapshot;
      readonly received: boolean;
    }
  | {
      readonly type: ControlEffectType.SendRaft;
      readonly to: string;
      readonly message: RaftMessage;
      readonly early: boolean;
    }
  | {
      readonly type: ControlEffectType.SendSession;
      readonly sessionId: number;
      readonly message: ControlToEntryMessage;
      /** True if a large routing may be sent compressed on this session. */
      readonly acceptsPacked?: boolean;
      /** True if any large message may be sent compressed on this session. */
      readonly acceptsCompressed?: boolean;
    }
  | {
      /** Sends one message to several sessions. */
      readonly type: ControlEffectType.Broadcast;
      readonly sessionIds: readonly number[];
      readonly message: ControlToEntryMessage;
      /** Those of the sessions on which a large message may be sent compressed. */
      readonly compressedIds?: ReadonlySet<number>;
    }
  | {
      readonly type: ControlEffectType.AnswerAdmin;
      readonly requestId: string;
      readonly body: unknown;
      readonly error: EgretError | null;
    }
  | {
      readonly type: ControlEffectType.SendControl;
      readonly to: string;
      readonly message: ControlPeerMessage;
    }
  | {
      readonly type: ControlEffectType.AnswerAnnouncement;
      readonly requestId: string;
      /** False if this host did not reach a majority; another control host may reach one. */
      readonly confirmed: boolean;
    }
  | {
      /** Saves the registered backend servers for the next start; may be skipped. */
      readonly type: ControlEffectType.SaveBackends;
      readonly records: readonly BackendRecord[];
    }
  | {
      /** Makes the departures durable; must end in the event that they are saved. */
      readonly type: ControlEffectType.SaveDepartures;
      readonly saveId: number;
      readonly records: readonly BackendRecord[];
    }
  | {
      readonly type: ControlEffectType.RoleChanged;
      readonly role: RaftRole;
      readonly term: number;
      readonly leaderId: string | null;
    }
  | {
      readonly type: ControlEffectType.Log;
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
