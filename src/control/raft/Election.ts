import {
  RaftEffectType,
  RaftMessageType,
  RaftRole,
  type VoteReply,
  type VoteRequest,
} from './Types.js';
import { createFollower, type RaftState } from './RaftState.js';
import { confirmsEmptied, hasRecoveryVotes, nextRecoveryTerm, recoverableIds } from './Recovery.js';

/** Election timeout before the first contact with a leader, as a share of the regular one. */
const FIRST_ELECTION_SHARE = 0.15;

/**
 * Sets the next election time between one and two election timeouts from now. The timeout is
 * shorter before the first contact with a leader, since nothing is served until there is one; the
 * pre-vote prevents a restarted host from disrupting a live leader. It doubles with each election
 * that fails: at a start of hundreds of hosts, a vote may take longer than the short timeout.
 */
export function resetElectionTimer(state: RaftState, random: number): void {
  const hadLeader = state.leaderContactAtMs > Number.NEGATIVE_INFINITY;
  const firstShare = Math.min(1, FIRST_ELECTION_SHARE * 2 ** state.firstElections);
  const timeoutMs = state.timing.electionTimeoutMs * (hadLeader ? 1 : firstShare);
  state.electionAtMs = state.nowMs + timeoutMs * (1 + random);
}

/** Shortest delay of an early first election, in which the links of the other hosts open too. */
const FIRST_ELECTION_MIN_MS = 8;

/** Delay between the early elections of two voters: a pre-vote and a vote within one installation. */
const FIRST_ELECTION_STEP_MS = 18;

/** Random part of the delay, for voters whose links open at different times. */
const FIRST_ELECTION_SPREAD_MS = 6;

/**
 * Schedules the first election early once links to a quorum are open. After all control hosts
 * were down, nothing is served until one leads. Open links show that the other hosts are running,
 * so the election need not wait for a timeout.
 */
export function scheduleEarlyElection(state: RaftState, memberId: string, random: number): void {
  state.linkedIds.add(memberId);
  const hadLeader = state.leaderContactAtMs > Number.NEGATIVE_INFINITY;
  if (hadLeader || state.role !== RaftRole.Follower || !state.isVoter) return;
  const others = [...state.linkedIds].filter((id) => id !== state.id && state.log.isVoter(id));
  if (others.length + 1 < state.log.quorum) return;
  // Voters start one after the other, in the order of their ids, so that they don't split the vote.
  const ids = state.log.membership.voters.map(({ id }) => id).sort();
  const delayMs = FIRST_ELECTION_MIN_MS + FIRST_ELECTION_STEP_MS * ids.indexOf(state.id);
  const atMs = state.nowMs + delayMs + FIRST_ELECTION_SPREAD_MS * random;
  state.electionAtMs = state.electionAtMs === 0 ? atMs : Math.min(state.electionAtMs, atMs);
}

/**
 * Elections in a row that a host leaves to others. The bound keeps a voter whose requests arrive
 * and whose replies are lost from preventing every election.
 */
const DEFERRED_ELECTIONS_MAX = 2;

/** Emits the current role, term and leader. */
function emitRoleChanged(state: RaftState): void {
  state.emit({
    type: RaftEffectType.RoleChanged,
    role: state.role,
    term: state.term,
    leaderId: state.leaderId,
  });
}

/** Fails every read that waits for a confirmation round. */
function failReads(state: RaftState): void {
  state.pendingReads.forEach((read) =>
    state.emit({ type: RaftEffectType.ReadFailed, readId: read.readId }),
  );
  state.pendingReads = [];
}

/** Becomes follower in a term; a higher term clears the vote and is made durable. */
export function becomeFollower(state: RaftState, term: number, leaderId: string | null): void {
  const changed =
    state.role !== RaftRole.Follower || state.leaderId !== leaderId || term !== state.term;
  if (term > state.term) {
    state.term = term;
    state.votedFor = null;
    state.persistHardState();
  }
  state.role = RaftRole.Follower;
  state.leaderId = leaderId;
  state.votes.clear();
  state.recoveryIds = [];
  state.followers.clear();
  failReads(state);
  if (changed) emitRoleChanged(state);
}

/** Becomes leader of the current term. */
function becomeLeader(state: RaftState): void {
  state.role = RaftRole.Leader;
  state.leaderId = state.id;
  state.votes.clear();
  state.silenceFromMs = state.nowMs;
  state.followers.clear();
  state.log.membersExcept(state.id).forEach((member) => {
    state.followers.set(member.id, createFollower(state.log.lastIndex + 1, state.nowMs));
  });
  state.heartbeatAtMs = 0;
  emitRoleChanged(state);
}

/** Sends a vote request to every other voter. */
function requestVotes(state: RaftState, type: VoteRequest['type'], term: number): void {
  state.log.membership.voters
    .filter((member) => member.id !== state.id)
    .forEach((member) => {
      state.send(member.id, {
        ...state.envelope,
        type,
        term,
        lastIndex: state.log.lastIndex,
        lastTerm: state.log.lastTerm,
        ...(state.recoveryIds.length > 0 && { emptiedIds: state.recoveryIds }),
      });
    });
}

/** Forgets all votes but the local one. */
function resetVotes(state: RaftState): void {
  [state.votes, state.recoveryVotes].forEach((votes) => {
    votes.clear();
    votes.add(state.id);
  });
}

/** Counts the granted vote of a voter. */
function countVote(state: RaftState, reply: VoteReply): void {
  if (!state.log.isVoter(reply.from)) return;
  state.votes.add(reply.from);
  const confirmed = reply.emptiedIds ?? [];
  if (state.recoveryIds.every((id) => confirmed.includes(id))) state.recoveryVotes.add(reply.from);
}

/**
 * True if the votes elect this host. A recovery election needs every voter that is not emptied, even
 * if a majority granted: voters emptied later may have granted another candidate of the same term.
 */
function isElected(state: RaftState): boolean {
  if (state.recoveryIds.length > 0) return hasRecoveryVotes(state);
  return state.votes.size >= state.log.quorum;
}

/** Starts the actual election after a successful pre-vote. */
function startElection(state: RaftState): void {
  state.role = RaftRole.Candidate;
  state.term = state.recoveryIds.length > 0 ? nextRecoveryTerm(state.term) : state.term + 1;
  state.votedFor = state.id;
  state.persistHardState();
  resetVotes(state);
  emitRoleChanged(state);
  if (isElected(state)) {
    becomeLeader(state);
    return;
  }
  requestVotes(state, RaftMessageType.Vote, state.term);
}

/** Starts an election once the pre-votes allow for one: an ordinary one if possible. */
function electAfterPreVote(state: RaftState): void {
  if (state.votes.size >= state.log.quorum) {
    state.recoveryIds = [];
    startElection(state);
  } else if (hasRecoveryVotes(state)) startElection(state);
}

/** Emits what the pre-vote lacked that has not led to an election. */
function emitStalled(state: RaftState): void {
  const { voters } = state.log.membership;
  const ids = (belongs: (id: string) => boolean) =>
    voters.map(({ id }) => id).filter((id) => belongs(id));
  state.emit({
    type: RaftEffectType.ElectionStalled,
    quorum: state.log.quorum,
    granted: ids((id) => state.votes.has(id)),
    emptied: ids((id) => state.emptiedIds.has(id)),
    missing: ids((id) => !state.votes.has(id) && !state.emptiedIds.has(id)),
    recovery: state.recoveryIds.length > 0,
  });
}

/** Starts a pre-vote: checks whether an election could succeed, without raising the term. */
export function startPreVote(state: RaftState, random: number): void {
  if (state.isVoter) state.firstElections += 1;
  resetElectionTimer(state, random);
  if (!state.isVoter || state.diskRefuses) return;
  if (state.role === RaftRole.PreCandidate) emitStalled(state);
  state.role = RaftRole.PreCandidate;
  state.leaderId = null;
  state.recoveryIds = recoverableIds(state);
  resetVotes(state);
  emitRoleChanged(state);
  electAfterPreVote(state);
  if (state.role !== RaftRole.PreCandidate) return;
  requestVotes(state, RaftMessageType.PreVote, state.term + 1);
}

/** True if the requester's log is at least as complete as the local one. */
function isLogCurrent(state: RaftState, request: VoteRequest): boolean {
  if (request.lastTerm !== state.log.lastTerm) return request.lastTerm > state.log.lastTerm;
  return request.lastIndex >= state.log.lastIndex;
}

/** True on the leader, and within the shortest election timeout after a leader's message. */
function hasLiveLeader(state: RaftState): boolean {
  if (state.role === RaftRole.Leader) return true;
  return state.nowMs - state.leaderContactAtMs < state.timing.electionTimeoutMs;
}

/** True if the requester goes first where both start an election: newer log, then lower id. */
function outranks(state: RaftState, request: VoteRequest): boolean {
  const sameLog =
    request.lastTerm === state.log.lastTerm && request.lastIndex === state.log.lastIndex;
  return isLogCurrent(state, request) && (!sameLog || request.from < state.id);
}

/**
 * Leaves the election to a voter that goes first, so that voters that start at about the same time
 * don't split the votes. The next election of this host starts after the usual timeout.
 */
function deferElection(state: RaftState): void {
  if (state.deferredElections >= DEFERRED_ELECTIONS_MAX) return;
  state.deferredElections += 1;
  if (state.role === RaftRole.PreCandidate) {
    state.role = RaftRole.Follower;
    state.votes.clear();
    state.recoveryIds = [];
    emitRoleChanged(state);
  }
  state.electionAtMs = Math.max(state.electionAtMs, state.nowMs + state.timing.electionTimeoutMs);
}

/** Field of a reply that repeats the emptied voters of a request whose reports were verified. */
function confirmation(state: RaftState, { emptiedIds }: VoteRequest): Partial<VoteReply> {
  return emptiedIds && confirmsEmptied(state, emptiedIds) ? { emptiedIds } : {};
}

/** Answers a pre-vote request; one of a voter that goes first defers the own election. */
export function handlePreVote(state: RaftState, request: VoteRequest): void {
  const granted =
    request.term > state.term && isLogCurrent(state, request) && !hasLiveLeader(state);
  const isRunning = state.role === RaftRole.Candidate || state.role === RaftRole.Leader;
  if (granted && !isRunning && outranks(state, request)) deferElection(state);
  state.send(request.from, {
    ...state.envelope,
    type: RaftMessageType.PreVoteReply,
    term: granted ? request.term : state.term,
    granted,
    ...confirmation(state, request),
  });
}

/** Answers a vote request; a granted vote is durable before the reply is sent. */
export function handleVote(state: RaftState, request: VoteRequest): void {
  if (hasLiveLeader(state) && request.from !== state.leaderId) return;
  // Without its own proof this host must not help to elect a leader that leaves voters out.
  if (!confirmsEmptied(state, request.emptiedIds ?? [])) return;
  if (request.term > state.term) becomeFollower(state, request.term, null);
  const mayVote = state.votedFor === null || state.votedFor === request.from;
  const granted = request.term === state.term && mayVote && isLogCurrent(state, request);
  if (granted) {
    state.votedFor = request.from;
    state.persistHardState();
    state.electionAtMs = Math.max(state.electionAtMs, state.nowMs + state.timing.electionTimeoutMs);
  }
  state.send(request.from, {
    ...state.envelope,
    type: RaftMessageType.VoteReply,
    granted,
    ...confirmation(state, request),
  });
}

/** Counts a pre-vote reply; a majority starts the election. */
export function handlePreVoteReply(state: RaftState, reply: VoteReply): void {
  if (!reply.granted) {
    if (reply.term > state.term) becomeFollower(state, reply.term, null);
    return;
  }
  if (state.role !== RaftRole.PreCandidate || reply.term !== state.term + 1) return;
  countVote(state, reply);
  electAfterPreVote(state);
}

/** Counts a vote reply; returns true when this host has become leader. */
export function handleVoteReply(state: RaftState, reply: VoteReply): boolean {
  if (reply.term > state.term) {
    becomeFollower(state, reply.term, null);
    return false;
  }
  if (state.role !== RaftRole.Candidate || reply.term !== state.term || !reply.granted) {
    return false;
  }
  countVote(state, reply);
  if (!isElected(state)) return false;
  becomeLeader(state);
  return true;
}
