import { describe, expect, it } from 'vitest';
import { RaftNode } from './RaftNode.js';
import {
  RaftEffectType,
  RaftEventType,
  RaftMessageType,
  type Member,
  type RaftEffect,
} from './Types.js';

function createMember(id: string): Member {
  return { id, address: id, port: 7_000 };
}

function createNode(voters: readonly string[], learners: readonly string[]) {
  const membership = { voters: voters.map(createMember), learners: learners.map(createMember) };
  return new RaftNode({
    id: voters[0]!,
    instanceId: 'instance',
    hardState: { term: 0, votedFor: null },
    snapshot: { index: 0, term: 0, membership, bytes: new Uint8Array() },
    entries: [],
  });
}

/** Whether each append of a list of effects may be sent before earlier writes are durable. */
function earlyAppends(effects: readonly RaftEffect[]): boolean[] {
  return effects.flatMap((effect) =>
    effect.type === RaftEffectType.Send && effect.message.type === RaftMessageType.Append
      ? [effect.early]
      : [],
  );
}

describe('Replication', () => {
  // A single voter that loses power right after its election may use its term twice; a learner that
  // holds an entry of the first use then keeps it in place of the committed one.
  it('sends no entry of a single voter before its term is durable', () => {
    const node = createNode(['a'], ['b']);
    node.reduce({ type: RaftEventType.Tick, nowMs: 1, random: 0 });
    const effects = node.reduce({ type: RaftEventType.Tick, nowMs: 1_000, random: 0 });
    expect(node.isLeader).toBe(true);
    expect(earlyAppends(effects)).toEqual([false]);
  });

  it('sends the entries of an elected leader before they are durable on it', () => {
    const node = createNode(['a', 'b', 'c'], []);
    node.reduce({ type: RaftEventType.Tick, nowMs: 1, random: 0 });
    node.reduce({ type: RaftEventType.Tick, nowMs: 1_000, random: 0 });
    const reply = { from: 'b', fromInstanceId: 'b', term: 1, granted: true } as const;
    const receive = (type: RaftMessageType.PreVoteReply | RaftMessageType.VoteReply) =>
      node.reduce({ type: RaftEventType.Message, nowMs: 1_001, message: { ...reply, type } });
    receive(RaftMessageType.PreVoteReply);
    const effects = receive(RaftMessageType.VoteReply);
    expect(node.isLeader).toBe(true);
    expect(earlyAppends(effects)).toEqual([true, true]);
  });
});
