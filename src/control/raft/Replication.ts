import { CommandType, type Command } from '../Commands.js';
import { committableIndex, quorumValue } from './Copies.js';
import { becomeFollower } from './Election.js';
import { noteLeaderCommit, noteLeaderContact } from './LeaderContact.js';
import { createFollower, type Follower, type RaftState } from './RaftState.js';
import { isRecovering } from './Recovery.js';
import {
  RaftEffectType,
  RaftMessageType,
  RaftRole,
  type AppendReply,
  type AppendRequest,
  type LogEntry,
  type SnapshotChunk,
  type SnapshotReply,
} from './Types.js';

const MAX_ENTRIES_PER_MESSAGE = 128;
const SNAPSHOT_CHUNK_BYTES = 512 * 1024;

/**
 * Encoded size of the entries in one message. An eighth of `MAX_MESSAGE_BYTES`, so that a heartbeat
 * behind it is not late; a single larger entry has a message of its own.
 */
const APPEND_ENTRIES_BYTES = 1024 * 1024;

/** Encoded size of the unacknowledged entries from which a follower is sent heartbeats only. */
const UNACKNOWLEDGED_BYTES = 4 * APPEND_ENTRIES_BYTES;

/** Appends entries to the local log and makes them durable. */
function persistEntries(
  state: RaftState,
  entries: readonly LogEntry[],
  truncateFrom: number,
): void {
  entries.forEach((entry) => state.log.append(entry));
  state.emit({
    type: RaftEffectType.Persist,
    hardState: null,
    truncateFrom,
    entries,
    generation: state.generation,
  });
}

/**
 * Sends the next snapshot chunk to a follower whose next entries were compacted. A chunk that is not
 * acknowledged yet is sent again as often as a heartbeat, not with every change.
 */
function sendSnapshotChunk(state: RaftState, to: string, follower: Follower): void {
  const { snapshot } = state.log;
  const offsetBytes = Math.max(0, follower.snapshotOffsetBytes);
  const isRepeated = offsetBytes === follower.sentChunkOffsetBytes;
  if (isRepeated && state.nowMs - follower.chunkSentAtMs < state.timing.heartbeatMs) return;
  follower.sentChunkOffsetBytes = offsetBytes;
  follower.chunkSentAtMs = state.nowMs;
  const bytes = snapshot.bytes.subarray(offsetBytes, offsetBytes + SNAPSHOT_CHUNK_BYTES);
  follower.snapshotOffsetBytes = offsetBytes;
  state.send(to, {
    ...state.envelope,
    type: RaftMessageType.SnapshotChunk,
    snapshotIndex: snapshot.index,
    snapshotTerm: snapshot.term,
    membership: snapshot.membership,
    offsetBytes,
    bytes,
    last: offsetBytes + bytes.length >= snapshot.bytes.length,
  });
}

/** Sends entries, or an empty heartbeat, to one member. */
export function sendAppend(state: RaftState, to: string): void {
  const follower = state.followers.get(to);
  if (!follower) return;
  const prevIndex = follower.nextIndex - 1;
  const prevTerm = state.log.termAt(prevIndex);
  if (prevTerm === undefined) {
    sendSnapshotChunk(state, to, follower);
    return;
  }
  const acknowledgedIndex = Math.max(follower.matchIndex, follower.sentAfterIndex);
  const isBehind = state.log.bytesBetween(acknowledgedIndex, prevIndex) >= UNACKNOWLEDGED_BYTES;
  const entries = isBehind
    ? []
    : state.log.slice(follower.nextIndex, MAX_ENTRIES_PER_MESSAGE, APPEND_ENTRIES_BYTES);
  follower.nextIndex += entries.length;
  state.send(
    to,
    {
      ...state.envelope,
      type: RaftMessageType.Append,
      prevIndex,
      prevTerm,
      entries,
      commitIndex: state.commitIndex,
      round: state.round,
    },
    // The votes of others show that the term is durable; a single voter leads before it is.
    state.log.quorum > 1 && !isRecovering(state),
  );
}

/** Sends entries or a heartbeat to every other member. */
export function broadcastAppend(state: RaftState): void {
  [...state.followers.keys()].forEach((id) => sendAppend(state, id));
}

/** Creates and drops follower records after a membership change. */
export function syncFollowers(state: RaftState): void {
  const others = new Set(state.log.membersExcept(state.id).map((member) => member.id));
  [...state.followers.keys()]
    .filter((id) => !others.has(id))
    .forEach((id) => state.followers.delete(id));
  others.forEach((id) => {
    if (state.followers.has(id)) return;
    state.followers.set(id, createFollower(state.log.lastIndex + 1, state.nowMs));
  });
}

/** Appends a command to the leader's log and replicates it. */
export function propose(state: RaftState, command: Command): void {
  if (state.role !== RaftRole.Leader) return;
  const entry = { index: state.log.lastIndex + 1, term: state.term, command };
  persistEntries(state, [entry], 0);
  if (command.type === CommandType.Membership) syncFollowers(state);
  broadcastAppend(state);
}

/** Commits entries that are on enough disks once the last is of this term (Raft section 5.4.2). */
export function advanceCommit(state: RaftState): void {
  if (state.role !== RaftRole.Leader) return;
  const index = committableIndex(state);
  if (index <= state.commitIndex || state.log.termAt(index) !== state.term) return;
  state.commitIndex = index;
  state.applyCommitted();
  const removed = state.log.membershipIndex <= state.commitIndex && !state.isVoter;
  broadcastAppend(state);
  if (removed) becomeFollower(state, state.term, null);
}

/** True once an entry of the current term is committed, so the commit index is current. */
export function hasCommittedInTerm(state: RaftState): boolean {
  return state.log.termAt(state.commitIndex) === state.term;
}

/** Completes the reads whose confirmation round a majority has acknowledged. */
export function releaseReads(state: RaftState): void {
  if (state.pendingReads.length === 0 || !hasCommittedInTerm(state)) return;
  const confirmedRound = quorumValue(state, state.round, (follower) => follower.ackedRound);
  const ready = state.pendingReads.filter(
    (read) => read.round <= confirmedRound && read.readIndex <= state.appliedIndex,
  );
  if (ready.length === 0) return;
  state.pendingReads = state.pendingReads.filter((read) => !ready.includes(read));
  ready.forEach((read) => state.emit({ type: RaftEffectType.ReadReady, readId: read.readId }));
}

/** Registers a linearizable read and starts a confirmation round for it. */
export function requestRead(state: RaftState, readId: string): void {
  if (state.role !== RaftRole.Leader) {
    state.emit({ type: RaftEffectType.ReadFailed, readId });
    return;
  }
  state.round += 1;
  state.pendingReads.push({ readId, round: state.round, readIndex: state.commitIndex });
  broadcastAppend(state);
  releaseReads(state);
}

/**
 * True if a majority has replied to this leader within an election timeout. A leader that was paused
 * still has its role when it resumes, while the others may have elected another one.
 */
export function hasRecentMajority(state: RaftState, nowMs: number): boolean {
  const majorityReplyAtMs = quorumValue(state, nowMs, (follower) => follower.ackedAtMs);
  return nowMs - majorityReplyAtMs <= state.timing.electionTimeoutMs;
}

/** Steps down when no majority replied within an election timeout. */
export function checkQuorum(state: RaftState): void {
  if (!hasRecentMajority(state, state.nowMs)) becomeFollower(state, state.term, null);
}

/** Accepts the sender as leader of the current term. */
function followLeader(state: RaftState, leaderId: string, term: number): void {
  const sameLeader = state.role === RaftRole.Follower && state.leaderId === leaderId;
  const isNewLeader = !sameLeader || term > state.term;
  if (isNewLeader) becomeFollower(state, term, leaderId);
  noteLeaderContact(state, isNewLeader);
  state.leaderContactAtMs = state.nowMs;
  state.deferredElections = 0;
  state.electionAtMs = Math.max(state.electionAtMs, state.nowMs + state.timing.electionTimeoutMs);
}

function replyAppend(
  state: RaftState,
  request: AppendRequest,
  success: boolean,
  matchIndex: number,
): void {
  state.send(request.from, {
    ...state.envelope,
    type: RaftMessageType.AppendReply,
    success,
    matchIndex,
    round: request.round,
  });
}

/** Appends the leader's entries after the consistency check. */
export function handleAppend(state: RaftState, request: AppendRequest): void {
  if (request.term < state.term) {
    replyAppend(state, request, false, state.log.lastIndex);
    return;
  }
  followLeader(state, request.from, request.term);
  noteLeaderCommit(state, request.commitIndex);
  const isCompacted = request.prevIndex < state.log.snapshot.index;
  if (!isCompacted && state.log.termAt(request.prevIndex) !== request.prevTerm) {
    const retryIndex = Math.min(request.prevIndex - 1, state.log.lastIndex);
    replyAppend(state, request, false, Math.max(retryIndex, state.commitIndex));
    return;
  }
  const newEntries = request.entries.filter(
    (entry) =>
      entry.index > state.log.snapshot.index && state.log.termAt(entry.index) !== entry.term,
  );
  const firstNew = newEntries[0];
  if (firstNew) {
    const truncateFrom = firstNew.index <= state.log.lastIndex ? firstNew.index : 0;
    if (truncateFrom > 0) {
      state.log.truncateFrom(truncateFrom);
      state.persistedIndex = Math.min(state.persistedIndex, truncateFrom - 1);
      state.generation += 1;
    }
    persistEntries(state, newEntries, truncateFrom);
  }
  const matchIndex = request.prevIndex + request.entries.length;
  const commitIndex = Math.min(request.commitIndex, matchIndex);
  if (commitIndex > state.commitIndex) {
    state.commitIndex = commitIndex;
    state.applyCommitted();
  }
  replyAppend(state, request, true, matchIndex);
}

/** Updates the replication progress of a follower. */
export function handleAppendReply(state: RaftState, reply: AppendReply): void {
  if (reply.term > state.term) {
    becomeFollower(state, reply.term, null);
    return;
  }
  const follower = state.followers.get(reply.from);
  if (state.role !== RaftRole.Leader || reply.term !== state.term || !follower) return;
  follower.ackedAtMs = state.nowMs;
  follower.ackedRound = Math.max(follower.ackedRound, reply.round);
  if (reply.success) {
    follower.matchIndex = Math.max(follower.matchIndex, reply.matchIndex);
    follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1);
    advanceCommit(state);
  } else {
    follower.nextIndex = Math.max(1, Math.min(follower.nextIndex, reply.matchIndex + 1));
    follower.sentAfterIndex = follower.nextIndex - 1;
  }
  if (state.role === RaftRole.Leader && follower.nextIndex <= state.log.lastIndex) {
    sendAppend(state, reply.from);
  }
  releaseReads(state);
}

/** Collects a snapshot chunk; the snapshot is saved after the last one. */
export function handleSnapshotChunk(state: RaftState, chunk: SnapshotChunk): void {
  if (chunk.term < state.term) return;
  followLeader(state, chunk.from, chunk.term);
  const alreadyCommitted = chunk.snapshotIndex <= state.commitIndex;
  if (!alreadyCommitted) {
    if (state.incomingSnapshot?.index !== chunk.snapshotIndex || chunk.offsetBytes === 0) {
      state.incomingSnapshot = { index: chunk.snapshotIndex, chunks: [], receivedBytes: 0 };
    }
    if (chunk.offsetBytes === state.incomingSnapshot.receivedBytes) {
      state.incomingSnapshot.chunks.push(chunk.bytes);
      state.incomingSnapshot.receivedBytes += chunk.bytes.length;
      if (chunk.last) {
        const bytes = Buffer.concat(state.incomingSnapshot.chunks);
        state.incomingSnapshot = null;
        state.emit({
          type: RaftEffectType.SaveSnapshot,
          received: true,
          snapshot: {
            index: chunk.snapshotIndex,
            term: chunk.snapshotTerm,
            membership: chunk.membership,
            bytes,
          },
        });
        return;
      }
    }
  }
  state.send(chunk.from, {
    ...state.envelope,
    type: RaftMessageType.SnapshotReply,
    snapshotIndex: chunk.snapshotIndex,
    receivedBytes: state.incomingSnapshot?.receivedBytes ?? 0,
    installed: alreadyCommitted,
  });
}

/** Continues a snapshot transfer, or resumes sending entries once it is installed. */
export function handleSnapshotReply(state: RaftState, reply: SnapshotReply): void {
  if (reply.term > state.term) {
    becomeFollower(state, reply.term, null);
    return;
  }
  const follower = state.followers.get(reply.from);
  if (state.role !== RaftRole.Leader || !follower) return;
  follower.ackedAtMs = state.nowMs;
  if (reply.installed) {
    follower.matchIndex = Math.max(follower.matchIndex, reply.snapshotIndex);
    follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1);
    follower.snapshotOffsetBytes = -1;
    follower.sentChunkOffsetBytes = -1;
    sendAppend(state, reply.from);
    return;
  }
  const sameSnapshot = reply.snapshotIndex === state.log.snapshot.index;
  follower.snapshotOffsetBytes = sameSnapshot ? reply.receivedBytes : 0;
  if (state.log.termAt(follower.nextIndex - 1) === undefined) {
    sendSnapshotChunk(state, reply.from, follower);
  }
}
