import { describe, expect, it } from 'vitest';
import { CommandType } from '../Commands.js';
import { isCaughtUp } from './CaughtUp.js';
import { RaftNode } from './RaftNode.js';
import { DEFAULT_RAFT_TIMING } from './RaftState.js';
import { RaftEventType, RaftMessageType, type LogEntry, type Member } from './Types.js';

const { heartbeatMs, electionTimeoutMs } = DEFAULT_RAFT_TIMING;

function createMember(id: string): Member {
  return { id, address: id, port: 7_000 };
}

function createEntry(index: number, term = 1): LogEntry {
  return { index, term, command: { type: CommandType.Noop } };
}

/** Follower with five entries on disk, none of which it has applied since its start. */
function createFollower() {
  const node = new RaftNode({
    id: 'a',
    instanceId: 'a',
    hardState: { term: 1, votedFor: null },
    snapshot: {
      index: 0,
      term: 0,
      membership: { voters: ['a', 'b', 'c'].map(createMember), learners: [] },
      bytes: new Uint8Array(),
    },
    entries: [1, 2, 3, 4, 5].map((index) => createEntry(index)),
  });
  let nowMs = 10_000;
  const append = (prevIndex: number, commitIndex: number, changes: object = {}) => {
    node.reduce({
      type: RaftEventType.Message,
      nowMs,
      message: {
        type: RaftMessageType.Append,
        from: 'b',
        fromInstanceId: 'b',
        term: 1,
        prevIndex,
        prevTerm: prevIndex === 0 ? 0 : 1,
        entries: [],
        commitIndex,
        round: 1,
        ...changes,
      },
    });
  };
  /** Heartbeats of the leader for a span, with the same indexes. */
  const hear = (spanMs: number, prevIndex: number, commitIndex: number) => {
    for (let passedMs = 0; passedMs < spanMs; passedMs += heartbeatMs / 2) {
      nowMs += heartbeatMs / 2;
      append(prevIndex, commitIndex);
    }
  };
  const wait = (spanMs: number) => {
    nowMs += spanMs;
  };
  return { append, hear, wait, caughtUp: () => isCaughtUp(node.state, nowMs) };
}

describe('isCaughtUp', () => {
  // Guards against a restarted host that takes what it has replayed for all that is committed.
  it('is false until a follower has applied the commit index that its leader sent', () => {
    const { append, hear, caughtUp } = createFollower();
    hear(500, 5, 8);
    expect(caughtUp()).toBe(false);
    append(5, 8, { entries: [6, 7].map((index) => createEntry(index)) });
    expect(caughtUp()).toBe(false);
    append(7, 9, { entries: [createEntry(8)] });
    expect(caughtUp()).toBe(true);
  });

  // Guards against a host that trusts what was sent before it was paused or cut off.
  it('counts what arrives in the first heartbeat interval after a silence as old', () => {
    const { append, hear, wait, caughtUp } = createFollower();
    hear(500, 5, 5);
    expect(caughtUp()).toBe(true);
    wait(electionTimeoutMs);
    expect(caughtUp()).toBe(false);
    append(5, 5);
    expect(caughtUp()).toBe(false);
    wait(heartbeatMs / 2);
    append(5, 7);
    hear(500, 5, 7);
    expect(caughtUp()).toBe(false);
    append(5, 7, { entries: [6, 7].map((index) => createEntry(index)) });
    expect(caughtUp()).toBe(true);
  });

  // Guards against the commit index of a new leader, which is old until it commits an entry.
  it('is false under a new leader until an entry of its term is applied', () => {
    const { append, hear, caughtUp } = createFollower();
    hear(500, 5, 5);
    append(5, 5, { from: 'c', fromInstanceId: 'c', term: 2 });
    expect(caughtUp()).toBe(false);
    const entries = [createEntry(6, 2)];
    append(5, 6, { from: 'c', fromInstanceId: 'c', term: 2, entries });
    expect(caughtUp()).toBe(true);
  });

  // Guards against a leader of a former term, and one that has just been elected.
  it('is true at a leader once it has committed in its term, while a majority replies', () => {
    const node = new RaftNode({
      id: 'a',
      instanceId: 'a',
      hardState: { term: 0, votedFor: null },
      snapshot: {
        index: 0,
        term: 0,
        membership: { voters: [createMember('a')], learners: [] },
        bytes: new Uint8Array(),
      },
      entries: [],
    });
    [1, 200, 400, 600, 800, 1_000].forEach((nowMs) =>
      node.reduce({ type: RaftEventType.Tick, nowMs, random: 0 }),
    );
    expect(node.isLeader).toBe(true);
    expect(isCaughtUp(node.state, 1_000)).toBe(false);
    node.reduce({ type: RaftEventType.Persisted, nowMs: 1_010, index: 1, generation: 0 });
    expect(isCaughtUp(node.state, 1_010)).toBe(true);
    node.reduce({ type: RaftEventType.Tick, nowMs: 5_000, random: 0 });
    expect(isCaughtUp(node.state, 5_000)).toBe(false);
  });
});
