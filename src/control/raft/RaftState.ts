import { RaftLog } from './RaftLog.js';
import {
  RaftEffectType,
  RaftRole,
  type HardState,
  type LogEntry,
  type RaftEffect,
  type RaftMessage,
  type Snapshot,
} from './Types.js';

/** Timing of elections and heartbeats. */
export interface RaftTiming {
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
}

/** Default timing: several heartbeats fit into the shortest election timeout. */
export const DEFAULT_RAFT_TIMING: RaftTiming = { electionTimeoutMs: 600, heartbeatMs: 120 };

/** Options of a {@link RaftState}. */
export interface RaftOptions {
  readonly id: string;
  readonly instanceId: string;
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
  readonly timing?: RaftTiming;
  /** Hosts that may lose their disks simultaneously; 0 by default: no recovery after that. */
  readonly hostsLostAtOnce?: number;
}

/** Replication progress of one other member, tracked by the leader. */
export interface Follower {
  nextIndex: number;
  matchIndex: number;
  /** Index after which entries have been sent since the last rejection. */
  sentAfterIndex: number;
  /** Time of the last reply in this term. */
  ackedAtMs: number;
  /** Last confirmation round that it replied to. */
  ackedRound: number;
  /** Byte offset of the snapshot transfer; -1 while none is in progress. */
  snapshotOffsetBytes: number;
  /** Byte offset of the chunk that was sent last; -1 before the first one. */
  sentChunkOffsetBytes: number;
  /** Time at which that chunk was sent. */
  chunkSentAtMs: number;
}

/** Progress of a member that the leader has sent nothing to; `nextIndex` is the first one sent. */
export function createFollower(nextIndex: number, nowMs: number): Follower {
  return {
    nextIndex,
    matchIndex: 0,
    sentAfterIndex: nextIndex - 1,
    ackedAtMs: nowMs,
    ackedRound: 0,
    snapshotOffsetBytes: -1,
    sentChunkOffsetBytes: -1,
    chunkSentAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Linearizable read that waits for a confirmation round. */
export interface PendingRead {
  readonly readId: string;
  readonly round: number;
  readonly readIndex: number;
}

/** Snapshot that is being received from the leader. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly chunks: Uint8Array[];
  receivedBytes: number;
}

/**
 * State of one control host in the replicated log.
 *
 * Algorithm: Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
 * USENIX ATC 2014), with pre-vote, check-quorum, read index and single-server membership change
 * from Ongaro's dissertation (2014), sections 4, 6.4 and 9.6.
 */
export class RaftState {
  readonly id: string;

  readonly instanceId: string;

  readonly timing: RaftTiming;

  readonly hostsLostAtOnce: number;

  readonly log: RaftLog;

  role = RaftRole.Follower;

  term: number;

  votedFor: string | null;

  leaderId: string | null = null;

  commitIndex: number;

  appliedIndex: number;

  /** Last index that is durable on this host. */
  persistedIndex: number;

  /** Incremented by every truncation, so that late completions of removed entries are ignored. */
  generation = 0;

  nowMs = 0;

  /** Time after which a follower starts an election; 0 until it is first set. */
  electionAtMs = 0;

  /** Time of the last message from a leader; negative infinity before the first one. */
  leaderContactAtMs = Number.NEGATIVE_INFINITY;

  /** Time since which there has been contact with leaders without a silence. */
  contactSinceMs = Number.NEGATIVE_INFINITY;

  /** Commit index that the leader sent when its contact began; 0 while none is known. */
  contactCommitIndex = 0;

  /** Elections started before the first contact with a leader. */
  firstElections = 0;

  /** Elections left to other voters since the last contact with a leader. */
  deferredElections = 0;

  heartbeatAtMs = 0;

  /** Voters that granted their vote in the current pre-vote or election. */
  readonly votes = new Set<string>();

  /** Former voters whose hosts reported an empty disk; their messages are ignored. */
  readonly emptiedIds = new Set<string>();

  /** Times of the first and last report of each emptied voter, without a longer gap in between. */
  readonly reportTimes = new Map<string, { readonly firstMs: number; readonly lastMs: number }>();

  /** Emptied voters that the current recovery election or leadership counts; else none. */
  recoveryIds: readonly string[] = [];

  /** Voters that granted their vote and confirmed the reports of a recovery election. */
  readonly recoveryVotes = new Set<string>();

  /** Time before which the silence of a voter shows nothing; after a pause of this host. */
  silenceFromMs = 0;

  /** True while the disk of this host rejects writes; it then takes part in no election. */
  diskRefuses = false;

  /** Replication progress of every other member while leading. */
  readonly followers = new Map<string, Follower>();

  /** Members that a link has been opened to since the process started. */
  readonly linkedIds = new Set<string>();

  /** Instance ids received from other members, by member id. */
  readonly instanceIds = new Map<string, string>();

  /** Number of the leader's latest confirmation round. */
  round = 0;

  pendingReads: PendingRead[] = [];

  incomingSnapshot: IncomingSnapshot | null = null;

  /** Effects of the event being handled. */
  effects: RaftEffect[] = [];

  constructor(options: RaftOptions) {
    this.id = options.id;
    this.instanceId = options.instanceId;
    this.timing = options.timing ?? DEFAULT_RAFT_TIMING;
    this.hostsLostAtOnce = options.hostsLostAtOnce ?? 0;
    this.log = new RaftLog(options.snapshot, options.entries);
    this.term = options.hardState.term;
    this.votedFor = options.hardState.votedFor;
    this.commitIndex = options.snapshot.index;
    this.appliedIndex = options.snapshot.index;
    this.persistedIndex = this.log.lastIndex;
  }

  get isVoter(): boolean {
    return this.log.isVoter(this.id);
  }

  /** Voters whose disks must hold a change so that it survives the loss of `hostsLostAtOnce`. */
  get copiesNeeded(): number {
    return this.hostsLostAtOnce + 1;
  }

  /** Adds an effect. */
  emit(effect: RaftEffect): void {
    this.effects.push(effect);
  }

  /** Sends a message; an early one is not delayed until earlier writes are durable. */
  send(to: string, message: RaftMessage, early = false): void {
    this.emit({ type: RaftEffectType.Send, to, message, early });
  }

  /** Makes term and vote durable. */
  persistHardState(): void {
    this.emit({
      type: RaftEffectType.Persist,
      hardState: { term: this.term, votedFor: this.votedFor },
      truncateFrom: 0,
      entries: [],
      generation: this.generation,
    });
  }

  /** Fields that every message of this host carries. */
  get envelope(): { term: number; from: string; fromInstanceId: string } {
    return { term: this.term, from: this.id, fromInstanceId: this.instanceId };
  }

  /** Applies entries up to the commit index. */
  applyCommitted(): void {
    while (this.appliedIndex < this.commitIndex) {
      const entry = this.log.entryAt(this.appliedIndex + 1);
      if (!entry) return;
      this.appliedIndex += 1;
      this.emit({ type: RaftEffectType.Apply, entry });
    }
  }
}
