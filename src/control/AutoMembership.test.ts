import { describe, expect, it } from 'vitest';
import { shouldRequestJoin, AutoMembership } from './AutoMembership.js';
import { CommandType } from './Commands.js';
import { RaftState } from './raft/RaftState.js';
import { RaftRole, type Member, type Membership } from './raft/Types.js';

const SILENCE_MS = 1_800;

function createMember(id: string, address = id): Member {
  return { id, address, port: 7_000 };
}

const VOTERS = ['a', 'b', 'c'].map((id) => createMember(id));

/** Leader `a` that hears the named members at a time. */
function createLeader(membership: Membership, heard: Record<string, number>) {
  const state = new RaftState({
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
      nextIndex: 2,
      matchIndex: 1,
      ackedAtMs: heard[member.id] ?? 0,
      ackedRound: 0,
      snapshotOffsetBytes: -1,
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
  const joiner = createMember('c-new', 'c');
  const elsewhere = createMember('d', 'd');

  it('admits a host without state as a learner, never as a voter', () => {
    const plans = new AutoMembership();
    plans.join(joiner, 0);
    const state = createLeader({ voters: VOTERS, learners: [] }, { b: 0, c: 0 });
    expect(ids(plans.plan(state, 0))).toEqual([['a', 'b', 'c'], ['c-new']]);
  });

  it('removes the voter whose address a caught-up learner has, then promotes the learner', () => {
    const plans = new AutoMembership();
    const full = createLeader({ voters: VOTERS, learners: [joiner] }, { b: 9, c: 0, 'c-new': 9 });
    expect(ids(plans.plan(full, 10))).toEqual([['a', 'b'], ['c-new']]);
    const rest = { voters: VOTERS.slice(0, 2), learners: [joiner] };
    const reduced = createLeader(rest, { b: 9, 'c-new': 9 });
    expect(ids(plans.plan(reduced, 10))).toEqual([['a', 'b', 'c-new'], []]);
  });

  it('goes on with a replacement that an earlier leader began', () => {
    const rest = { voters: VOTERS.slice(0, 2), learners: [joiner] };
    const state = createLeader(rest, { b: 9, 'c-new': 9 });
    expect(ids(new AutoMembership().plan(state, 10))).toEqual([['a', 'b', 'c-new'], []]);
  });

  it('replaces a voter at another address only after a long silence', () => {
    const plans = new AutoMembership({ replaceAfterMs: SILENCE_MS });
    const now = 10_000;
    const membership = { voters: VOTERS, learners: [elsewhere] };
    const brief = createLeader(membership, { b: now, c: now - SILENCE_MS, d: now });
    expect(plans.plan(brief, now)).toBeUndefined();
    const long = createLeader(membership, { b: now, c: now - SILENCE_MS - 1, d: now });
    expect(ids(plans.plan(long, now))).toEqual([['a', 'b'], ['d']]);
  });

  it('replaces nobody by a learner that trails or is silent', () => {
    const now = 10_000;
    const membership = { voters: VOTERS, learners: [elsewhere] };
    const silent = createLeader(membership, { b: now, c: 0, d: now - 1_000 });
    expect(new AutoMembership().plan(silent, now)).toBeUndefined();
    const trailing = createLeader(membership, { b: now, c: 0, d: now });
    trailing.followers.get('d')!.matchIndex = 0;
    for (let index = 2; index < 20; index += 1) {
      trailing.log.append({ index, term: 1, command: { type: CommandType.Noop } });
    }
    expect(new AutoMembership().plan(trailing, now)).toBeUndefined();
  });

  it('admits a voter again that was replaced while it was cut off', () => {
    const replaced = { voters: [...VOTERS.slice(0, 2), elsewhere], learners: [] };
    // Its own log still names it as a voter; only the silence of every leader tells otherwise.
    const own = createLeader({ voters: VOTERS, learners: [] }, {});
    own.role = RaftRole.Follower;
    own.leaderContactAtMs = 1_000;
    expect(shouldRequestJoin(own, 3_900, 0)).toBe(false);
    // A host that has just started waits for a leader first.
    expect(shouldRequestJoin(own, 4_100, 2_000)).toBe(false);
    expect(shouldRequestJoin(own, 4_100, 0)).toBe(true);
    const plans = new AutoMembership();
    plans.join(VOTERS[2]!, 4_100);
    const state = createLeader(replaced, { b: 4_100, d: 4_100 });
    expect(ids(plans.plan(state, 4_100))).toEqual([['a', 'b', 'd'], ['c']]);
  });

  it('asks for nothing as a member that hears a leader, or as the leader', () => {
    const learner = createLeader({ voters: VOTERS.slice(1), learners: VOTERS.slice(0, 1) }, {});
    expect(shouldRequestJoin(learner, 10_000, 0)).toBe(false);
    learner.role = RaftRole.Follower;
    learner.leaderContactAtMs = 9_000;
    expect(shouldRequestJoin(learner, 10_000, 0)).toBe(false);
    const stranger = createLeader({ voters: VOTERS.slice(1), learners: [] }, {});
    stranger.role = RaftRole.Follower;
    stranger.leaderContactAtMs = 9_000;
    expect(shouldRequestJoin(stranger, 10_000, 0)).toBe(true);
  });

  it('never makes a voter of a host without a disk', () => {
    const now = 10_000;
    const observer = { ...elsewhere, observer: true };
    const membership = { voters: VOTERS, learners: [observer] };
    const state = createLeader(membership, { b: now, c: 0, d: now });
    expect(new AutoMembership().plan(state, now)).toBeUndefined();
    const both = createLeader(
      { voters: VOTERS, learners: [observer, createMember('e')] },
      { b: now, c: 0, d: now, e: now },
    );
    expect(ids(new AutoMembership().plan(both, now))).toEqual([
      ['a', 'b'],
      ['d', 'e'],
    ]);
  });

  it('raises the voters to the wanted number and keeps the others as learners', () => {
    const plans = new AutoMembership({ targetVoters: 5 });
    const spare = ['d', 'e', 'f'].map((id) => createMember(id));
    const heard = { b: 9, c: 9, d: 9, e: 9, f: 9 };
    const state = createLeader({ voters: VOTERS, learners: spare }, heard);
    expect(ids(plans.plan(state, 10))).toEqual([
      ['a', 'b', 'c', 'd'],
      ['e', 'f'],
    ]);
    const full = { voters: [...VOTERS, ...spare.slice(0, 2)], learners: spare.slice(2) };
    expect(plans.plan(createLeader(full, heard), 10)).toBeUndefined();
  });

  it('changes one member at a time, and only when the last change is committed', () => {
    const plans = new AutoMembership();
    plans.join(joiner, 0);
    const state = createLeader({ voters: VOTERS, learners: [] }, { b: 0, c: 0 });
    state.log.append({
      index: 2,
      term: 1,
      command: {
        type: CommandType.Membership,
        membership: { voters: VOTERS, learners: [elsewhere] },
        actor: 'system',
        atMs: 0,
      },
    });
    expect(plans.plan(state, 0)).toBeUndefined();
  });
});
