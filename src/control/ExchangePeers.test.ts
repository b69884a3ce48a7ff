import { describe, expect, it } from 'vitest';
import { ExchangePeers, linkedMembers, OBSERVER_PROTOCOL } from './ExchangePeers.js';
import { RaftLog } from './raft/RaftLog.js';
import type { Member } from './raft/Types.js';

function createMember(id: string, observer = false): Member {
  return { id, address: id, port: 1, ...(observer && { observer }) };
}

/** Two voters, a learner with a disk and two observers. */
function createLog(): RaftLog {
  const voters = ['v-1', 'v-2'].map((id) => createMember(id));
  const learners = [createMember('l-1'), createMember('o-1', true), createMember('o-2', true)];
  const membership = { voters, learners };
  return new RaftLog({ index: 0, term: 0, membership, bytes: new Uint8Array() }, []);
}

const idsOf = (members: readonly Member[]) => members.map(({ id }) => id);

describe('the control hosts that exchange announcements', () => {
  it.each([
    ['a voter', 'v-1', false, ['v-2', 'l-1']],
    ['a learner with a disk', 'l-1', false, ['v-1', 'v-2']],
    ['an observer', 'o-1', true, []],
  ])('leave out observers: %s', (name, selfId, isObserver, expected) => {
    const peers = new ExchangePeers({ selfId, log: createLog(), isObserver });
    expect(peers.ids()).toEqual(expected);
  });

  // Guards against an observer of an earlier version that answers departures by what it was not sent.
  it('include observers of earlier versions', () => {
    const peers = new ExchangePeers({ selfId: 'v-1', log: createLog() });
    peers.onControlLink('o-1', OBSERVER_PROTOCOL - 1);
    expect(peers.ids()).toEqual(['v-2', 'l-1', 'o-1']);
    peers.onControlLink('o-1', OBSERVER_PROTOCOL);
    expect(peers.includes('o-1')).toBe(false);
  });
});

describe('the links of control hosts', () => {
  it.each([
    ['a voter has them to all', 'v-1', false, ['v-2', 'l-1', 'o-1', 'o-2']],
    ['a learner with a disk has none to observers', 'l-1', false, ['v-1', 'v-2']],
    ['an observer has them to voters', 'o-1', true, ['v-1', 'v-2']],
    ['a host that joins has none to observers', 'x', false, ['v-1', 'v-2', 'l-1']],
    ['an observer that joins has them to voters', 'x', true, ['v-1', 'v-2']],
  ])('%s', (name, selfId, isObserver, expected) => {
    expect(idsOf(linkedMembers(createLog(), { selfId, isObserver }))).toEqual(expected);
  });
});
