import { describe, expect, it } from 'vitest';
import { ControlCluster } from '../../../fuzz/ControlCluster.js';
import { ErrorKind } from '../../common/Errors.js';
import { ControlMessageType } from '../../common/Messages.js';
import { RolloutArm } from '../../common/rollouts/Evidence.js';
import { RolloutState, type Rollout } from '../../common/rollouts/Types.js';
import { createTable } from '../../common/routing/fixtures.js';
import { AdminRequestType, ControlEventType } from '../Types.js';

const ORDER = { service: 'alpha', toVersion: 'v2', durationMs: 12_000 };

/** Three control hosts with a routing that has service alpha. */
function createRoutedCluster() {
  const cluster = new ControlCluster({ snapshotEvery: 6 });
  cluster.admin(cluster.leader(), {
    type: AdminRequestType.ChangeRouting,
    changeId: 'change-1',
    baseVersion: 0,
    version: 1,
    edit: { table: createTable() },
  });
  const order = (changes: Partial<typeof ORDER> = {}) =>
    cluster.admin(cluster.leader(), {
      type: AdminRequestType.StartRollout,
      ...ORDER,
      ...changes,
    });
  const show = () =>
    cluster.admin(cluster.leader(), { type: AdminRequestType.ShowRollout, service: 'alpha' })
      ?.body as Rollout | null;
  const abort = () =>
    cluster.admin(cluster.leader(), { type: AdminRequestType.AbortRollout, service: 'alpha' });
  return { cluster, order, show, abort };
}

describe('orders of rollouts', () => {
  it('acknowledges the same order again without a second rollout, also after its end', () => {
    const { order, show, abort } = createRoutedCluster();
    expect(order()?.error).toBeNull();
    const first = show()!;
    expect(first).toMatchObject({ state: RolloutState.Running, share: 0, toVersion: 'v2' });
    expect(order()?.error).toBeNull();
    expect(show()!.orderIndex).toBe(first.orderIndex);
    abort();
    expect(order()?.error).toBeNull();
    expect(show()).toMatchObject({ state: RolloutState.RolledBack, orderIndex: first.orderIndex });
  });

  it('refuses another order of a service that has a running rollout', () => {
    const { order } = createRoutedCluster();
    order();
    expect(order({ toVersion: 'v3' })?.error?.kind).toBe(ErrorKind.RolloutRunning);
    expect(order({ service: 'none' })?.error?.kind).toBe(ErrorKind.UnknownService);
  });

  it('keeps the rejected version without calls when the next rollout begins', () => {
    const { order, show, abort } = createRoutedCluster();
    order();
    abort();
    order({ toVersion: 'v3' });
    expect(show()).toMatchObject({ toVersion: 'v3', rejectedVersions: ['v2'] });
  });

  it('keeps order and verdict when the leader crashes and all hosts restart from snapshots', () => {
    const { cluster, order, show, abort } = createRoutedCluster();
    order();
    cluster.leader().crash();
    cluster.run(4_000);
    expect(show()).toMatchObject({ toVersion: 'v2', state: RolloutState.Running });
    abort();
    [...cluster.hosts.values()].forEach((host) => host.alive && host.crash());
    cluster.hosts.forEach((host) => host.start());
    cluster.run(4_000);
    expect(show()).toMatchObject({ toVersion: 'v2', state: RolloutState.RolledBack });
  });

  it('passes evidence that a follower receives on to the leader', () => {
    const { cluster, order, show } = createRoutedCluster();
    order();
    const { orderIndex } = show()!;
    const leader = cluster.leader();
    const follower = [...cluster.hosts.values()].find((host) => host !== leader)!;
    const row = { route: 'read', arm: RolloutArm.Candidate, sent: 4, failed: 0, coldAnswered: 4 };
    follower.handle({
      type: ControlEventType.SessionMessage,
      sessionId: 1,
      message: {
        type: ControlMessageType.RolloutEvidence,
        gatewayId: 'g-1',
        startId: 'first',
        sequence: 1,
        service: 'alpha',
        orderIndex,
        routingIndex: orderIndex,
        rows: [{ ...row, answered: [], cancelled: [], running: [], lost: {} }],
      },
    });
    cluster.run(100);
    expect(leader.reducer.steering.exposedCalls).toBe(4);
    expect(follower.reducer.steering.exposedCalls).toBe(0);
  });

  it('rolls back at the deadline when no gateway reports anything', () => {
    const { cluster, order, show } = createRoutedCluster();
    order();
    cluster.run(12_500);
    expect(show()).toMatchObject({ state: RolloutState.RolledBack, share: 0 });
  });
});
