import { describe, expect, it } from 'vitest';
import { ControlCluster } from '../../fuzz/ControlCluster.js';
import {
  ControlMessageType,
  EntryHostUpdates,
  type ControlToEntryMessage,
  type EntryToControlMessage,
} from '../common/Messages.js';
import { createBackend, createEntryHost } from '../gateway/fixtures.js';
import { BackendState } from '../common/backends/Types.js';
import type { Rollout } from '../common/rollouts/Types.js';
import { createTable } from '../common/routing/fixtures.js';
import { AdminRequestType, ControlEventType } from './Types.js';

/** Types of messages that protocol version 1 has for entry hosts of routed services. */
const VERSION_1_TYPES: readonly ControlMessageType[] = [
  ControlMessageType.Pong,
  ControlMessageType.EntryHosts,
  ControlMessageType.Routing,
  ControlMessageType.PackedRouting,
  ControlMessageType.Backends,
  ControlMessageType.CrashReport,
  ControlMessageType.LimitReport,
];

/** Messages as a gateway of version 1 sends them, with the fields that it has. */
const VERSION_1_PING: EntryToControlMessage = {
  type: ControlMessageType.Ping,
  pingId: 1,
  appliedIndex: 0,
  subscribe: false,
  stopping: false,
  cutOff: false,
  membershipIndex: -1,
};

/** Control host with one gateway of version 1 (session 1) and one of this version (session 2). */
function createMixed() {
  const sent: { sessionId: number; message: ControlToEntryMessage }[] = [];
  const cluster = new ControlCluster({
    sendSession: (sessionId, message) => sent.push({ sessionId, message }),
  });
  const host = cluster.leader();
  const receive = (sessionId: number, message: EntryToControlMessage) =>
    host.handle({ type: ControlEventType.SessionMessage, sessionId, message });
  receive(1, { type: ControlMessageType.Hello, entryHost: createEntryHost('old') });
  receive(1, VERSION_1_PING);
  receive(1, {
    type: ControlMessageType.Watch,
    routingIndex: 0,
    departures: [],
    acceptsPacked: true,
  });
  receive(2, {
    type: ControlMessageType.Hello,
    entryHost: createEntryHost('new'),
    entryHostUpdates: EntryHostUpdates.None,
  });
  receive(2, {
    type: ControlMessageType.Watch,
    routingIndex: 0,
    departures: [],
    acceptsPacked: true,
    acceptsCompressed: true,
    entryHostUpdates: EntryHostUpdates.Changes,
  });
  const messagesTo = (sessionId: number) =>
    sent.filter((item) => item.sessionId === sessionId).map(({ message }) => message);
  return { cluster, host, receive, messagesTo };
}

describe('an entry host of protocol version 1 beside one of this version', () => {
  it('receives whole lists of entry hosts, and only messages that it knows', () => {
    const { cluster, host, receive, messagesTo } = createMixed();
    host.announce(createBackend('b-1'), () => {});
    cluster.run(200);
    receive(1, VERSION_1_PING);
    receive(2, { ...VERSION_1_PING, cutOff: true });
    cluster.run(200);
    const types = new Set(messagesTo(1).map(({ type }) => type));
    expect([...types].filter((type) => !VERSION_1_TYPES.includes(type))).toEqual([]);
    const lists = messagesTo(1).flatMap((message) =>
      message.type === ControlMessageType.EntryHosts ? [message.entryHosts] : [],
    );
    expect(lists.at(-1)!.map(({ id, cutOff }) => ({ id, cutOff }))).toContainEqual({
      id: 'new',
      cutOff: true,
    });
    expect(types.has(ControlMessageType.Backends)).toBe(true);
  });

  it('receives only messages that it knows while a rollout runs and evidence arrives', () => {
    const { cluster, host, receive, messagesTo } = createMixed();
    const edit = { table: createTable() };
    const routing = { changeId: 'change-1', baseVersion: 0, version: 1, edit };
    cluster.admin(host, { type: AdminRequestType.ChangeRouting, ...routing });
    const order = { service: 'alpha', toVersion: 'v2', durationMs: 2_000 };
    const outcome = cluster.admin(host, { type: AdminRequestType.StartRollout, ...order });
    const { orderIndex } = outcome!.body as Rollout;
    receive(2, {
      type: ControlMessageType.RolloutEvidence,
      gatewayId: 'new',
      startId: 'first',
      sequence: 1,
      service: 'alpha',
      orderIndex,
      routingIndex: orderIndex,
      rows: [],
    });
    cluster.run(2_500);
    const types = new Set(messagesTo(1).map(({ type }) => type));
    expect([...types].filter((type) => !VERSION_1_TYPES.includes(type))).toEqual([]);
    expect(types.has(ControlMessageType.Routing)).toBe(true);
  });

  it('gets an answer to every heartbeat, as its version expects', () => {
    const { receive, messagesTo } = createMixed();
    const count = () => messagesTo(1).filter(({ type }) => type === ControlMessageType.Pong).length;
    const before = count();
    for (let index = 0; index < 5; index += 1) receive(1, VERSION_1_PING);
    expect(count() - before).toBe(5);
  });

  it('acknowledges departures, which wait for it', () => {
    const { cluster, host, receive, messagesTo } = createMixed();
    host.announce(createBackend('b-1'), () => {});
    cluster.run(200);
    receive(1, VERSION_1_PING);
    receive(2, VERSION_1_PING);
    let confirmed: boolean | undefined;
    host.announce(createBackend('b-1', { state: BackendState.Draining, sequence: 2 }), (result) => {
      confirmed = result;
    });
    cluster.run(100);
    expect(confirmed).toBeUndefined();
    [1, 2].forEach((sessionId) => {
      const batch = messagesTo(sessionId).find(
        (message) => message.type === ControlMessageType.Backends && message.batchId > 0,
      );
      const batchId = batch?.type === ControlMessageType.Backends ? batch.batchId : 0;
      receive(sessionId, { type: ControlMessageType.BackendsAck, batchId });
    });
    cluster.run(50);
    expect(confirmed).toBe(true);
  });

  it('does not keep the control host from the relays of one of version 1', () => {
    const { cluster, host } = createMixed();
    const peers = [...cluster.hosts.keys()].filter((id) => id !== host.options.id);
    peers.forEach((from) =>
      host.handle({
        type: ControlEventType.ControlPeerMessage,
        message: { type: ControlMessageType.BackendRelayAck, from, batchId: 1 },
      }),
    );
    host.handle({
      type: ControlEventType.ControlPeerMessage,
      message: {
        type: ControlMessageType.BackendRelay,
        from: peers[0]!,
        batchId: 4,
        records: [createBackend('b-2')],
      },
    });
    expect(host.reducer.backends.registry.get('b-2')).toBeDefined();
  });
});
