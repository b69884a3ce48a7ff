import { describe, expect, it } from 'vitest';
import { CommandType } from '../Commands.js';
import { committableIndex, notePause } from './Copies.js';
import { createFollower, RaftState } from './RaftState.js';
import { RaftRole } from './Types.js';

/** Leader `a` whose own log is durable up to 9, with match index and acknowledgement of others. */
function createLeader(
  hostsLostAtOnce: number,
  others: Readonly<Record<string, readonly [matchIndex: number, ackedAtMs: number]>>,
) {
  const voters = ['a', ...Object.keys(others)].map((id) => ({ id, address: id, port: 1 }));
  const state = new RaftState({
    id: 'a',
    instanceId: 'a',
    hardState: { term: 1, votedFor: 'a' },
    snapshot: {
      index: 0,
      term: 0,
      membership: { voters, learners: [] },
      bytes: new Uint8Array(),
    },
    entries: [{ index: 1, term: 1, command: { type: CommandType.Noop } }],
    hostsLostAtOnce,
  });
  state.role = RaftRole.Leader;
  state.persistedIndex = 9;
  Object.entries(others).forEach(([id, [matchIndex, ackedAtMs]]) =>
    state.followers.set(id, { ...createFollower(10, ackedAtMs), matchIndex }),
  );
  state.nowMs = 5_000;
  return state;
}

describe('number of copies before a change is committed', () => {
  // Two of three disks may be lost: a change that only those two have is gone.
  it('is all three voters if two disks may be lost', () => {
    expect(committableIndex(createLeader(2, { b: [9, 4_900], c: [7, 4_900] }))).toBe(7);
  });

  it('is a majority if one of three disks may be lost', () => {
    expect(committableIndex(createLeader(1, { b: [9, 4_900], c: [7, 4_900] }))).toBe(9);
  });

  it('is all reachable voters while one has been silent for two election timeouts', () => {
    expect(committableIndex(createLeader(2, { b: [8, 4_900], c: [7, 3_700] }))).toBe(8);
  });

  it('is never fewer than a majority', () => {
    expect(committableIndex(createLeader(2, { b: [7, 3_000], c: [6, 3_000] }))).toBe(7);
  });

  // After a pause, the acknowledgement that is read first would count as that of all.
  it('includes voters whose silence fell into a pause of the leader', () => {
    const state = createLeader(2, { b: [9, 8_000], c: [7, 4_900] });
    notePause(state, 8_000);
    state.nowMs = 8_000;
    expect(committableIndex(state)).toBe(7);
  });
});

/** Leader `a` whose uncommitted entry 2 adds `e` to the voters `a` to `d`, of which two may be lost. */
function createChangingLeader(match: Readonly<Record<string, readonly [number, number]>>) {
  const state = createLeader(2, { b: [1, 4_900], c: [1, 4_900], d: [1, 4_900] });
  const { voters } = state.log.membership;
  const added = { id: 'e', address: 'e', port: 1 };
  state.log.append({
    index: 2,
    term: 1,
    command: {
      type: CommandType.Membership,
      membership: { voters: [...voters, added], learners: [] },
      actor: 'system',
      atMs: 0,
    },
  });
  state.persistedIndex = 2;
  state.commitIndex = 1;
  Object.entries(match).forEach(([id, [matchIndex, ackedAtMs]]) =>
    state.followers.set(id, { ...createFollower(3, ackedAtMs), matchIndex }),
  );
  return state;
}

// Earlier voters without the change could elect a leader of their own after the loss of the others'
// disks (KNOWN-RED 10, issue 56).
describe('a change of the membership', () => {
  it('is not committed by new voters in place of the earlier ones', () => {
    const match = { b: [2, 4_900], c: [1, 4_900], d: [1, 4_900], e: [2, 4_900] } as const;
    expect(committableIndex(createChangingLeader(match))).toBe(1);
  });

  it('is committed by one more earlier voter than disks may be lost', () => {
    const match = { b: [2, 4_900], c: [2, 4_900], d: [1, 4_900], e: [1, 4_900] } as const;
    expect(committableIndex(createChangingLeader(match))).toBe(2);
  });

  it('is committed by the reachable earlier voters if those are fewer for long', () => {
    const match = { b: [2, 4_900], c: [1, 1_000], d: [1, 1_000], e: [2, 4_900] } as const;
    const state = createChangingLeader(match);
    expect(committableIndex(state)).toBe(1);
    state.followers.get('b')!.ackedAtMs = 11_001;
    state.nowMs = 11_001;
    expect(committableIndex(state)).toBe(2);
  });

  // The removal of an emptied voter waited 10 s for that voter, so that no leader lasted.
  it('does not wait for a voter that it removes', () => {
    const state = createLeader(1, { b: [1, 4_900] });
    const membership = { voters: [state.log.membership.voters[0]!], learners: [] };
    const command = { type: CommandType.Membership, membership, actor: 'system', atMs: 0 } as const;
    state.log.append({ index: 2, term: 1, command });
    state.followers.clear();
    Object.assign(state, { persistedIndex: 2, commitIndex: 1, silenceFromMs: state.nowMs });
    expect(committableIndex(state)).toBe(2);
  });
});
