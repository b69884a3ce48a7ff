import { describe, expect, it } from 'vitest';
import {
  ControlMessageType,
  EntryHostUpdates,
  type EntryToControlMessage,
} from '../common/Messages.js';
import { createEntryHost } from '../gateway/fixtures.js';
import { createRoutedCluster, routingIndexAt } from './fixtures.js';
import { ControlEventType } from './Types.js';

describe('the progress of the routing', () => {
  // Guards against a gateway that can't tell a late routing from a missing one.
  it('is in the answers to heartbeats, with whether the control host is current', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const leader = cluster.leader();
    const gateway = addGateway('g-1', [leader]);
    changeRouting(1);
    cluster.run(2_000);
    const routingIndex = routingIndexAt(leader);
    expect(gateway.pongs.get(leader.options.id)).toMatchObject({ routingIndex, isCurrent: true });
    cluster.network.cut([leader.options.id], 1);
    cluster.run(2_000);
    expect(gateway.pongs.get(leader.options.id)).toMatchObject({ isCurrent: false });
  });

  // Guards against a gateway that was paused, kept its link and serves on without a bound: without
  // answers it counts as cut off.
  it('is answered to a gateway that was silent for longer than its session lasts', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const leader = cluster.leader();
    const gateway = addGateway('g-1', [leader]);
    cluster.run(1_000);
    gateway.alive = false;
    cluster.run(7_000);
    gateway.pongs.clear();
    gateway.alive = true;
    changeRouting(1);
    cluster.run(1_000);
    const routingIndex = routingIndexAt(leader);
    expect(gateway.pongs.get(leader.options.id)).toMatchObject({ routingIndex, isCurrent: true });
  });

  // Guards against a confirmation that does not wait for a gateway which was paused, and then watches
  // this host before its next heartbeat.
  it('counts a gateway that watches on an expired session', () => {
    const { cluster, lines, addGateway, changeRouting } = createRoutedCluster();
    const leader = cluster.leader();
    const sessionId = 1;
    addGateway('g-1', []);
    const send = (message: EntryToControlMessage) =>
      leader.handle({ type: ControlEventType.SessionMessage, sessionId, message });
    const ping = () =>
      send({
        type: ControlMessageType.Ping,
        pingId: 1,
        appliedIndex: 0,
        subscribe: false,
        stopping: false,
      });
    const entryHostUpdates = EntryHostUpdates.None;
    const entryHost = createEntryHost('g-1');
    send({ type: ControlMessageType.Hello, entryHost, entryHostUpdates });
    ping();
    cluster.run(7_000);
    send({ type: ControlMessageType.Watch, routingIndex: 0 });
    ping();
    changeRouting(1);
    cluster.run(3_000);
    const line = lines.find(({ event }) => event === 'routing_confirmed');
    expect(line?.fields.waitedMs).toBeGreaterThan(500);
  });

  // Guards against a late gateway that no log line of a control host names.
  it('is logged by the leader, with the last gateway, also if that is linked elsewhere', () => {
    const { cluster, lines, addGateway, changeRouting, followers } = createRoutedCluster();
    addGateway('g-quick', [cluster.leader()]);
    const slow = addGateway('g-slow', [followers()[0]!]);
    cluster.run(1_000);
    slow.routingMs = 700;
    changeRouting(1);
    cluster.run(3_000);
    const [line, ...others] = lines.filter(({ event }) => event === 'routing_in_force');
    expect(others).toEqual([]);
    expect(line?.from).toBe(cluster.leader().options.id);
    expect(line?.fields).toMatchObject({ version: 1, lastGateway: 'g-slow', missing: '' });
    expect(line?.fields.waitedMs).toBeGreaterThanOrEqual(700);
    expect(line?.fields.waitedMs).toBeLessThan(900);
  });

  // Guards against a confirmation of which no line says what it rested on.
  it('is logged with each confirmation: gateways counted, reports, and who was left out', () => {
    const { cluster, lines, addGateway, changeRouting, followers } = createRoutedCluster();
    const [near, silent] = followers();
    addGateway('g-1', [cluster.leader()]);
    addGateway('g-2', [near!]);
    cluster.run(1_000);
    silent!.crash();
    cluster.run(1_000);
    changeRouting(1);
    cluster.run(3_000);
    const [line, ...others] = lines.filter(({ event }) => event === 'routing_confirmed');
    expect(others).toEqual([]);
    expect(line?.fields).toMatchObject({
      gateways: 2,
      reported: near!.options.id,
      leftOut: `${silent!.options.id}:silent`,
    });
  });

  // Guards against a wait without an end for a gateway that refuses a routing.
  it('names a gateway that has not applied a change by the end of the wait', () => {
    const { cluster, lines, addGateway, changeRouting, followers } = createRoutedCluster();
    const stuck = addGateway('g-stuck', followers());
    cluster.run(1_000);
    stuck.applies = false;
    changeRouting(1);
    cluster.run(3_000);
    const logged = lines.filter(({ event }) => event === 'routing_in_force');
    expect(logged.map(({ fields }) => fields.missing)).toEqual(['g-stuck']);
    expect(cluster.leader().reducer.routingInForce.latestWaitMs).toBeGreaterThanOrEqual(2_500);
  });

  // Guards against reports that a new leader, or one with a new link, never receives.
  it('reaches a new leader', () => {
    const { cluster, lines, addGateway, changeRouting } = createRoutedCluster();
    const hosts = [...cluster.hosts.values()];
    const old = cluster.leader();
    const gateway = addGateway(
      'g-1',
      hosts.filter((host) => host !== old),
    );
    cluster.run(1_000);
    old.crash();
    cluster.run(3_000);
    gateway.routingMs = 300;
    changeRouting(1);
    cluster.run(3_000);
    const [line] = lines.filter(({ event }) => event === 'routing_in_force');
    expect(line?.from).toBe(cluster.leader().options.id);
    expect(line?.fields).toMatchObject({ version: 1, lastGateway: 'g-1', missing: '' });
  });
});
