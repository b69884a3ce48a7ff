import { describe, expect, it } from 'vitest';
import { BackendState } from '../common/backends/Types.js';
import { ControlMessageType, type ControlToEntryMessage } from '../common/Messages.js';
import { createBackend, createEntryHost } from '../gateway/fixtures.js';
import { EntrySessions } from './EntrySessions.js';
import { RaftState } from './raft/RaftState.js';
import { RegistryFlow } from './RegistryFlow.js';
import { ControlEffectType, type ControlEffect } from './Types.js';

const VOTERS = ['a', 'b', 'c'].map((id) => ({ id, address: id, port: 1 }));

/** Control host `a` as a follower that hears its leader, with one entry host per session. */
function createHost(sessionIds: readonly number[] = [1, 2]) {
  const raft = new RaftState({
    id: 'a',
    instanceId: 'instance-a',
    hardState: { term: 1, votedFor: null },
    snapshot: {
      index: 0,
      term: 0,
      membership: { voters: VOTERS, learners: [] },
      bytes: new Uint8Array(),
    },
    entries: [],
  });
  raft.leaderContactAtMs = 0;
  const sessions = new EntrySessions();
  const effects: ControlEffect[] = [];
  const flow = new RegistryFlow({ raft, sessions, emit: (effect) => effects.push(effect) });
  flow.begin(0);
  sessionIds.forEach((id) => {
    sessions.hello(id, createEntryHost(`e-${id}`), 0);
    flow.watch(id);
  });
  effects.length = 0;
  const pushes = () =>
    effects.flatMap((effect) =>
      effect.type === ControlEffectType.SendSession
        ? [{ sessionId: effect.sessionId, message: effect.message }]
        : [],
    );
  const batchId = (message: ControlToEntryMessage) =>
    message.type === ControlMessageType.Backends ? message.batchId : -1;
  return {
    raft,
    flow,
    effects,
    lineOf: (event: string) =>
      effects.flatMap((effect) =>
        effect.type === ControlEffectType.Log && effect.event === event ? [effect.fields] : [],
      )[0],
    pushes,
    answers: () =>
      effects.flatMap((effect) =>
        effect.type === ControlEffectType.AnswerAnnouncement
          ? [{ requestId: effect.requestId, confirmed: effect.confirmed }]
          : [],
      ),
    relayed: () =>
      effects.flatMap((effect) =>
        effect.type === ControlEffectType.SendControl ? [effect.to] : [],
      ),
    acknowledge: (sessionId: number) => {
      const push = pushes().find((sent) => sent.sessionId === sessionId)!;
      flow.acknowledge(sessionId, batchId(push.message));
    },
    confirmFrom: (from: string) => {
      const push = pushes()[0]!;
      flow.betweenControl({
        type: ControlMessageType.BackendRelayAck,
        from,
        batchId: batchId(push.message),
      });
    },
  };
}

const READY = createBackend('b-1');
const DRAINING = createBackend('b-1', { state: BackendState.Draining, sequence: 2 });

describe('the log line of each decision', () => {
  it('tells what an announcement changed', () => {
    const host = createHost();
    host.flow.announce('r-1', READY);
    expect(host.lineOf('backend_changed')).toMatchObject({
      backend: 'b-1',
      service: READY.service,
      zone: READY.availabilityZone,
      state: BackendState.Ready,
      sequence: 1,
      bornMs: READY.bornMs,
    });
  });

  it('tells who knew of a departure that was confirmed, and of one that was not', () => {
    const known = createHost();
    known.flow.announce('r-1', DRAINING);
    known.confirmFrom('b');
    known.acknowledge(1);
    known.acknowledge(2);
    expect(known.lineOf('backend_departure')).toEqual({
      backend: 'b-1',
      confirmed: true,
      controlHosts: 2,
      entryHostsMissing: 0,
    });
    const unknown = createHost();
    unknown.flow.announce('r-1', DRAINING);
    unknown.flow.begin(700);
    unknown.flow.tick();
    expect(unknown.lineOf('backend_departure')).toMatchObject({
      confirmed: false,
      controlHosts: 1,
    });
  });

  it('tells why an announcement was not confirmed', () => {
    const host = createHost();
    host.flow.begin(host.raft.timing.electionTimeoutMs);
    host.flow.announce('r-1', READY);
    expect(host.lineOf('announcement_refused')).toMatchObject({ backend: 'b-1', sequence: 1 });
  });

  it('tells which backend servers were forgotten', () => {
    const host = createHost();
    host.flow.announce('r-1', READY);
    host.flow.begin(600_000);
    host.flow.tick();
    expect(host.lineOf('backend_expired')).toEqual({ ids: 'b-1' });
  });
});

describe('what was known before all control hosts started again', () => {
  const restoredTo = (host: ReturnType<typeof createHost>) =>
    host
      .pushes()
      .flatMap(({ sessionId, message }) =>
        message.type === ControlMessageType.Backends && message.provisional
          ? [{ sessionId, ids: message.records.map((record) => record.id) }]
          : [],
      );

  it('is handed to entry hosts as provisional and to nobody else', () => {
    const host = createHost([1]);
    host.flow.restore([createBackend('b-1'), createBackend('b-2')]);
    host.flow.watch(2);
    expect(restoredTo(host)).toEqual([
      { sessionId: 1, ids: ['b-1', 'b-2'] },
      { sessionId: 2, ids: ['b-1', 'b-2'] },
    ]);
    host.flow.onControlLink('b');
    expect(host.relayed()).toEqual([]);
    expect(host.flow.registry.size).toBe(0);
  });

  it('gives way to any word of the backend server', () => {
    const host = createHost([1]);
    host.flow.restore([createBackend('b-1'), createBackend('b-2')]);
    host.flow.announce('r-1', READY);
    host.effects.length = 0;
    host.flow.watch(2);
    expect(restoredTo(host)).toEqual([{ sessionId: 2, ids: ['b-2'] }]);
  });

  it('is not handed out later than announcements would have come', () => {
    const host = createHost([1]);
    host.flow.restore([READY]);
    host.effects.length = 0;
    host.flow.begin(1_600);
    host.flow.watch(2);
    expect(restoredTo(host)).toEqual([]);
  });

  it('lets a goodbye bind although only the restored record names the backend server', () => {
    const host = createHost();
    host.flow.restore([READY]);
    host.effects.length = 0;
    host.flow.goodbye('r-1', 'b-1', undefined);
    expect(host.flow.registry.get('b-1')?.state).toBe(BackendState.Gone);
    expect(host.answers()).toEqual([]);
    host.confirmFrom('b');
    host.acknowledge(1);
    host.acknowledge(2);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('is saved soon after a change, without those that left', () => {
    const host = createHost();
    host.flow.begin(5_000);
    host.flow.announce('r-1', READY);
    host.flow.announce('r-2', createBackend('b-2', { state: BackendState.Draining }));
    host.flow.tick();
    const saves = host.effects.flatMap((effect) =>
      effect.type === ControlEffectType.SaveBackends ? [effect.records.map(({ id }) => id)] : [],
    );
    expect(saves).toEqual([['b-1']]);
  });
});

describe('RegistryFlow', () => {
  it('tells entry hosts and control hosts of a new backend server', () => {
    const host = createHost();
    host.flow.announce('r-1', READY);
    expect(host.pushes().map((push) => push.sessionId)).toEqual([1, 2]);
    expect(host.relayed()).toEqual(['b', 'c']);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('pushes nothing for an announcement that changes nothing', () => {
    const host = createHost();
    host.flow.announce('r-1', READY);
    host.effects.length = 0;
    host.flow.announce('r-2', createBackend('b-1', { sequence: 2 }));
    expect(host.pushes()).toEqual([]);
  });

  it('confirms a departure once a majority and every live entry host know it', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    expect(host.answers()).toEqual([]);
    host.acknowledge(1);
    host.confirmFrom('b');
    expect(host.answers()).toEqual([]);
    host.acknowledge(2);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('never confirms a departure that only this control host knows', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    host.acknowledge(1);
    host.acknowledge(2);
    host.flow.begin(700);
    host.flow.tick();
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
  });

  it('waits for no entry host that has been silent or has left', () => {
    const host = createHost();
    host.flow.begin(1_500);
    host.flow.announce('r-1', DRAINING);
    host.confirmFrom('c');
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
    const left = createHost();
    left.flow.announce('r-2', DRAINING);
    left.confirmFrom('c');
    left.acknowledge(1);
    left.flow.closeSession(2);
    expect(left.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
  });

  it('confirms nothing while it is cut off from the leader', () => {
    const host = createHost();
    host.flow.begin(host.raft.timing.electionTimeoutMs);
    host.flow.announce('r-1', READY);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
  });

  it('confirms the goodbye of an unknown backend server only once it would know it', () => {
    const host = createHost();
    host.flow.goodbye('r-1', 'b-9', undefined);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
    host.effects.length = 0;
    host.raft.leaderContactAtMs = 3_000;
    host.flow.begin(3_000);
    host.flow.goodbye('r-2', 'b-9', undefined);
    expect(host.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
  });

  it('takes a repeated departure for what it is and confirms it again', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    host.confirmFrom('b');
    host.acknowledge(1);
    host.acknowledge(2);
    host.effects.length = 0;
    host.flow.announce('r-2', DRAINING);
    host.confirmFrom('b');
    host.acknowledge(1);
    host.acknowledge(2);
    expect(host.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
  });
});
