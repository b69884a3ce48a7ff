import { describe, expect, it } from 'vitest';
import { shouldRequestJoin, AutoMembership, membersToInvite } from './AutoMembership.js';
import { CommandType } from './Commands.js';
import { createFollower, RaftState } from './raft/RaftState.js';
import { RaftRole, type Member, type Membership } from './raft/Types.js';

const REPLACE_AFTER_MS = 1_800;

function createMember(id: string, address = id): Member {
  return { id, address, port: 7_000 };
}

const VOTERS = ['a', 'b', 'c'].map((id) => createMember(id));

/** Leader `a` with the time of the last acknowledgement of each member. */
function createLeader(
  membership: Membership,
  ackTimes: Record<string, number>,
  hostsLostAtOnce = 0,
) {
  const state = new RaftState({
    hostsLostAtOnce,
    id: 'a',
    instanceId: 'instance-a',
    hardState: { term: 1, votedFor: 'a' },
    snapshot: { index: 0, term: 0, membership, bytes: new Uint8Array() },
    entries: [{ index: 1, term: 1, command: { type: CommandType.Noop } }],
  });
  state.role = RaftRole.Leader;
  state.commitIndex = 1;
  state.log.membersExcept('a').forEach((member) =>
    state.followers.set(member.id, {
      ...createFollower(2, ackTimes[member.id] ?? 0),
      matchIndex: 1,
    }),
  );
  return state;
}

function ids(membership: Membership | undefined) {
  return (
    membership && [membership.voters, membership.learners].map((list) => list.map((m) => m.id))
  );
}

describe('AutoMembership', () => {
  const joiningHost = createMember('c-new', 'c');
  const otherHost = createMember('d', 'd');

  it('admits a host without state as a learner, never as a voter', () => {
    const autoMembership = new AutoMembership();
    autoMembership.join(joiningHost, 0);
    const state = createLeader({ voters: VOTERS, learners: [] }, { b: 0, c: 0 });
    expect(ids(autoMembership.plan(state, 0))).toEqual([['a', 'b', 'c'], ['c-new']]);
  });

  // With fewer voters than the target, losing as many disks as planned for loses entries.
  it('promotes a caught-up learner, then removes the voter whose address it has', () => {
    const autoMembership = new AutoMembership();
    const acks = { b: 9, c: 0, 'c-new': 9 };
    const full = createLeader({ voters: VOTERS, learners: [joiningHost] }, acks);
    expect(ids(autoMembership.plan(full, 10))).toEqual([['a', 'b', 'c', 'c-new'], []]);
    const extended = createLeader({ voters: [...VOTERS, joiningHost], learners: [] }, acks);
    expect(ids(autoMembership.plan(extended, 10))).toEqual([['a', 'b', 'c-new'], []]);
  });

  it('keeps a replaced voter until a learner has caught up', () => {
    const state = createLeader(
      { voters: VOTERS, learners: [joiningHost] },
      { b: 9, c: 0, 'c-new': 9 },
    );
    state.followers.get('c-new')!.matchIndex = 0;
    for (let index = 2; index < 20; index += 1) {
      state.log.append({ index, term: 1, command: { type: CommandType.Noop } });
    }
    state.commitIndex = state.log.lastIndex;
    expect(new AutoMembership().plan(state, 10)).toBeUndefined();
  });

  it('makes the voter with the oldest acknowledgement a learner if none of too many is lost', () => {
    const voters = [...VOTERS, otherHost];
    const state = createLeader({ voters, learners: [] }, { b: 9, c: 7, d: 8 });
    expect(ids(new AutoMembership().plan(state, 10))).toEqual([['a', 'b', 'd'], ['c']]);
  });

  it('completes the number of voters before it admits further hosts', () => {
    const autoMembership = new AutoMembership({ targetVoters: 5 });
    autoMembership.join(joiningHost, 0);
    const state = createLeader({ voters: VOTERS, learners: [otherHost] }, { b: 9, c: 9, d: 9 });
    expect(ids(autoMembership.plan(state, 10))).toEqual([['a', 'b', 'c', 'd'], []]);
  });

  it('continues a replacement that an earlier leader started', () => {
    const remaining = { voters: VOTERS.slice(0, 2), learners: [joiningHost] };
    const state = createLeader(remaining, { b: 9, 'c-new': 9 });
    expect(ids(new AutoMembership().plan(state, 10))).toEqual([['a', 'b', 'c-new'], []]);
  });

  it('replaces a voter at another address only after replaceAfterMs without contact', () => {
    const autoMembership = new AutoMembership({ replaceAfterMs: REPLACE_AFTER_MS });
    const now = 10_000;
    const membership = { voters: VOTERS, learners: [otherHost] };
    const atLimit = createLeader(membership, { b: now, c: now - REPLACE_AFTER_MS, d: now });
    expect(autoMembership.plan(atLimit, now)).toBeUndefined();
    const overLimit = createLeader(membership, { b: now, c: now - REPLACE_AFTER_MS - 1, d: now });
    expect(ids(autoMembership.plan(overLimit, now))).toEqual([['a', 'b', 'c', 'd'], []]);
    const extended = createLeader(
      { voters: [...VOTERS, otherHost], learners: [] },
      { b: now, c: now - REPLACE_AFTER_MS - 1, d: now },
    );
    expect(ids(autoMembership.plan(extended, now))).toEqual([['a', 'b', 'd'], []]);
  });

  // A host that was taken away stayed a voter beside its successor; too few were left after the loss of
  // as many disks as may be lost (issue 56).
  it.each([
    ['five', 2, ['a', 'b', 'c', 'd', 'e'], ['a', 'b', 'd', 'e']],
    ['four', 2, ['a', 'b', 'c', 'd'], ['a', 'b', 'd']],
  ])('releases a silent voter of %s if hosts are too few', (name, lost, before, after) => {
    const now = 10_000;
    const autoMembership = new AutoMembership({
      replaceAfterMs: REPLACE_AFTER_MS,
      targetVoters: 5,
    });
    const membership = { voters: before.map((id) => createMember(id)), learners: [] };
    const acks = { b: now, d: now, e: now };
    const atLimit = createLeader(membership, { ...acks, c: now - REPLACE_AFTER_MS }, lost);
    atLimit.nowMs = now;
    expect(autoMembership.plan(atLimit, now)).toBeUndefined();
    const over = createLeader(membership, { ...acks, c: now - REPLACE_AFTER_MS - 1 }, lost);
    over.nowMs = now;
    expect(ids(autoMembership.plan(over, now))).toEqual([after, ['c']]);
    // The silence of all others is a pause of the leader.
    over.silenceFromMs = now - 100;
    expect(autoMembership.plan(over, now)).toBeUndefined();
  });

  it('releases no voter where the others survive no more disks, or would be two', () => {
    const now = 10_000;
    const autoMembership = new AutoMembership({
      replaceAfterMs: REPLACE_AFTER_MS,
      targetVoters: 3,
    });
    const plan = (lost: number) => {
      const state = createLeader({ voters: VOTERS, learners: [] }, { b: now, c: 0 }, lost);
      state.nowMs = now;
      return autoMembership.plan(state, now);
    };
    expect([0, 1, 2].map(plan)).toEqual([undefined, undefined, undefined]);
  });

  it('invites members that a leader does not hear, and none as a follower', () => {
    const state = createLeader({ voters: VOTERS, learners: [otherHost] }, { b: 9_000, c: 0, d: 0 });
    state.nowMs = 10_000;
    expect(membersToInvite(state).map(({ id }) => id)).toEqual(['c', 'd']);
    state.role = RaftRole.Follower;
    expect(membersToInvite(state)).toEqual([]);
  });

  it('promotes a released voter that is back', () => {
    const now = 10_000;
    const autoMembership = new AutoMembership({ targetVoters: 5 });
    const voters = ['a', 'b', 'd', 'e'].map((id) => createMember(id));
    const state = createLeader(
      { voters, learners: [createMember('c')] },
      { b: now, c: now, d: now, e: now },
      2,
    );
    state.nowMs = now;
    expect(ids(autoMembership.plan(state, now))).toEqual([['a', 'b', 'd', 'e', 'c'], []]);
  });

  it('replaces no voter with a learner that lags behind or is silent', () => {
    const now = 10_000;
    const membership = { voters: VOTERS, learners: [otherHost] };
    const silent = createLeader(membership, { b: now, c: 0, d: now - 1_000 });
    expect(new AutoMembership().plan(silent, now)).toBeUndefined();
    const lagging = createLeader(membership, { b: now, c: 0, d: now });
    lagging.followers.get('d')!.matchIndex = 0;
    for (let index = 2; index < 20; index += 1) {
      lagging.log.append({ index, term: 1, command: { type: CommandType.Noop } });
    }
    expect(new AutoMembership().plan(lagging, now)).toBeUndefined();
  });

  it('readmits a voter that was replaced while it was partitioned', () => {
    const replaced = { voters: [...VOTERS.slice(0, 2), otherHost], learners: [] };
    // Its own log still lists it as a voter; the missing contact is the only sign of removal.
    const partitioned = createLeader({ voters: VOTERS, learners: [] }, {});
    partitioned.role = RaftRole.Follower;
    partitioned.leaderContactAtMs = 1_000;
    expect(shouldRequestJoin(partitioned, 3_900, 0)).toBe(false);
    // A host that has just started first waits for contact with a leader.
    expect(shouldRequestJoin(partitioned, 4_100, 2_000)).toBe(false);
    expect(shouldRequestJoin(partitioned, 4_100, 0)).toBe(true);
    const autoMembership = new AutoMembership();
    autoMembership.join(VOTERS[2]!, 4_100);
    const state = createLeader(replaced, { b: 4_100, d: 4_100 });
    expect(ids(autoMembership.plan(state, 4_100))).toEqual([['a', 'b', 'd'], ['c']]);
  });

  it('requests to join as a non-member, not as the leader or as a member with a leader', () => {
    const learner = createLeader({ voters: VOTERS.slice(1), learners: VOTERS.slice(0, 1) }, {});
    expect(shouldRequestJoin(learner, 10_000, 0)).toBe(false);
    learner.role = RaftRole.Follower;
    learner.leaderContactAtMs = 9_000;
    expect(shouldRequestJoin(learner, 10_000, 0)).toBe(false);
    const nonMember = createLeader({ voters: VOTERS.slice(1), learners: [] }, {});
    nonMember.role = RaftRole.Follower;
    nonMember.leaderContactAtMs = 9_000;
    expect(shouldRequestJoin(nonMember, 10_000, 0)).toBe(true);
  });

  it('never promotes a host without a disk to voter', () => {
    const now = 10_000;
    const observer = { ...otherHost, observer: true };
    const membership = { voters: VOTERS, learners: [observer] };
    const state = createLeader(membership, { b: now, c: 0, d: now });
    expect(new AutoMembership().plan(state, now)).toBeUndefined();
    const withSecondLearner = createLeader(
      { voters: VOTERS, learners: [observer, createMember('e')] },
      { b: now, c: 0, d: now, e: now },
    );
    expect(ids(new AutoMembership().plan(withSecondLearner, now))).toEqual([
      ['a', 'b', 'c', 'e'],
      ['d'],
    ]);
  });

  it('raises the number of voters to the target and keeps the other hosts as learners', () => {
    const autoMembership = new AutoMembership({ targetVoters: 5 });
    const spare = ['d', 'e', 'f'].map((id) => createMember(id));
    const ackTimes = { b: 9, c: 9, d: 9, e: 9, f: 9 };
    const state = createLeader({ voters: VOTERS, learners: spare }, ackTimes);
    expect(ids(autoMembership.plan(state, 10))).toEqual([
      ['a', 'b', 'c', 'd'],
      ['e', 'f'],
    ]);
    const full = { voters: [...VOTERS, ...spare.slice(0, 2)], learners: spare.slice(2) };
    expect(autoMembership.plan(createLeader(full, ackTimes), 10)).toBeUndefined();
  });

  // A change that is confirmed by too few voters is gone after the loss of their disks.
  it('delays confirmations for a limited time while a leader has too few voters', () => {
    const autoMembership = new AutoMembership({ targetVoters: 5 });
    const state = createLeader({ voters: VOTERS, learners: [] }, {});
    const delays = (nowMs: number, committedVoters: number) => {
      state.nowMs = nowMs;
      return autoMembership.delaysConfirmation(state, committedVoters);
    };
    expect(delays(0, 5)).toBe(false);
    expect(delays(10_000, 3)).toBe(true);
    expect(delays(11_999, 4)).toBe(true);
    expect(delays(12_000, 4)).toBe(false);
    expect(delays(13_000, 5)).toBe(false);
    expect(delays(14_000, 4)).toBe(true);
    state.role = RaftRole.Follower;
    expect(delays(15_000, 4)).toBe(false);
    state.role = RaftRole.Leader;
    expect(delays(16_500, 4)).toBe(true);
  });

  // Guards against a voter that is gone for good and counts in every later quorum.
  it('leaves no voter at the address of a promoted host while voters are below the target', () => {
    const autoMembership = new AutoMembership({ targetVoters: 5 });
    let membership: Membership | undefined = {
      voters: [...VOTERS, createMember('d')],
      learners: [createMember('c-new', 'c')],
    };
    for (let change = 0; change < 4 && membership; change += 1) {
      const state = createLeader(membership, { b: 9, c: 0, d: 9, 'c-new': 9 });
      const next = autoMembership.plan(state, 10);
      if (!next) break;
      membership = next;
    }
    expect(ids(membership)).toEqual([['a', 'b', 'd', 'c-new'], []]);
  });

  it('plans no change before the last membership change is committed', () => {
    const autoMembership = new AutoMembership();
    autoMembership.join(joiningHost, 0);
    const state = createLeader({ voters: VOTERS, learners: [] }, { b: 0, c: 0 });
    state.log.append({
      index: 2,
      term: 1,
      command: {
        type: CommandType.Membership,
        membership: { voters: VOTERS, learners: [otherHost] },
        actor: 'system',
        atMs: 0,
      },
    });
    expect(autoMembership.plan(state, 0)).toBeUndefined();
  });
});
