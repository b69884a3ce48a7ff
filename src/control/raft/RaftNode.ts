import { CommandType } from '../Commands.js';
import {
  becomeFollower,
  handlePreVote,
  handlePreVoteReply,
  handleVote,
  handleVoteReply,
  scheduleEarlyElection,
  resetElectionTimer,
  startPreVote,
} from './Election.js';
import { needsMoreThanMajority, notePause } from './Copies.js';
import { RaftState, type RaftOptions } from './RaftState.js';
import { recordEmptied } from './Recovery.js';
import {
  advanceCommit,
  broadcastAppend,
  checkQuorum,
  handleAppend,
  handleAppendReply,
  handleSnapshotChunk,
  handleSnapshotReply,
  propose,
  releaseReads,
  requestRead,
} from './Replication.js';
import {
  RaftEffectType,
  RaftEventType,
  RaftMessageType,
  RaftRole,
  type RaftEffect,
  type RaftEvent,
  type RaftMessage,
} from './Types.js';

type EventOf<T extends RaftEventType> = Extract<RaftEvent, { type: T }>;
type MessageOf<T extends RaftMessageType> = Extract<RaftMessage, { type: T }>;
type EventHandlers = { [T in RaftEventType]: (state: RaftState, event: EventOf<T>) => void };
type MessageHandlers = {
  [T in RaftMessageType]: (state: RaftState, message: MessageOf<T>) => void;
};

/** Appends a no-op entry at the start of a term; committing it commits all earlier entries. */
function proposeTermNoop(state: RaftState): void {
  propose(state, { type: CommandType.Noop });
}

function handleTick(state: RaftState, event: EventOf<RaftEventType.Tick>): void {
  if (state.electionAtMs === 0) resetElectionTimer(state, event.random);
  if (state.role === RaftRole.Leader) {
    checkQuorum(state);
    // A voter that became unreachable since the last acknowledgement may have been the missing one.
    if (needsMoreThanMajority(state)) {
      advanceCommit(state);
      releaseReads(state);
    }
    if (state.role === RaftRole.Leader && state.nowMs >= state.heartbeatAtMs) {
      state.heartbeatAtMs = state.nowMs + state.timing.heartbeatMs;
      broadcastAppend(state);
    }
    return;
  }
  if (state.nowMs < state.electionAtMs) return;
  startPreVote(state, event.random);
  if ((state.role as RaftRole) === RaftRole.Leader) proposeTermNoop(state);
}

function handlePersisted(state: RaftState, event: EventOf<RaftEventType.Persisted>): void {
  if (event.generation !== state.generation) return;
  state.persistedIndex = Math.max(state.persistedIndex, event.index);
  advanceCommit(state);
  releaseReads(state);
}

function handleSnapshotSaved(state: RaftState, event: EventOf<RaftEventType.SnapshotSaved>): void {
  const { snapshot } = event;
  if (snapshot.index <= state.log.snapshot.index) return;
  state.log.compactTo(snapshot);
  // Compaction removed the entries that conflict with the snapshot; they are no longer durable.
  state.persistedIndex = Math.min(
    Math.max(state.persistedIndex, snapshot.index),
    state.log.lastIndex,
  );
  if (!event.received) return;
  state.commitIndex = Math.max(state.commitIndex, snapshot.index);
  if (state.appliedIndex < snapshot.index) {
    state.appliedIndex = snapshot.index;
    state.emit({ type: RaftEffectType.Restore, snapshot });
  }
  if (state.leaderId && state.leaderId !== state.id) {
    state.send(state.leaderId, {
      ...state.envelope,
      type: RaftMessageType.SnapshotReply,
      snapshotIndex: snapshot.index,
      receivedBytes: 0,
      installed: true,
    });
  }
}

/** A host that can not write must not lead: nothing that it appends would be on its own disk. */
function handleDiskState(state: RaftState, event: EventOf<RaftEventType.DiskState>): void {
  state.diskRefuses = event.refuses;
  if (event.refuses && state.role !== RaftRole.Follower) becomeFollower(state, state.term, null);
}

const MESSAGE_HANDLERS: MessageHandlers = {
  [RaftMessageType.PreVote]: handlePreVote,
  [RaftMessageType.PreVoteReply]: handlePreVoteReply,
  [RaftMessageType.Vote]: handleVote,
  [RaftMessageType.VoteReply]: (state, reply) => {
    if (handleVoteReply(state, reply)) proposeTermNoop(state);
  },
  [RaftMessageType.Append]: handleAppend,
  [RaftMessageType.AppendReply]: handleAppendReply,
  [RaftMessageType.SnapshotChunk]: handleSnapshotChunk,
  [RaftMessageType.SnapshotReply]: handleSnapshotReply,
};

function handleMessage(state: RaftState, event: EventOf<RaftEventType.Message>): void {
  const { message } = event;
  if (!state.log.matchesInstance(message.from, message.fromInstanceId)) return;
  // The link to an earlier id of this host, which is still a member, leads back to this host.
  if (message.from === state.id) return;
  // Sent before the disk of the sender was lost: no part of a later term.
  if (state.emptiedIds.has(message.from)) return;
  state.instanceIds.set(message.from, message.fromInstanceId);
  const handler = MESSAGE_HANDLERS[message.type] as
    ((target: RaftState, received: RaftMessage) => void) | undefined;
  const wasPreCandidate = state.role === RaftRole.PreCandidate;
  handler?.(state, message);
  if (wasPreCandidate && (state.role as RaftRole) === RaftRole.Leader) proposeTermNoop(state);
}

const EVENT_HANDLERS: EventHandlers = {
  [RaftEventType.Tick]: handleTick,
  [RaftEventType.Message]: handleMessage,
  [RaftEventType.MemberLinked]: (state, event) =>
    scheduleEarlyElection(state, event.memberId, event.random),
  [RaftEventType.Propose]: (state, event) => propose(state, event.command),
  [RaftEventType.Read]: (state, event) => requestRead(state, event.readId),
  [RaftEventType.Persisted]: handlePersisted,
  [RaftEventType.SnapshotSaved]: handleSnapshotSaved,
  [RaftEventType.HostEmptied]: (state, event) => {
    recordEmptied(state, event.reporter, event.emptiedIds);
  },
  [RaftEventType.DiskState]: handleDiskState,
};

/**
 * Reducer of the replicated log of one control host.
 *
 * @example
 * const node = new RaftNode(options);
 * const effects = node.reduce({ type: RaftEventType.Tick, nowMs: 10, random: 0.5 });
 */
export class RaftNode {
  readonly state: RaftState;

  constructor(options: RaftOptions) {
    this.state = new RaftState(options);
  }

  /** Handles one event and returns its effects in order. */
  reduce(event: RaftEvent): RaftEffect[] {
    const { state } = this;
    state.effects = [];
    notePause(state, event.nowMs);
    state.nowMs = Math.max(state.nowMs, event.nowMs);
    const handler = EVENT_HANDLERS[event.type] as (target: RaftState, received: RaftEvent) => void;
    handler(state, event);
    return state.effects;
  }

  get isLeader(): boolean {
    return this.state.role === RaftRole.Leader;
  }

  /** Steps down as leader; used on a planned stop. */
  stepDown(): RaftEffect[] {
    this.state.effects = [];
    becomeFollower(this.state, this.state.term, null);
    return this.state.effects;
  }
}
