import type { Follower, RaftState } from './RaftState.js';
import {
  currentRecoveryQuorum,
  isRecovering,
  mayNeedRecovery,
  remainingVoters,
} from './Recovery.js';
import type { Member } from './Types.js';

/**
 * Time without an acknowledgement after which a voter counts as unreachable. A change must be
 * confirmed within 4 s; an election that fails once takes up to four election timeouts (2.4 s) of
 * them, and two more leave 0.4 s for the change itself.
 */
export const UNREACHABLE_TIMEOUTS = 2;

/**
 * Time without an acknowledgement after which a change of twice `hostsLostAtOnce` voters does without
 * a voter: longer than outages that end by themselves, within the 15 s for a recovery.
 */
const EARLIER_VOTER_PATIENCE_MS = 10_000;

/** Share of an election timeout without any event after which this host counts as paused. */
const PAUSE_SHARE = 0.5;

/** Value of each voter, in the order of the membership; that in force by default. */
function voterValues(
  state: RaftState,
  localValue: number,
  get: (follower: Follower) => number,
  voters: readonly Member[] = state.log.membership.voters,
): { readonly id: string; readonly value: number }[] {
  return voters.map(({ id }) => {
    if (id === state.id) return { id, value: localValue };
    const follower = state.followers.get(id);
    return { id, value: follower ? get(follower) : Number.NEGATIVE_INFINITY };
  });
}

/** Highest value that a number of voters has reached. */
function valueOf(values: readonly number[], count: number): number {
  return [...values].sort((a, b) => b - a)[count - 1] ?? Number.NEGATIVE_INFINITY;
}

/**
 * Highest value that a quorum of voters has reached: a majority or, while a recovery is not
 * completed, as many of the voters that are not emptied as elect its leader.
 */
export function quorumValue(
  state: RaftState,
  localValue: number,
  get: (follower: Follower) => number,
): number {
  const values = voterValues(state, localValue, get);
  if (!isRecovering(state)) {
    return valueOf(
      values.map(({ value }) => value),
      state.log.quorum,
    );
  }
  const remaining = new Set(remainingVoters(state).map(({ id }) => id));
  return valueOf(
    values.filter(({ id }) => remaining.has(id)).map(({ value }) => value),
    currentRecoveryQuorum(state),
  );
}

/** True if a majority is fewer voters than must hold a change before it is confirmed. */
export function needsMoreThanMajority(state: RaftState): boolean {
  return state.copiesNeeded > state.log.quorum;
}

/**
 * Restarts the times without an acknowledgement after a pause of this host: acknowledgements that
 * arrived during the pause have not been read yet, so silence during it shows nothing.
 */
export function notePause(state: RaftState, nowMs: number): void {
  if (nowMs - state.nowMs > state.timing.electionTimeoutMs * PAUSE_SHARE) {
    state.silenceFromMs = nowMs;
  }
}

/** True for this host, and for a voter that has acknowledged within a time. */
function isReachable(
  state: RaftState,
  id: string,
  withinMs = state.timing.electionTimeoutMs * UNREACHABLE_TIMEOUTS,
): boolean {
  if (id === state.id) return true;
  const follower = state.followers.get(id);
  // Nothing is sent to a voter that a change removes.
  if (!follower) return false;
  return state.nowMs - Math.max(follower.ackedAtMs, state.silenceFromMs) <= withinMs;
}

/** Highest index that is durable on a quorum and on as many further disks as the setting asks for. */
function durableIndex(state: RaftState): number {
  const getMatch = (follower: Follower) => follower.matchIndex;
  const quorumIndex = quorumValue(state, state.persistedIndex, getMatch);
  if (!needsMoreThanMajority(state) || isRecovering(state)) return quorumIndex;
  const values = voterValues(state, state.persistedIndex, getMatch);
  const { copiesNeeded } = state;
  const survivingIndex = valueOf(
    values.map(({ value }) => value),
    copiesNeeded,
  );
  const reachable = values.filter(({ id }) => isReachable(state, id));
  if (reachable.length >= copiesNeeded) return Math.min(quorumIndex, survivingIndex);
  const reachableIndex = Math.min(...reachable.map(({ value }) => value));
  return Math.min(quorumIndex, Math.max(survivingIndex, reachableIndex));
}

/**
 * True if a change of the membership is durable on so many of the earlier voters that one of them is
 * left after the loss of `hostsLostAtOnce` disks, or on all of them that are reachable if those are
 * fewer. A recovery of the earlier membership needs the vote of every voter that is not emptied; one
 * that has the change denies it.
 */
function isHeldByEarlierVoters(state: RaftState): boolean {
  const { membershipIndex, earlierMembership } = state.log;
  if (!mayNeedRecovery(state, earlierMembership)) return true;
  const values = voterValues(
    state,
    state.persistedIndex,
    (follower) => follower.matchIndex,
    earlierMembership.voters,
  );
  // Of twice as many voters as may be lost, a recovery does without some (see recoveryQuorum); where
  // the change was appended, as many as are needed here were reachable.
  const isTwice = values.length === 2 * state.hostsLostAtOnce;
  const withinMs = isTwice ? EARLIER_VOTER_PATIENCE_MS : undefined;
  const reachable = values.filter(({ id }) => isReachable(state, id, withinMs)).length;
  const holders = values.filter(({ value }) => value >= membershipIndex).length;
  return holders >= Math.min(state.copiesNeeded, reachable);
}

/**
 * Highest index that may be committed: durable on a quorum and, where the loss of `hostsLostAtOnce`
 * disks could empty a whole majority, on one more disk than may be lost, or on the disks of all
 * reachable voters if those are fewer. A change of the membership also needs the earlier voters.
 */
export function committableIndex(state: RaftState): number {
  const index = durableIndex(state);
  const { membershipIndex } = state.log;
  const isChanging = membershipIndex > state.commitIndex && membershipIndex <= index;
  if (!isChanging || isRecovering(state) || isHeldByEarlierVoters(state)) return index;
  return membershipIndex - 1;
}
