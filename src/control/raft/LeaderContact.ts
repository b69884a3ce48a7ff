import type { RaftState } from './RaftState.js';

/**
 * Notes a message of the leader, before it counts as contact. After a silence, or from another
 * leader, what was known of the commit index no longer shows what is committed.
 */
export function noteLeaderContact(state: RaftState, isNewLeader: boolean): void {
  const silentMs = state.nowMs - state.leaderContactAtMs;
  const isFirst = silentMs >= state.timing.electionTimeoutMs;
  if (isFirst) state.contactSinceMs = state.nowMs;
  if (isFirst || isNewLeader) state.contactCommitIndex = 0;
}

/**
 * Notes the commit index that the leader sent. The first messages after a silence may have been
 * sent before it, so all those of the first heartbeat interval count as the contact's beginning.
 */
export function noteLeaderCommit(state: RaftState, commitIndex: number): void {
  const { contactSinceMs, timing, nowMs } = state;
  const isBeginning = nowMs - contactSinceMs <= timing.heartbeatMs;
  if (isBeginning || state.contactCommitIndex === 0) {
    state.contactCommitIndex = Math.max(state.contactCommitIndex, commitIndex);
  }
}
