import { describe, expect, it } from 'vitest';
import { MAX_MESSAGE_BYTES } from '../../common/Constants.js';
import { encodeMessage } from '../../runtime/MessageCodec.js';
import { CommandType } from '../Commands.js';
import { RaftNode } from './RaftNode.js';
import {
  RaftEffectType,
  RaftEventType,
  RaftMessageType,
  type AppendRequest,
  type LogEntry,
  type RaftEffect,
} from './Types.js';

/** About the size of a change that replaces a routing of 350 routes. */
const ENTRY_BYTES = 112 * 1024;
const ELECTION_MS = 1_000;

function createEntry(index: number, entryBytes = ENTRY_BYTES): LogEntry {
  const value = 'x'.repeat(entryBytes);
  const command = {
    type: CommandType.Change,
    changeId: `change-${index}`,
    baseRevision: 0,
  } as const;
  const where = { path: '/teams/otaru', value, actor: 'operator', atMs: 0 };
  return { index, term: 1, command: { ...command, ...where } };
}

/** Leader with a log of large entries and one follower, `b`, whose log is empty. */
function createLeader(entries: readonly LogEntry[]) {
  const voters = ['a', 'b', 'c'].map((id) => ({ id, address: id, port: 7_000 }));
  const node = new RaftNode({
    id: 'a',
    instanceId: 'a',
    hardState: { term: 1, votedFor: null },
    snapshot: { index: 0, term: 0, membership: { voters, learners: [] }, bytes: new Uint8Array() },
    entries,
  });
  let nowMs = ELECTION_MS;
  node.reduce({ type: RaftEventType.Tick, nowMs: 1, random: 0 });
  node.reduce({ type: RaftEventType.Tick, nowMs, random: 0 });
  const granted = { from: 'c', fromInstanceId: 'c', term: 2, granted: true } as const;
  [RaftMessageType.PreVoteReply, RaftMessageType.VoteReply].forEach((type) =>
    node.reduce({
      type: RaftEventType.Message,
      nowMs,
      message: { ...granted, type: type as RaftMessageType.VoteReply },
    }),
  );
  const appendsTo = (effects: readonly RaftEffect[]) =>
    effects.flatMap((effect) =>
      effect.type === RaftEffectType.Send &&
      effect.to === 'b' &&
      effect.message.type === RaftMessageType.Append
        ? [effect.message]
        : [],
    );
  /** Appends to the follower that the leader sends on a reply. */
  const reply = (matchIndex: number, success: boolean, from = 'b'): AppendRequest[] =>
    appendsTo(
      node.reduce({
        type: RaftEventType.Message,
        nowMs,
        message: {
          type: RaftMessageType.AppendReply,
          from,
          fromInstanceId: from,
          term: 2,
          success,
          matchIndex,
          round: 0,
        },
      }),
    );
  /** Appends of the next heartbeats, to which only the other voter replies. */
  const beat = (count: number): AppendRequest[] =>
    Array.from({ length: count }).flatMap(() => {
      nowMs += node.state.timing.heartbeatMs;
      reply(0, true, 'c');
      return appendsTo(node.reduce({ type: RaftEventType.Tick, nowMs, random: 0 }));
    });
  return { node, reply, beat };
}

function largestMessage(appends: readonly AppendRequest[]): number {
  return Math.max(...appends.map((append) => encodeMessage(append).length));
}

describe('replication of large entries', () => {
  const entries = Array.from({ length: 150 }, (unused, index) => createEntry(index + 1));

  // Guards against a follower that never catches up, as its link closes on each message to it.
  it('keeps every message within the size that a link accepts until the follower has all', () => {
    const { node, reply } = createLeader(entries);
    const sent: AppendRequest[] = [];
    const pending = reply(0, false);
    while (pending.length > 0) {
      const append = pending.shift()!;
      sent.push(append);
      pending.push(...reply(append.prevIndex + append.entries.length, true));
    }
    const received = sent.flatMap((append) => append.entries.map((entry) => entry.index));
    expect([...new Set(received)]).toHaveLength(node.state.log.lastIndex);
    expect(largestMessage(sent)).toBeLessThan(MAX_MESSAGE_BYTES);
  });

  // Guards against a link that closes on its unsent bytes, and heartbeats that are late behind them.
  it('sends only heartbeats to a follower that does not acknowledge what was sent', () => {
    const { reply, beat } = createLeader(entries);
    const sent = [...reply(0, false), ...beat(20)];
    const sentBytes = sent.reduce((sum, append) => sum + encodeMessage(append).length, 0);
    expect(sentBytes).toBeLessThan(MAX_MESSAGE_BYTES);
    expect(sent.at(-1)?.entries).toEqual([]);
    // The messages were lost with their link: the rejection of a heartbeat starts again.
    expect(reply(0, false)[0]?.entries[0]?.index).toBe(1);
  });

  it('sends an entry that is larger than the limit of a message alone', () => {
    const { reply } = createLeader([createEntry(1), createEntry(2, 3_000_000), createEntry(3)]);
    const [first] = reply(0, false);
    expect(first?.entries.map((entry) => entry.index)).toEqual([1]);
    const [second] = reply(1, true);
    expect(second?.entries.map((entry) => entry.index)).toEqual([2]);
  });
});
