import type { Member, Membership } from './Types.js';
import type { RaftState } from './RaftState.js';

/**
 * Distance between the terms of two recovery elections. Terms that emptied voters used among
 * themselves are unknown to the others, so a recovery starts at a multiple of this number, which no
 * ordinary election reaches: at one election every 90 ms, 2^32 elections take twelve years. A
 * JavaScript number holds 2^21 such recoveries.
 */
export const RECOVERY_TERM_STEP = 2 ** 32;

/** First term after the given one that belongs to recovery elections. */
export function nextRecoveryTerm(term: number): number {
  return (Math.floor(term / RECOVERY_TERM_STEP) + 1) * RECOVERY_TERM_STEP;
}

/** Number of recovery elections that led to a term. */
export function recoveriesBefore(term: number): number {
  return Math.floor(term / RECOVERY_TERM_STEP);
}

/**
 * Time for which the reports of an emptied voter must have been repeated before a recovery: a leader
 * elected by the other voters reaches the reporting host within an election that fails once (four
 * election timeouts), and the host then stops reporting.
 */
const SUSTAINED_REPORT_TIMEOUTS = 4;

/**
 * The same with fewer than twice `hostsLostAtOnce` voters. They may all be out of date, as changes
 * were committed without those that were unreachable; hosts that know more come back within the
 * outages that end by themselves (6 s), and a recovery still ends within 15 s.
 */
const SUSTAINED_BY_FEW_TIMEOUTS = 15;

/** Longest gap between two reports; they are sent every 500 ms, of which one may be lost. */
const REPORT_GAP_MS = 1_500;

function countAddresses(members: readonly Member[]): number {
  return new Set(members.map(({ address, port }) => `${address}:${port}`)).size;
}

/** True if the voters are so few that losing `hostsLostAtOnce` disks leaves no majority of them. */
export function mayNeedRecovery(
  state: RaftState,
  { voters }: Membership = state.log.membership,
): boolean {
  return countAddresses(voters) <= 2 * state.hostsLostAtOnce;
}

function noteReport(state: RaftState, id: string): void {
  const lastMs = state.nowMs;
  const times = state.reportTimes.get(id);
  const continues = times !== undefined && lastMs - times.lastMs <= REPORT_GAP_MS;
  state.reportTimes.set(id, { firstMs: continues ? times.firstMs : lastMs, lastMs });
}

/** True if the host at the address of a voter has reported for a while, and still does. */
function isReportSustained(state: RaftState, id: string): boolean {
  const times = state.reportTimes.get(id);
  if (!times || state.nowMs - times.lastMs > REPORT_GAP_MS) return false;
  const areFew = countAddresses(state.log.membership.voters) < 2 * state.hostsLostAtOnce;
  const timeouts = areFew ? SUSTAINED_BY_FEW_TIMEOUTS : SUSTAINED_REPORT_TIMEOUTS;
  const sustainedMs = state.timing.electionTimeoutMs * timeouts;
  return times.lastMs - times.firstMs >= sustainedMs;
}

/**
 * True if a host with an emptied disk should report it: no leader has reached it for a while. A host
 * that was replaced during an outage has an old membership, in which the voters that know the newer
 * one may all be emptied; contact with a leader shows that the others need no recovery.
 */
export function shouldReportEmptied(state: RaftState, nowMs: number): boolean {
  const silentMs = nowMs - state.leaderContactAtMs;
  return silentMs > state.timing.electionTimeoutMs * SUSTAINED_REPORT_TIMEOUTS;
}

/**
 * Records the report of a host that its disk was empty. The id counts as emptied only if the
 * membership has it as a voter at the address and port of the reporting host, under another id than
 * the reporter's. Ids are never used again after their disk is lost, so a late or repeated report
 * is as true as the first one.
 *
 * @returns the ids that count as emptied from now on and did not before
 * @example
 * recordEmptied(state, { id: 'c-2', address: '10.0.0.3', port: 7540 }, ['c']); // ['c']
 */
export function recordEmptied(
  state: RaftState,
  reporter: Member,
  emptiedIds: readonly string[],
): string[] {
  if (state.hostsLostAtOnce === 0) return [];
  const reported = state.log.membership.voters
    .filter(
      (voter) =>
        emptiedIds.includes(voter.id) &&
        voter.id !== state.id &&
        voter.id !== reporter.id &&
        voter.address === reporter.address &&
        voter.port === reporter.port,
    )
    .map(({ id }) => id);
  reported.forEach((id) => noteReport(state, id));
  const added = reported.filter((id) => !state.emptiedIds.has(id));
  added.forEach((id) => state.emptiedIds.add(id));
  return added;
}

/**
 * Emptied voters without whose votes an election may be held; none if a majority of voters must be
 * left by the setting, or if more hosts are emptied than the setting allows for.
 */
export function recoverableIds(state: RaftState): string[] {
  if (state.emptiedIds.size === 0 || !mayNeedRecovery(state)) return [];
  const emptied = state.log.membership.voters.filter(({ id }) => state.emptiedIds.has(id));
  if (countAddresses(emptied) > state.hostsLostAtOnce) return [];
  if (!emptied.every(({ id }) => isReportSustained(state, id))) return [];
  return emptied.map(({ id }) => id);
}

/** True if this host has verified every one of the reports. */
export function confirmsEmptied(state: RaftState, ids: readonly string[]): boolean {
  return ids.every((id) => state.emptiedIds.has(id));
}

/** Voters that the current recovery does not count as emptied. */
export function remainingVoters(state: RaftState): Member[] {
  return state.log.membership.voters.filter(({ id }) => !state.recoveryIds.includes(id));
}

/** Voters that a recovery begins with; the emptied ones are removed one by one during it. */
export interface RecoveryCounts {
  readonly remaining: number;
  readonly emptied: number;
}

/**
 * Number of the remaining voters that elect a leader in a recovery and hold each of its changes: all of
 * them. Of twice `hostsLostAtOnce` voters it is a majority of them, and at least `hostsLostAtOnce`: every
 * change is on one voter more, so that fewer lack it, and two such groups share a voter (argument in
 * docs/design/recovery-after-disk-loss.md).
 *
 * @example
 * recoveryQuorum({ remaining: 3, emptied: 1 }, 2); // 2 of the three that are left of four
 * recoveryQuorum({ remaining: 2, emptied: 1 }, 2); // 2, all that are left of three
 */
export function recoveryQuorum(
  { remaining, emptied }: RecoveryCounts,
  hostsLostAtOnce: number,
): number {
  const isTwice = remaining + emptied === 2 * hostsLostAtOnce;
  if (!isTwice || emptied > hostsLostAtOnce) return remaining;
  return Math.max(Math.floor(remaining / 2) + 1, hostsLostAtOnce);
}

/** Number of voters that the current recovery needs. */
export function currentRecoveryQuorum(state: RaftState): number {
  const counts = { remaining: remainingVoters(state).length, emptied: state.recoveryIds.length };
  return recoveryQuorum(counts, state.hostsLostAtOnce);
}

/** True if enough voters that are not emptied have voted and confirmed the reports. */
export function hasRecoveryVotes(state: RaftState): boolean {
  if (state.recoveryIds.length === 0) return false;
  const votes = remainingVoters(state).filter(({ id }) => state.recoveryVotes.has(id));
  return votes.length >= currentRecoveryQuorum(state);
}

/** True while a leader that a recovery elected still has emptied voters in its membership. */
export function isRecovering(state: RaftState): boolean {
  return state.recoveryIds.some((id) => state.log.isVoter(id));
}
