import type { Command } from '../Commands.js';

/** Role of a control host in the replicated log. */
export enum RaftRole {
  Follower = 'follower',
  PreCandidate = 'pre-candidate',
  Candidate = 'candidate',
  Leader = 'leader',
}

/** One control host in the membership. */
export interface Member {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  /** Identity of the data folder, once known; messages with another identity are ignored. */
  readonly instanceId?: string;
  /** True for a host without a disk, which never becomes a voter. */
  readonly observer?: boolean;
}

/** Voters and non-voting members. */
export interface Membership {
  readonly voters: readonly Member[];
  readonly learners: readonly Member[];
}

/** Entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
}

/** State that must be durable before a vote is sent. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string | null;
}

/** Snapshot of the state machine with its position in the log. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly bytes: Uint8Array;
}

export enum RaftMessageType {
  PreVote = 'pre-vote',
  PreVoteReply = 'pre-vote-reply',
  Vote = 'vote',
  VoteReply = 'vote-reply',
  Append = 'append',
  AppendReply = 'append-reply',
  SnapshotChunk = 'snapshot-chunk',
  SnapshotReply = 'snapshot-reply',
}

/** Fields that every message carries. */
interface MessageBase {
  readonly term: number;
  readonly from: string;
  readonly fromInstanceId: string;
}

export interface VoteRequest extends MessageBase {
  readonly type: RaftMessageType.PreVote | RaftMessageType.Vote;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Emptied voters of a recovery election; only voters that verified the reports may grant it. */
  readonly emptiedIds?: readonly string[];
}

export interface VoteReply extends MessageBase {
  readonly type: RaftMessageType.PreVoteReply | RaftMessageType.VoteReply;
  readonly granted: boolean;
  /** Emptied voters of the request, if the sender verified all of the reports. */
  readonly emptiedIds?: readonly string[];
}

export interface AppendRequest extends MessageBase {
  readonly type: RaftMessageType.Append;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Number of the leader's confirmation round. */
  readonly round: number;
}

export interface AppendReply extends MessageBase {
  readonly type: RaftMessageType.AppendReply;
  readonly success: boolean;
  /** Last matching index on success, otherwise `prevIndex` for the leader's next attempt. */
  readonly matchIndex: number;
  readonly round: number;
}

export interface SnapshotChunk extends MessageBase {
  readonly type: RaftMessageType.SnapshotChunk;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  readonly offsetBytes: number;
  readonly bytes: Uint8Array;
  readonly last: boolean;
}

export interface SnapshotReply extends MessageBase {
  readonly type: RaftMessageType.SnapshotReply;
  readonly snapshotIndex: number;
  /** Bytes received so far; the next chunk starts here. */
  readonly receivedBytes: number;
  readonly installed: boolean;
}

export type RaftMessage =
  VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotChunk | SnapshotReply;

export enum RaftEventType {
  /** A link to another member opened. */
  MemberLinked = 'member-linked',
  Tick = 'tick',
  Message = 'message',
  Propose = 'propose',
  Read = 'read',
  Persisted = 'persisted',
  SnapshotSaved = 'snapshot-saved',
  /** A host reported that its disk was empty. */
  HostEmptied = 'host-emptied',
  /** The disk of this host started to reject writes, or accepts them again. */
  DiskState = 'disk-state',
}

export type RaftEvent =
  | { readonly type: RaftEventType.Tick; readonly nowMs: number; readonly random: number }
  | { readonly type: RaftEventType.Message; readonly nowMs: number; readonly message: RaftMessage }
  | {
      readonly type: RaftEventType.MemberLinked;
      readonly nowMs: number;
      readonly memberId: string;
      readonly random: number;
    }
  | { readonly type: RaftEventType.Propose; readonly nowMs: number; readonly command: Command }
  | { readonly type: RaftEventType.Read; readonly nowMs: number; readonly readId: string }
  | {
      readonly type: RaftEventType.Persisted;
      readonly nowMs: number;
      readonly index: number;
      readonly generation: number;
    }
  | {
      readonly type: RaftEventType.SnapshotSaved;
      readonly nowMs: number;
      readonly snapshot: Snapshot;
      /** True for a snapshot received from the leader. */
      readonly received: boolean;
    }
  | {
      readonly type: RaftEventType.HostEmptied;
      readonly nowMs: number;
      readonly reporter: Member;
      /** Ids that the host had before its disk was lost. */
      readonly emptiedIds: readonly string[];
    }
  | { readonly type: RaftEventType.DiskState; readonly nowMs: number; readonly refuses: boolean };

export enum RaftEffectType {
  Persist = 'persist',
  Send = 'send',
  Apply = 'apply',
  SaveSnapshot = 'save-snapshot',
  Restore = 'restore',
  ReadReady = 'read-ready',
  ReadFailed = 'read-failed',
  RoleChanged = 'role-changed',
  ElectionStalled = 'election-stalled',
}

/** Write to the log; later messages are sent once it is durable, unless they are early. */
export interface PersistEffect {
  readonly type: RaftEffectType.Persist;
  readonly hardState: HardState | null;
  /** Removes entries from this index on before appending; 0 removes none. */
  readonly truncateFrom: number;
  readonly entries: readonly LogEntry[];
  readonly generation: number;
}

export type RaftEffect =
  | PersistEffect
  | {
      readonly type: RaftEffectType.Send;
      readonly to: string;
      readonly message: RaftMessage;
      /** True if the message may be sent before earlier writes are durable. */
      readonly early: boolean;
    }
  | { readonly type: RaftEffectType.Apply; readonly entry: LogEntry }
  | {
      readonly type: RaftEffectType.SaveSnapshot;
      readonly snapshot: Snapshot;
      readonly received: boolean;
    }
  | { readonly type: RaftEffectType.Restore; readonly snapshot: Snapshot }
  | { readonly type: RaftEffectType.ReadReady; readonly readId: string }
  | { readonly type: RaftEffectType.ReadFailed; readonly readId: string }
  | {
      readonly type: RaftEffectType.RoleChanged;
      readonly role: RaftRole;
      readonly term: number;
      readonly leaderId: string | null;
    }
  | {
      /** A pre-vote of this host ended without enough votes. */
      readonly type: RaftEffectType.ElectionStalled;
      readonly quorum: number;
      /** Voters that granted their vote, this host included. */
      readonly granted: readonly string[];
      /** Voters whose hosts reported an empty disk. */
      readonly emptied: readonly string[];
      /** Voters that neither granted a vote nor are emptied. */
      readonly missing: readonly string[];
      /** True if a recovery without the emptied voters was tried. */
      readonly recovery: boolean;
    };
