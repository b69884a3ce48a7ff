import { describe, expect, it } from 'vitest';
import { createRoutedCluster, routingIndexAt } from './fixtures.js';
import { GATEWAY_CONTACT_MS } from './GatewayProgress.js';
import { APPLIED_WAIT_MS } from './RoutingConfirmations.js';
import { IN_FORCE_WAIT_MS } from './RoutingInForce.js';
import { AdminRequestType, ControlEventType } from './Types.js';

/** Time for a commit, reports between control hosts and their checks. */
const SLACK_MS = 150;

const CLOSE_ZONE = { type: AdminRequestType.CloseZone, zone: 'perth', closed: true } as const;

describe('the confirmation of a change of the routing', () => {
  // Guards against calls that are handled by a routing that a confirmed change has replaced.
  it('waits for a gateway that is linked to another control host', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster();
    addGateway('g-quick', [cluster.leader()]);
    const slow = addGateway('g-slow', [followers()[1]!]);
    cluster.run(1_000);
    slow.routingMs = 800;
    const result = changeRouting(1);
    cluster.run(3_000);
    expect(result.outcome?.error).toBeNull();
    expect(result.afterMs).toBeGreaterThan(800);
    expect(result.afterMs).toBeLessThan(800 + SLACK_MS);
  });

  it.each([
    ['a closure', CLOSE_ZONE],
    [
      'the order of a rollout',
      {
        type: AdminRequestType.StartRollout,
        service: 'alpha',
        toVersion: 'v2',
        durationMs: 60_000,
      },
    ],
  ] as const)('waits also for %s, sent once or twice', (name, request) => {
    const { cluster, addGateway, submit, changeRouting } = createRoutedCluster();
    const gateway = addGateway('g-1', [cluster.leader()]);
    changeRouting(1);
    cluster.run(1_000);
    gateway.routingMs = 800;
    const first = submit(cluster.leader(), request);
    cluster.run(300);
    const again = submit(cluster.leader(), request);
    cluster.run(300);
    expect([first.outcome, again.outcome]).toEqual([undefined, undefined]);
    cluster.run(2_000);
    expect(first.outcome?.error).toBeNull();
    expect(again.outcome?.error).toBeNull();
    expect(first.afterMs).toBeGreaterThan(800);
  });

  // Guards against a log that grows by the whole change with each resend of an operator that waits.
  it('adds one entry to the log for a change that is sent three times', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const gateway = addGateway('g-1', [cluster.leader()]);
    cluster.run(1_000);
    gateway.routingMs = 1_500;
    const { log } = cluster.leader().reducer.raft.state;
    const { lastIndex } = log;
    const results = [changeRouting(1), changeRouting(1)];
    cluster.run(1_000);
    results.push(changeRouting(1));
    cluster.run(3_000);
    expect(results.map(({ outcome }) => outcome?.error)).toEqual([null, null, null]);
    expect(results[0]!.afterMs).toBeGreaterThan(1_500);
    expect(log.lastIndex).toBe(lastIndex + 1);
  });

  // Guards against a gateway between two sessions that belongs to no control host and serves on.
  it('waits for a gateway whose session closed a moment ago', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster();
    const [host] = followers();
    const gateway = addGateway('g-1', [host!]);
    cluster.run(1_000);
    gateway.unlink(host!);
    const result = changeRouting(1);
    cluster.run(600);
    expect(result.outcome).toBeUndefined();
    gateway.link(host!);
    cluster.run(SLACK_MS);
    expect(gateway.appliedIndex).toBe(routingIndexAt(cluster.leader()));
    expect(result.outcome?.error).toBeNull();
  });

  // Guards against changes that wait for gateways that ended or are cut off.
  it.each([
    ['is silent', true],
    ['has ended', false],
  ])('does not wait longer than a second for a gateway that %s', (name, staysLinked) => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const host = cluster.leader();
    const gateway = addGateway('g-1', [host]);
    cluster.run(1_000);
    gateway.alive = false;
    if (!staysLinked) gateway.unlink(host);
    const result = changeRouting(1);
    cluster.run(GATEWAY_CONTACT_MS + SLACK_MS);
    expect(result.outcome?.error).toBeNull();
  });

  // Guards against one gateway on a slow link that holds up every change of all others.
  it('does not wait long for a gateway that knows of the change, and refuses calls without it', () => {
    const { cluster, lines, addGateway, changeRouting, followers } = createRoutedCluster();
    const slow = addGateway('g-slow', followers());
    slow.reportsKnown = true;
    cluster.run(1_000);
    slow.routingMs = 5_000;
    const result = changeRouting(1);
    cluster.run(APPLIED_WAIT_MS + SLACK_MS);
    expect(result.outcome?.error).toBeNull();
    expect(result.afterMs).toBeGreaterThanOrEqual(APPLIED_WAIT_MS);
    const line = lines.find(({ event }) => event === 'routing_confirmed');
    expect(line?.fields).toMatchObject({ aware: 'g-slow' });
  });

  // Guards against a confirmed change that a gateway has not heard of, by which it serves on.
  it('waits for a gateway that does not know of the change', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster();
    const slow = addGateway('g-slow', followers());
    cluster.run(1_000);
    slow.routingMs = 5_000;
    const result = changeRouting(1);
    cluster.run(IN_FORCE_WAIT_MS - SLACK_MS);
    expect(result.outcome).toBeUndefined();
  });

  // Guards against a gateway that keeps operators from changes.
  it('ends without a gateway that never applies the change, and names it in a line', () => {
    const { cluster, lines, addGateway, changeRouting, followers } = createRoutedCluster();
    const stuck = addGateway('g-stuck', followers());
    cluster.run(1_000);
    stuck.applies = false;
    const first = changeRouting(1);
    cluster.run(1_000);
    const again = changeRouting(1);
    cluster.run(IN_FORCE_WAIT_MS - 1_000 + SLACK_MS);
    expect(first.outcome?.error).toBeNull();
    expect(first.afterMs).toBeGreaterThanOrEqual(IN_FORCE_WAIT_MS);
    expect(again.outcome?.body).toMatchObject({ repeated: true });
    expect(again.afterMs).toBeLessThan(IN_FORCE_WAIT_MS - 1_000 + SLACK_MS);
    const warned = lines.filter(({ event }) => event === 'confirmed_not_in_force');
    expect(warned.map(({ fields }) => fields.missing)).toEqual(['g-stuck', 'g-stuck']);
  });

  // Guards against a resent change that is confirmed later than the first one would have been.
  it('comes at once for a resent change that is in force, beside a newer one that is not', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const gateway = addGateway('g-1', [cluster.leader()]);
    changeRouting(1);
    cluster.run(1_000);
    gateway.applies = false;
    const newer = changeRouting(2);
    cluster.run(100);
    const again = changeRouting(1);
    cluster.run(SLACK_MS);
    expect(again.outcome?.body).toMatchObject({ repeated: true, version: 1 });
    expect(newer.outcome).toBeUndefined();
  });

  // Guards against an evacuation whose confirmation was lost, and which waits for a change that came after.
  it.each([
    ['closure', true],
    ['opening', false],
  ])('comes at once for a resent %s that is in force, beside a newer change', (name, closed) => {
    const { cluster, addGateway, changeRouting, submit } = createRoutedCluster();
    const gateway = addGateway('g-1', [cluster.leader()]);
    submit(cluster.leader(), CLOSE_ZONE);
    cluster.run(500);
    if (!closed) submit(cluster.leader(), { ...CLOSE_ZONE, closed });
    cluster.run(500);
    gateway.applies = false;
    const newer = changeRouting(1);
    cluster.run(100);
    const again = submit(cluster.leader(), { ...CLOSE_ZONE, closed });
    cluster.run(SLACK_MS);
    expect(again.outcome?.error).toBeNull();
    expect(newer.outcome).toBeUndefined();
  });

  // Guards against a new leader that confirms what it only knows to be on disks.
  it('waits for the gateways also at a new leader that receives the change again', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const old = cluster.leader();
    const others = [...cluster.hosts.values()].filter((host) => host !== old);
    const gateway = addGateway('g-1', others);
    cluster.run(1_000);
    gateway.applies = false;
    const first = changeRouting(1);
    cluster.run(100);
    old.crash();
    const untilLeader = () => others.find((host) => host.reducer.raft.isLeader);
    for (let waitedMs = 0; !untilLeader() && waitedMs < 3_000; waitedMs += 10) cluster.run(10);
    const again = changeRouting(1, untilLeader());
    cluster.run(SLACK_MS);
    expect([first.outcome, again.outcome]).toEqual([undefined, undefined]);
    gateway.applies = true;
    cluster.run(2_000);
    expect(gateway.appliedIndex).toBe(routingIndexAt(cluster.leader()));
    expect(again.outcome?.body).toMatchObject({ repeated: true });
  });

  it('is refused when the leader loses its role', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const leader = cluster.leader();
    const gateway = addGateway('g-1', [leader]);
    cluster.run(1_000);
    gateway.applies = false;
    const result = changeRouting(1);
    cluster.run(100);
    leader.handle({ type: ControlEventType.Stop });
    expect(result.outcome?.error?.kind).toBe('no-quorum');
  });

  // Guards against an upgrade during which no change is confirmed.
  it('does not wait for the reports of control hosts of protocol version 3', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster();
    const leader = cluster.leader();
    const gateway = addGateway('g-1', followers());
    cluster.run(1_000);
    followers().forEach(({ options }) => {
      const link = { memberId: options.id, random: 0, protocol: 3 };
      leader.handle({ type: ControlEventType.ControlLinkOpened, ...link });
    });
    gateway.applies = false;
    const result = changeRouting(1);
    cluster.run(SLACK_MS);
    expect(result.outcome?.error).toBeNull();
  });
});
