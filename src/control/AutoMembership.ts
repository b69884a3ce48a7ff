import { UNREACHABLE_TIMEOUTS } from './raft/Copies.js';
import { disksThatMayBeLost, silentMembers } from './raft/LossTolerance.js';
import type { RaftState } from './raft/RaftState.js';
import { isRecovering, remainingVoters } from './raft/Recovery.js';
import { hasCommittedInTerm } from './raft/Replication.js';
import { RaftRole, type Member, type Membership } from './raft/Types.js';

/** Options of an {@link AutoMembership}. */
export interface AutoMembershipOptions {
  /** Time without an acknowledgement after which a learner may replace a voter. */
  readonly replaceAfterMs?: number;
  /** Number of voters that the cluster should have. */
  readonly targetVoters?: number;
  /** Hosts that may lose their disks simultaneously; 0 by default. */
  readonly hostsLostAtOnce?: number;
}

/** Three voters keep a majority when one is lost. */
const DEFAULT_TARGET_VOTERS = 3;

/** Several election timeouts; a restarted voter acknowledges again sooner. */
const DEFAULT_REPLACE_AFTER_MS = 1_800;

/** Two voters can not do without either, so no voter of three is released. */
const MIN_VOTERS = 3;

/** A host repeats its join request every 500 ms; one older than this has been abandoned. */
const JOIN_REQUEST_LIFETIME_MS = 5_000;

/** Log entries by which a learner may lag behind when it is promoted without an operator. */
const MAX_PROMOTION_LAG = 8;

/** Voters needed to keep a majority after `hostsLostAtOnce` losses; at least `initialVoters`. */
export function requiredVoterCount(hostsLostAtOnce: number, initialVoters: number): number {
  return Math.max(initialVoters, 2 * hostsLostAtOnce + 1);
}

/**
 * Longest time for which a confirmation waits for further voters. Joins at a first start take a few
 * hundred milliseconds; an installation may also have fewer hosts than the target.
 */
const VOTER_WAIT_MS = 2_000;

/** Time without contact with a leader after which a member may have been removed unnoticed. */
const LEADER_SILENCE_MS = 3_000;

/**
 * True if a host should request to join: it is not a member, or it had no contact with a leader
 * for {@link LEADER_SILENCE_MS}. It may then have been replaced during a partition, which no host
 * reports to it. A request from a member has no effect.
 */
export function shouldRequestJoin(state: RaftState, nowMs: number, startedAtMs: number): boolean {
  const { voters, learners } = state.log.membership;
  if (state.role === RaftRole.Leader) return false;
  const isMember = [...voters, ...learners].some((member) => member.id === state.id);
  const lastContactMs = Math.max(state.leaderContactAtMs, startedAtMs);
  return !isMember || nowMs - lastContactMs > LEADER_SILENCE_MS;
}

/**
 * Members to which a leader sends its own join request, as it hears nothing of them. A host that lost
 * its disk, and whose seeds are all gone, learns by it whom to ask (see {@link AutoMembership.requesters}).
 */
export function membersToInvite(state: RaftState): Member[] {
  if (state.role !== RaftRole.Leader) return [];
  const silentMs = state.timing.electionTimeoutMs * UNREACHABLE_TIMEOUTS;
  return silentMembers(state, silentMs, state.log.membersExcept(state.id));
}

/**
 * Replaces lost control hosts. A host without state joins as a learner under a new id. Once it has
 * caught up, it replaces a voter that counts as lost: one with the address of the joining host, or
 * one that has sent no acknowledgement for `replaceAfterMs`. The replacement is promoted before the
 * lost voter is removed. There are then never fewer voters than the target, so that the loss of
 * disks that the target allows for leaves a majority of voters that holds all committed entries.
 * Where hosts are too few for the target, a lost voter without a replacement becomes a learner.
 * Hosts without a disk stay learners, and so do hosts beyond the target number of voters until a
 * voter is lost.
 */
export class AutoMembership {
  private readonly joinRequests = new Map<string, { member: Member; atMs: number }>();

  private readonly replaceAfterMs: number;

  private readonly targetVoters: number;

  /** Time since which this leader has had too few voters; undefined if there are enough. */
  private tooFewSinceMs: number | undefined;

  constructor(options: AutoMembershipOptions = {}) {
    this.replaceAfterMs = options.replaceAfterMs ?? DEFAULT_REPLACE_AFTER_MS;
    this.targetVoters = options.targetVoters ?? DEFAULT_TARGET_VOTERS;
  }

  /** Records the join request of a host. */
  join(member: Member, nowMs: number): void {
    this.joinRequests.set(member.id, { member, atMs: nowMs });
  }

  /**
   * Hosts that requested to join recently. A host whose seeds have all lost their disks reaches the
   * other voters only through their requests.
   */
  requesters(nowMs: number): Member[] {
    this.dropOldRequests(nowMs);
    return [...this.joinRequests.values()].map(({ member }) => member);
  }

  private dropOldRequests(nowMs: number): void {
    this.joinRequests.forEach(({ atMs }, id) => {
      if (nowMs - atMs > JOIN_REQUEST_LIFETIME_MS) this.joinRequests.delete(id);
    });
  }

  /**
   * True if a leader should delay the confirmation of changes: the committed number of voters is
   * below the target and may be completed soon.
   */
  delaysConfirmation(state: RaftState, committedVoters: number): boolean {
    if (state.role !== RaftRole.Leader || committedVoters >= this.targetVoters) {
      this.tooFewSinceMs = undefined;
      return false;
    }
    this.tooFewSinceMs ??= state.nowMs;
    return state.nowMs - this.tooFewSinceMs < VOTER_WAIT_MS;
  }

  /** Next membership, or undefined if no change is due; one change at a time. */
  plan(state: RaftState, nowMs: number): Membership | undefined {
    if (state.log.membershipIndex > state.commitIndex || !hasCommittedInTerm(state)) {
      return undefined;
    }
    this.dropOldRequests(nowMs);
    if (isRecovering(state)) return AutoMembership.removeEmptied(state);
    const { voters } = state.log.membership;
    // Promotions that complete the number of voters go before joins, which add no safety.
    const completing =
      voters.length < this.targetVoters ? AutoMembership.promote(state, nowMs) : undefined;
    return (
      completing ??
      this.admit(state) ??
      this.replace(state, nowMs) ??
      AutoMembership.prune(state, nowMs)
    );
  }

  /**
   * Removes one emptied voter after a recovery election. Until all are removed, every other voter
   * must acknowledge each change; hosts are readmitted afterwards.
   */
  private static removeEmptied(state: RaftState): Membership {
    const { voters, learners } = state.log.membership;
    const remaining = remainingVoters(state);
    const emptied = voters.find((voter) => !remaining.includes(voter));
    return { voters: voters.filter((voter) => voter !== emptied), learners };
  }

  /** Admits a joining host as a learner. */
  private admit(state: RaftState): Membership | undefined {
    const { voters, learners } = state.log.membership;
    const memberIds = new Set([...voters, ...learners].map((member) => member.id));
    const request = [...this.joinRequests.values()].find(({ member }) => !memberIds.has(member.id));
    if (!request) return undefined;
    // An older learner at the same address is left from an earlier join of the same host.
    const others = learners.filter((member) => member.address !== request.member.address);
    return { voters, learners: [...others, request.member] };
  }

  /**
   * Replaces a lost voter: promotes a learner, then removes the lost voter. A voter whose host has
   * been promoted under a newer id is removed also where that leaves fewer than the target.
   */
  private replace(state: RaftState, nowMs: number): Membership | undefined {
    const { voters, learners } = state.log.membership;
    const superseded = AutoMembership.supersededVoter(state, nowMs, voters);
    const lost = superseded ?? this.lostVoter(state, nowMs);
    if (!superseded && voters.length <= this.targetVoters)
      return lost && (AutoMembership.promote(state, nowMs) ?? this.release(state));
    if (lost) return { voters: voters.filter((voter) => voter !== lost), learners };
    return AutoMembership.demote(state);
  }

  /** Promotes a learner that has caught up. */
  private static promote(state: RaftState, nowMs: number): Membership | undefined {
    const { voters, learners } = state.log.membership;
    const candidate = learners.find((member) => {
      const follower = state.followers.get(member.id);
      return (
        member.observer !== true &&
        follower !== undefined &&
        nowMs - follower.ackedAtMs < state.timing.electionTimeoutMs &&
        state.log.lastIndex - follower.matchIndex <= MAX_PROMOTION_LAG
      );
    });
    if (!candidate) return undefined;
    const instanceId = state.instanceIds.get(candidate.id);
    return {
      voters: [...voters, { ...candidate, instanceId }],
      learners: learners.filter((member) => member.id !== candidate.id),
    };
  }

  /**
   * Makes a silent voter a learner if the others, by themselves, survive the loss of more disks: a
   * voter that is gone for good neither votes in a recovery nor reports that its disk is lost. One
   * that returns is promoted again at its first acknowledgements.
   */
  private release(state: RaftState): Membership | undefined {
    const { voters, learners } = state.log.membership;
    const { hostsLostAtOnce } = state;
    const silent = silentMembers(state, this.replaceAfterMs);
    const heard = voters.length - silent.length;
    if (silent.length === 0 || heard < Math.max(MIN_VOTERS, hostsLostAtOnce + 1)) return undefined;
    const present = { voters: voters.length, silent: silent.length };
    const gained =
      disksThatMayBeLost({ voters: heard, silent: 0 }, hostsLostAtOnce) >
      disksThatMayBeLost(present, hostsLostAtOnce);
    if (!gained) return undefined;
    const [released] = silent;
    return {
      voters: voters.filter((voter) => voter !== released),
      learners: [...learners, released!],
    };
  }

  /** Makes the voter with the oldest acknowledgement a learner; never the leader. */
  private static demote(state: RaftState): Membership | undefined {
    const { voters, learners } = state.log.membership;
    const ackedAtMs = (member: Member) => state.followers.get(member.id)?.ackedAtMs ?? state.nowMs;
    const [oldest] = voters
      .filter((voter) => voter.id !== state.id)
      .sort((a, b) => ackedAtMs(a) - ackedAtMs(b));
    if (!oldest) return undefined;
    return {
      voters: voters.filter((voter) => voter !== oldest),
      learners: [...learners, oldest],
    };
  }

  private lostVoter(state: RaftState, nowMs: number): Member | undefined {
    const { voters, learners } = state.log.membership;
    const superseded = AutoMembership.supersededVoter(state, nowMs, [...voters, ...learners]);
    const isSilent = (voter: Member) =>
      nowMs - AutoMembership.ackedAtMs(state, voter, nowMs) > this.replaceAfterMs;
    return superseded ?? voters.find(isSilent);
  }

  /**
   * Voter at whose address one of the members acknowledges under a newer id: its host lost its disk,
   * so that it never votes again.
   */
  private static supersededVoter(
    state: RaftState,
    nowMs: number,
    members: readonly Member[],
  ): Member | undefined {
    const ackedAtMs = (member: Member) => AutoMembership.ackedAtMs(state, member, nowMs);
    return state.log.membership.voters.find((voter) =>
      members.some(
        (member) => member.address === voter.address && ackedAtMs(member) > ackedAtMs(voter),
      ),
    );
  }

  /** Time of a member's last acknowledgement; now for the leader itself. */
  private static ackedAtMs(state: RaftState, member: Member, nowMs: number): number {
    return state.followers.get(member.id)?.ackedAtMs ?? nowMs;
  }

  /** Removes learners without an acknowledgement for twice the lifetime of a join request. */
  private static prune(state: RaftState, nowMs: number): Membership | undefined {
    const { voters, learners } = state.log.membership;
    const live = learners.filter((member) => {
      const ackedAtMs = state.followers.get(member.id)?.ackedAtMs ?? nowMs;
      return nowMs - ackedAtMs < JOIN_REQUEST_LIFETIME_MS * 2;
    });
    return live.length < learners.length ? { voters, learners: live } : undefined;
  }
}
