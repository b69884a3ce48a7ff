import { describe, expect, it } from 'vitest';
import { BackendState } from '../common/backends/Types.js';
import { ControlMessageType, type ControlToEntryMessage } from '../common/Messages.js';
import { createBackend, createEntryHost } from '../gateway/fixtures.js';
import { EntrySessions } from './EntrySessions.js';
import { ExchangePeers } from './ExchangePeers.js';
import { createFollower, RaftState } from './raft/RaftState.js';
import { RaftRole } from './raft/Types.js';
import { RegistryFlow } from './RegistryFlow.js';
import { ControlEffectType, type ControlEffect } from './Types.js';

const VOTERS = ['a', 'b', 'c'].map((id) => ({ id, address: id, port: 1 }));

/** Control host `a`, a follower in contact with its leader, with one entry host per session. */
function createHost(sessionIds: readonly number[] = [1, 2], savesAtOnce = true) {
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
  const flow: RegistryFlow = new RegistryFlow({
    raft,
    peers: new ExchangePeers({ selfId: raft.id, log: raft.log }),
    sessions,
    emit: (effect) => {
      effects.push(effect);
      if (effect.type !== ControlEffectType.SaveDepartures || !savesAtOnce) return;
      flow.onDeparturesSaved(effect.saveId);
    },
  });
  flow.beginEvent(0);
  sessionIds.forEach((id) => {
    sessions.open(id, createEntryHost(`e-${id}`), 0);
    flow.watch(id);
  });
  effects.length = 0;
  const pushes = () =>
    effects.flatMap((effect) => {
      if (effect.type === ControlEffectType.Broadcast) {
        return effect.sessionIds.map((sessionId) => ({ sessionId, message: effect.message }));
      }
      return effect.type === ControlEffectType.SendSession
        ? [{ sessionId: effect.sessionId, message: effect.message }]
        : [];
    });
  const batchId = (message: ControlToEntryMessage) =>
    message.type === ControlMessageType.Backends ? message.batchId : -1;
  return {
    raft,
    flow,
    effects,
    logFields: (event: string) =>
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
    acknowledgeFrom: (from: string) => {
      const push = pushes()[0]!;
      flow.onControlPeerMessage({
        type: ControlMessageType.BackendRelayAck,
        from,
        batchId: batchId(push.message),
      });
    },
  };
}

const READY = createBackend('b-1');
const DRAINING = createBackend('b-1', { state: BackendState.Draining, sequence: 2 });

describe('RegistryFlow log events', () => {
  // The control hosts that confirmed a departure may all have restarted since.
  it('distributes departures that only an entry host holds when it links', () => {
    const host = createHost([1]);
    const draining = createBackend('b-1', { state: BackendState.Draining, sequence: 12 });
    host.flow.announce('r-1', createBackend('b-1', { sequence: 10 }));
    host.effects.length = 0;
    host.flow.beginEvent(100);
    host.flow.watch(2, [draining]);
    expect(host.flow.registry.get('b-1')).toEqual(draining);
    expect(host.pushes()[0]).toMatchObject({ sessionId: 1, message: { records: [draining] } });
    expect(host.relayed()).toHaveLength(2);
    host.effects.length = 0;
    host.flow.watch(3, [draining]);
    expect(host.relayed()).toEqual([]);
  });

  it('logs the record that an announcement changed', () => {
    const host = createHost();
    host.flow.announce('r-1', READY);
    expect(host.logFields('backend_changed')).toMatchObject({
      backend: 'b-1',
      service: READY.service,
      zone: READY.availabilityZone,
      state: BackendState.Ready,
      sequence: 1,
      bornMs: READY.bornMs,
    });
  });

  it('logs how many hosts acknowledged a departure, confirmed or not', () => {
    const confirmed = createHost();
    confirmed.flow.announce('r-1', DRAINING);
    confirmed.acknowledgeFrom('b');
    confirmed.acknowledge(1);
    confirmed.acknowledge(2);
    expect(confirmed.logFields('backend_departure')).toEqual({
      backend: 'b-1',
      confirmed: true,
      controlHosts: 2,
      entryHostsMissing: 0,
    });
    const unconfirmed = createHost();
    unconfirmed.flow.announce('r-1', DRAINING);
    unconfirmed.flow.beginEvent(700);
    unconfirmed.flow.tick();
    expect(unconfirmed.logFields('backend_departure')).toMatchObject({
      confirmed: false,
      controlHosts: 1,
    });
  });

  it('logs an announcement that is not confirmed', () => {
    const host = createHost();
    host.flow.beginEvent(host.raft.timing.electionTimeoutMs);
    host.flow.announce('r-1', READY);
    expect(host.logFields('announcement_refused')).toMatchObject({ backend: 'b-1', sequence: 1 });
  });

  it('logs the ids of expired backend servers', () => {
    const host = createHost();
    host.flow.announce('r-1', READY);
    host.flow.beginEvent(600_000);
    host.flow.tick();
    expect(host.logFields('backend_expired')).toEqual({ ids: 'b-1' });
  });
});

describe('records restored after a restart of all control hosts', () => {
  const provisionalPushes = (host: ReturnType<typeof createHost>) =>
    host
      .pushes()
      .flatMap(({ sessionId, message }) =>
        message.type === ControlMessageType.Backends && message.provisional
          ? [{ sessionId, ids: message.records.map((record) => record.id) }]
          : [],
      );

  it('are sent to entry hosts as provisional, and to no control host', () => {
    const host = createHost([1]);
    host.flow.restore([createBackend('b-1'), createBackend('b-2')]);
    host.flow.watch(2);
    expect(provisionalPushes(host)).toEqual([
      { sessionId: 1, ids: ['b-1', 'b-2'] },
      { sessionId: 2, ids: ['b-1', 'b-2'] },
    ]);
    host.flow.onControlLink('b');
    expect(host.relayed()).toEqual([]);
    expect(host.flow.registry.size).toBe(0);
  });

  it('are replaced by any announcement of the backend server', () => {
    const host = createHost([1]);
    host.flow.restore([createBackend('b-1'), createBackend('b-2')]);
    host.flow.announce('r-1', READY);
    host.effects.length = 0;
    host.flow.watch(2);
    expect(provisionalPushes(host)).toEqual([{ sessionId: 2, ids: ['b-2'] }]);
  });

  it('are no longer sent once live backend servers have had time to announce themselves', () => {
    const host = createHost([1]);
    host.flow.restore([READY]);
    host.effects.length = 0;
    host.flow.beginEvent(1_600);
    host.flow.watch(2);
    expect(provisionalPushes(host)).toEqual([]);
  });

  it('let a departure take effect before the backend server has announced itself again', () => {
    const host = createHost();
    host.flow.restore([READY]);
    host.effects.length = 0;
    host.flow.announceDeparture('r-1', 'b-1', undefined);
    expect(host.flow.registry.get('b-1')?.state).toBe(BackendState.Gone);
    expect(host.answers()).toEqual([]);
    host.acknowledgeFrom('b');
    host.acknowledge(1);
    host.acknowledge(2);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('are saved soon after a change, without departing backend servers', () => {
    const host = createHost();
    host.flow.beginEvent(5_000);
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
  it('sends a new backend server to entry hosts and control hosts', () => {
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

  it('confirms a departure once a majority and every live entry host acknowledge it', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    expect(host.answers()).toEqual([]);
    host.acknowledge(1);
    host.acknowledgeFrom('b');
    expect(host.answers()).toEqual([]);
    host.acknowledge(2);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('never confirms a departure that no other control host acknowledges', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    host.acknowledge(1);
    host.acknowledge(2);
    host.flow.beginEvent(700);
    host.flow.tick();
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
  });

  it('does not wait for an entry host that is silent or has ended its subscription', () => {
    const host = createHost();
    host.flow.beginEvent(2_000);
    host.flow.announce('r-1', DRAINING);
    host.acknowledgeFrom('c');
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
    const ended = createHost();
    ended.flow.announce('r-2', DRAINING);
    ended.acknowledgeFrom('c');
    ended.acknowledge(1);
    ended.flow.closeSession(2);
    expect(ended.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
  });

  // Guards against a confirmation while an entry host without a link still sends calls.
  it('waits for an entry host whose link was lost, until it is silent', () => {
    const host = createHost();
    host.flow.beginEvent(1_500);
    host.flow.announce('r-1', DRAINING);
    host.acknowledgeFrom('c');
    host.acknowledge(1);
    host.flow.loseSession(2);
    host.flow.closeSession(2);
    host.flow.beginEvent(1_999);
    host.flow.tick();
    expect(host.answers()).toEqual([]);
    host.flow.beginEvent(2_000);
    host.flow.tick();
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('confirms no announcement without contact with the leader', () => {
    const host = createHost();
    host.flow.beginEvent(host.raft.timing.electionTimeoutMs);
    host.flow.announce('r-1', READY);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
  });

  it('confirms no announcement as a leader that was paused, before it has heard of another', () => {
    const host = createHost();
    host.raft.role = RaftRole.Leader;
    ['b', 'c'].forEach((id) => host.raft.followers.set(id, createFollower(1, 0)));
    host.flow.beginEvent(100);
    host.flow.announce('r-1', READY);
    host.flow.beginEvent(5_000);
    host.flow.announce('r-2', createBackend('b-1', { sequence: 2 }));
    expect(host.answers()).toEqual([
      { requestId: 'r-1', confirmed: true },
      { requestId: 'r-2', confirmed: false },
    ]);
  });

  it('confirms a departure without a record only once the registry is complete', () => {
    const host = createHost();
    host.flow.announceDeparture('r-1', 'b-9', undefined);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
    host.effects.length = 0;
    host.raft.leaderContactAtMs = 3_000;
    host.flow.beginEvent(3_000);
    host.flow.announceDeparture('r-2', 'b-9', undefined);
    expect(host.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
  });

  it('confirms a repeated departure again, without another round of acknowledgements', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    host.acknowledgeFrom('b');
    host.acknowledge(1);
    host.acknowledge(2);
    host.effects.length = 0;
    host.flow.announce('r-2', DRAINING);
    expect(host.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
    expect(host.relayed()).toEqual([]);
  });

  it('distributes a departure again that was not confirmed', () => {
    const host = createHost();
    host.flow.announce('r-1', DRAINING);
    host.flow.beginEvent(700);
    host.flow.tick();
    host.effects.length = 0;
    host.flow.announce('r-2', DRAINING);
    expect(host.relayed()).toEqual(['b', 'c']);
    host.acknowledgeFrom('b');
    host.acknowledge(1);
    host.acknowledge(2);
    expect(host.answers()).toEqual([{ requestId: 'r-2', confirmed: true }]);
  });

  it('waits for the entry hosts of another control host that holds a departure', () => {
    const host = createHost([]);
    host.flow.announce('r-1', DRAINING);
    const acknowledge = (delivered: boolean) =>
      host.flow.onControlPeerMessage({
        type: ControlMessageType.BackendRelayAck,
        from: 'b',
        batchId: 1,
        delivered,
      });
    acknowledge(false);
    expect(host.answers()).toEqual([]);
    acknowledge(true);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });

  it('counts entry hosts that acknowledge a relayed departure before it is on disk', () => {
    const host = createHost([1], false);
    host.flow.onControlPeerMessage({
      type: ControlMessageType.BackendRelay,
      from: 'b',
      batchId: 7,
      records: [DRAINING],
    });
    host.acknowledge(1);
    expect(host.relayed()).toEqual([]);
    host.flow.onDeparturesSaved(1);
    expect(host.effects.at(-1)).toMatchObject({ to: 'b', message: { delivered: true } });
  });

  it('reports a relayed departure as delivered once its own entry hosts acknowledged it', () => {
    const host = createHost([1]);
    host.flow.onControlPeerMessage({
      type: ControlMessageType.BackendRelay,
      from: 'b',
      batchId: 7,
      records: [DRAINING],
    });
    const acks = () =>
      host.effects.flatMap((effect) =>
        effect.type === ControlEffectType.SendControl ? [effect.message] : [],
      );
    const ack = { type: ControlMessageType.BackendRelayAck, from: 'a', batchId: 7 };
    expect(acks()).toEqual([{ ...ack, delivered: false }]);
    host.acknowledge(1);
    expect(acks()).toEqual([
      { ...ack, delivered: false },
      { ...ack, delivered: true },
    ]);
  });
});

describe('a relayed departure while the disk is slow', () => {
  const relayTo = (host: ReturnType<typeof createHost>, acceptsUnstored?: boolean) =>
    host.flow.onControlPeerMessage({
      type: ControlMessageType.BackendRelay,
      from: 'b',
      batchId: 7,
      records: [DRAINING],
      ...(acceptsUnstored && { acceptsUnstored }),
    });
  const acksOf = (host: ReturnType<typeof createHost>) =>
    host.effects.flatMap((effect) =>
      effect.type === ControlEffectType.SendControl ? [effect.message] : [],
    );
  const ACK = {
    type: ControlMessageType.BackendRelayAck,
    from: 'a',
    batchId: 7,
    delivered: true,
  } as const;

  // Guards against departures that nobody confirms while the disk of one control host is slow.
  it('is reported once its entry hosts have acknowledged it, and again once it is on disk', () => {
    const host = createHost([1], false);
    relayTo(host, true);
    host.acknowledge(1);
    host.flow.beginEvent(200);
    host.flow.tick();
    host.flow.beginEvent(220);
    host.flow.tick();
    expect(acksOf(host)).toEqual([{ ...ACK, stored: false }]);
    host.flow.onDeparturesSaved(1);
    expect(acksOf(host)).toEqual([
      { ...ACK, stored: false },
      { ...ACK, stored: true },
    ]);
  });

  // Guards against a control host of the version before, which takes each report for a stored one.
  it('is not reported before it is on disk to a control host that does not accept that', () => {
    const host = createHost([1], false);
    relayTo(host);
    host.acknowledge(1);
    host.flow.beginEvent(300);
    host.flow.tick();
    expect(acksOf(host)).toEqual([]);
    host.flow.onDeparturesSaved(1);
    expect(acksOf(host)).toEqual([ACK]);
  });

  // Guards against a report that counts as a copy on a disk.
  it('is not confirmed by a report of a control host that has not stored it', () => {
    const host = createHost([]);
    const report = (stored: boolean) =>
      host.flow.onControlPeerMessage({ ...ACK, from: 'b', batchId: 1, stored });
    host.flow.announce('r-1', DRAINING);
    report(false);
    expect(host.answers()).toEqual([]);
    report(true);
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });
});

describe('control hosts that a departure waits for', () => {
  const announceWith = (reports: boolean) => {
    const host = createHost([]);
    host.flow.noteContact('c');
    host.flow.noteReports('c', reports);
    host.flow.announce('r-1', DRAINING);
    host.flow.onControlPeerMessage({
      type: ControlMessageType.BackendRelayAck,
      from: 'b',
      batchId: 1,
    });
    return host;
  };

  // Guards against a confirmation by a majority, while the entry hosts of others have not heard of it.
  it('are all that report deliveries, as long as they are in contact', () => {
    const host = announceWith(true);
    expect(host.answers()).toEqual([]);
    host.flow.beginEvent(700);
    host.flow.tick();
    expect(host.answers()).toEqual([{ requestId: 'r-1', confirmed: false }]);
    expect(host.logFields('departure_waits')).toEqual({
      backend: 'b-1',
      entryHosts: '',
      controlHosts: 'c',
    });
    host.flow.beginEvent(2_000);
    host.flow.announce('r-2', DRAINING);
    expect(host.answers()).toContainEqual({ requestId: 'r-2', confirmed: true });
  });

  it('are not those of the version before, which report nothing while their disk is slow', () => {
    expect(announceWith(false).answers()).toEqual([{ requestId: 'r-1', confirmed: true }]);
  });
});

describe('announcements of hundreds of backend servers', () => {
  const BACKENDS = 500;

  const announceAll = (host: ReturnType<typeof createHost>, sequence: number) => {
    for (let index = 0; index < BACKENDS; index += 1) {
      host.flow.announce(`r-${sequence}-${index}`, createBackend(`b-${index}`, { sequence }));
    }
  };

  it('are sent to entry hosts and control hosts together when they come together', () => {
    const host = createHost([1, 2]);
    host.flow.beginEvent(1_000);
    announceAll(host, 1);
    host.flow.beginEvent(1_060);
    host.flow.tick();
    // One message for the first announcement, and one for all others.
    expect(host.pushes()).toHaveLength(2 * 2);
    expect(host.relayed()).toHaveLength(2 * 2);
    const sent = host.pushes().filter(({ sessionId }) => sessionId === 1);
    const records = sent.flatMap(({ message }) =>
      message.type === ControlMessageType.Backends ? message.records : [],
    );
    expect(records).toHaveLength(BACKENDS);
  });

  it('cost one message an interval for each other control host when they change nothing', () => {
    const host = createHost([1]);
    host.flow.beginEvent(1_000);
    announceAll(host, 1);
    // Includes the ids of all backend servers, once the registry is complete.
    host.flow.beginEvent(3_500);
    host.flow.tick();
    host.effects.length = 0;
    host.raft.leaderContactAtMs = 6_600;
    host.flow.beginEvent(6_600);
    announceAll(host, 2);
    host.flow.tick();
    expect(host.pushes()).toEqual([]);
    expect(host.relayed()).toEqual(['b', 'c']);
  });

  it('keep the record at the other control hosts, which receive only renewals', () => {
    const host = createHost([]);
    host.flow.announce('r-1', READY);
    for (let nowMs = 3_000; nowMs <= 60_000; nowMs += 3_000) {
      host.flow.beginEvent(nowMs);
      host.flow.onControlPeerMessage({
        type: ControlMessageType.BackendRenewals,
        from: 'b',
        ids: [READY.id],
        bornMs: [READY.bornMs],
        sequences: [nowMs],
      });
      host.flow.tick();
    }
    expect(host.flow.registry.get(READY.id)?.sequence).toBe(60_000);
    host.flow.beginEvent(80_000);
    host.flow.tick();
    expect(host.flow.registry.size).toBe(0);
  });
});

describe('an odd record of a backend server', () => {
  const odd = { ...createBackend('b-9'), port: 70_000 };
  const sound = createBackend('b-1');

  // Guards against one odd record that every follower of the list receives from then on.
  it('is left out of a relay, and the others go on', () => {
    const host = createHost();
    const type = ControlMessageType.BackendRelay;
    host.flow.onControlPeerMessage({ type, from: 'b', batchId: 1, records: [odd, sound] });
    expect(host.flow.registry.ids()).toEqual(['b-1']);
    expect(host.logFields('backend_record_refused')).toMatchObject({
      backend: 'b-9',
      field: 'port',
    });
  });

  // Guards against one odd record on the disk that ends every start.
  it('is left out of the records that were saved before a start', () => {
    const host = createHost();
    host.flow.restore([odd, sound], [{ ...odd, id: 'b-8', state: BackendState.Gone }]);
    expect(host.flow.registry.ids()).toEqual([]);
    expect(host.logFields('backends_restored')).toMatchObject({ count: 1 });
  });
});
