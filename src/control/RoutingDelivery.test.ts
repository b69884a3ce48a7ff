import { describe, expect, it } from 'vitest';
import { createRoutedCluster, routingIndexAt } from './fixtures.js';
import { ALONE_AFTER_MS, RESEND_AFTER_MS, RoutingDelivery } from './RoutingDelivery.js';

/** Times of a host in a connected majority. */
function createTimes(nowMs: number, changes = {}) {
  return { nowMs, isCaughtUp: true, hasQuorum: true, ...changes };
}

describe('RoutingDelivery', () => {
  // Guards against versions that queue behind each other on a slow link.
  it('sends one routing at a time, then the newest', () => {
    const delivery = new RoutingDelivery();
    delivery.watch(1, 0);
    expect(delivery.takeDue(5, createTimes(0))).toEqual([1]);
    expect(delivery.takeDue(6, createTimes(100))).toEqual([]);
    expect(delivery.takeDue(9, createTimes(200))).toEqual([]);
    delivery.noteApplied(1, 5);
    expect(delivery.takeDue(9, createTimes(300))).toEqual([1]);
    delivery.noteApplied(1, 9);
    expect(delivery.takeDue(9, createTimes(10_000))).toEqual([]);
  });

  it('goes on after a newer routing than the one sent, from another control host', () => {
    const delivery = new RoutingDelivery();
    delivery.watch(1, 0);
    delivery.takeDue(5, createTimes(0));
    delivery.noteApplied(1, 7);
    expect(delivery.takeDue(7, createTimes(10))).toEqual([]);
    expect(delivery.takeDue(8, createTimes(20))).toEqual([1]);
  });

  // Guards against a session that is sent the same large routing again and again.
  it('sends again after a time that doubles until the session applies one', () => {
    const delivery = new RoutingDelivery();
    delivery.watch(1, 0);
    const sentAtMs: number[] = [];
    const runTo = (fromMs: number, untilMs: number, index: number) => {
      for (let nowMs = fromMs; nowMs < untilMs; nowMs += 20) {
        if (delivery.takeDue(index, createTimes(nowMs)).length > 0) sentAtMs.push(nowMs);
      }
    };
    runTo(0, 10_000, 5);
    expect(sentAtMs).toEqual([0, 1, 3, 7].map((times) => times * RESEND_AFTER_MS));
    delivery.noteApplied(1, 5);
    sentAtMs.length = 0;
    runTo(10_000, 12_000, 6);
    expect(sentAtMs).toEqual([10_000, 10_000 + RESEND_AFTER_MS]);
  });

  // Guards against a superseded routing from a host that replays its log.
  it('waits until the host is caught up, or has had no majority for a while', () => {
    const delivery = new RoutingDelivery();
    delivery.watch(1, 0);
    const replaying = { isCaughtUp: false };
    expect(delivery.takeDue(5, createTimes(1_000, replaying))).toEqual([]);
    expect(delivery.takeDue(5, createTimes(9_000, replaying))).toEqual([]);
    const alone = { isCaughtUp: false, hasQuorum: false };
    expect(delivery.takeDue(5, createTimes(8_999 + ALONE_AFTER_MS, alone))).toEqual([]);
    expect(delivery.takeDue(5, createTimes(9_000 + ALONE_AFTER_MS, alone))).toEqual([1]);
  });
});

describe('a control host that sends its routing to gateways', () => {
  // Guards against a gateway on a slow link that applies each version of a series in turn.
  it('sends a slow one only the newest version of a series', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster();
    const slow = addGateway('g-slow', [followers()[0]!]);
    cluster.run(1_000);
    slow.routingMs = 600;
    for (let version = 1; version <= 8; version += 1) {
      changeRouting(version);
      cluster.run(50);
    }
    cluster.run(2_000);
    expect(slow.sentIndexes.length).toBe(2);
    expect(slow.appliedIndex).toBe(routingIndexAt(cluster.leader()));
  });

  // Guards against a gateway that misses a push and serves the old routing until the next change.
  it('sends again what a gateway dropped', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const gateway = addGateway('g-1', [cluster.leader()]);
    cluster.run(1_000);
    gateway.applies = false;
    changeRouting(1);
    cluster.run(500);
    gateway.applies = true;
    cluster.run(1_000);
    expect(gateway.appliedIndex).toBe(routingIndexAt(cluster.leader()));
  });

  // Guards against a gateway that starts with a routing that was replaced long ago.
  it('sends nothing superseded after its restart', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster({
      snapshotEvery: 4,
    });
    for (let version = 1; version <= 6; version += 1) {
      changeRouting(version);
      cluster.run(500);
    }
    const [host] = followers();
    host!.crash();
    changeRouting(7);
    cluster.run(1_000);
    host!.start();
    const gateway = addGateway('g-1', [host!]);
    cluster.run(3_000);
    expect(gateway.sentIndexes).toEqual([routingIndexAt(cluster.leader())]);
  });

  // Guards against gateways without a routing while no majority of control hosts runs.
  it('sends what it has once it has had no leader for 3 s', () => {
    const { cluster, addGateway, changeRouting, followers } = createRoutedCluster();
    changeRouting(1);
    cluster.run(1_000);
    const [host, other] = followers();
    const routingIndex = routingIndexAt(host!);
    cluster.leader().crash();
    other!.crash();
    cluster.run(1_000);
    const gateway = addGateway('g-1', [host!]);
    cluster.run(ALONE_AFTER_MS - 1_500);
    expect(gateway.sentIndexes).toEqual([]);
    cluster.run(1_500);
    expect(gateway.sentIndexes).toEqual([routingIndex]);
  });

  // Guards against a gateway that is sent nothing more after its session was replaced.
  it('sends a gateway that comes back what it missed', () => {
    const { cluster, addGateway, changeRouting } = createRoutedCluster();
    const host = cluster.leader();
    const gateway = addGateway('g-1', [host]);
    cluster.run(1_000);
    gateway.unlink(host);
    changeRouting(1);
    cluster.run(500);
    gateway.link(host);
    cluster.run(100);
    expect(gateway.appliedIndex).toBe(routingIndexAt(host));
  });
});
