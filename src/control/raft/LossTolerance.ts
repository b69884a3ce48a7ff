import { UNREACHABLE_TIMEOUTS } from './Copies.js';
import type { RaftState } from './RaftState.js';
import { recoveryQuorum } from './Recovery.js';
import type { Member } from './Types.js';

/** Voters of a membership, of which some may be silent. */
export interface VoterCounts {
  readonly voters: number;
  /** Voters that have sent nothing for a while and may never return. */
  readonly silent: number;
}

/** Most disks of the voters that are not silent after whose loss the others can hold a recovery. */
function disksByRecovery({ voters, silent }: VoterCounts, hostsLostAtOnce: number): number {
  if (voters > 2 * hostsLostAtOnce) return 0;
  for (let emptied = Math.min(hostsLostAtOnce, voters - 1); emptied > 0; emptied -= 1) {
    const quorum = recoveryQuorum({ remaining: voters - emptied, emptied }, hostsLostAtOnce);
    if (voters - silent - emptied >= quorum) return emptied;
  }
  return 0;
}

/**
 * Number of the voters that are not silent whose disks may be lost simultaneously, so that the others
 * still elect a leader: a majority is left, or they can hold a recovery.
 *
 * @param counts - voters and silent voters
 * @param hostsLostAtOnce - number of hosts whose loss the setting allows for
 * @example
 * disksThatMayBeLost({ voters: 5, silent: 1 }, 2); // 1: four live, three are a majority
 * disksThatMayBeLost({ voters: 4, silent: 0 }, 2); // 2: the other two recover
 */
export function disksThatMayBeLost(counts: VoterCounts, hostsLostAtOnce: number): number {
  const { voters, silent } = counts;
  const quorum = Math.floor(voters / 2) + 1;
  return Math.max(0, voters - silent - quorum, disksByRecovery(counts, hostsLostAtOnce));
}

/**
 * Voters or other members that have sent this leader nothing for longer than a time; a pause of its own
 * is no silence.
 */
export function silentMembers(
  state: RaftState,
  silentMs: number,
  members: readonly Member[] = state.log.membership.voters,
): Member[] {
  return members.filter(({ id }) => {
    const ackedAtMs = state.followers.get(id)?.ackedAtMs ?? state.nowMs;
    return state.nowMs - Math.max(ackedAtMs, state.silenceFromMs) > silentMs;
  });
}

/** Counts the voters of a leader, and those that it has not heard of for two election timeouts. */
export function countVoters(state: RaftState): VoterCounts {
  const silentMs = state.timing.electionTimeoutMs * UNREACHABLE_TIMEOUTS;
  return {
    voters: state.log.membership.voters.length,
    silent: silentMembers(state, silentMs).length,
  };
}
