import type { RaftState } from './RaftState.js';
import { hasCommittedInTerm, hasRecentMajority } from './Replication.js';
import { RaftRole } from './Types.js';

/** True if the applied entries include one of the current term, which follows all of earlier ones. */
function hasAppliedInTerm(state: RaftState): boolean {
  return state.log.termAt(state.appliedIndex) === state.term;
}

/**
 * True if a control host has applied all that was committed when its contact with a majority began.
 * One that has just started, was paused or had no leader is not caught up until then.
 *
 * @example
 * isCaughtUp(raft.state, nowMs); // false while a restarted host replays its log
 */
export function isCaughtUp(state: RaftState, nowMs: number): boolean {
  const { timing, silenceFromMs } = state;
  // What arrives right after a pause was sent before its end.
  if (nowMs - silenceFromMs <= timing.heartbeatMs) return false;
  if (state.role === RaftRole.Leader) {
    return (
      hasCommittedInTerm(state) &&
      state.appliedIndex >= state.commitIndex &&
      hasRecentMajority(state, nowMs)
    );
  }
  return (
    nowMs - state.leaderContactAtMs < timing.electionTimeoutMs &&
    nowMs - state.contactSinceMs > timing.heartbeatMs &&
    state.contactCommitIndex > 0 &&
    state.appliedIndex >= state.contactCommitIndex &&
    hasAppliedInTerm(state)
  );
}
