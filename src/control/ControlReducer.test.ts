import { describe, expect, it } from 'vitest';
import { ControlCluster, valueAt } from '../../fuzz/ControlCluster.js';
import { ControlMessageType, type ControlToEntryMessage } from '../common/Messages.js';
import { createEntryHost } from '../gateway/fixtures.js';
import { AuditOutcome } from './ReplicatedState.js';
import { DEFAULT_RAFT_TIMING } from './raft/RaftState.js';
import { AdminRequestType, ControlEventType } from './Types.js';

const PARTITION_MS = 180_000;

/** Leader with watching entry hosts, and the messages that it sends to them. */
function createSessions(sessionIds: readonly number[]) {
  const sent: { sessionId: number; message: ControlToEntryMessage }[] = [];
  const cluster = new ControlCluster({
    sendSession: (sessionId, message) => sent.push({ sessionId, message }),
  });
  const host = cluster.leader();
  sessionIds.forEach((sessionId) => {
    const entryHost = createEntryHost(`e-${sessionId}`);
    const hello = { type: ControlMessageType.Hello, entryHost } as const;
    host.handle({ type: ControlEventType.SessionMessage, sessionId, message: hello });
    const watch = { type: ControlMessageType.Watch, routingIndex: 0 } as const;
    host.handle({ type: ControlEventType.SessionMessage, sessionId, message: watch });
  });
  return { host, sent };
}

describe('ControlReducer', () => {
  it('acknowledges nothing on an old leader that is partitioned for minutes', () => {
    const cluster = new ControlCluster({ snapshotEvery: 120 });
    const oldLeader = cluster.leader();
    cluster.network.cut([oldLeader.options.id], 1);
    const unacknowledged = cluster.change(oldLeader, 9_999);
    cluster.run(5_000);
    expect(unacknowledged).toBeUndefined();
    const newLeader = cluster.leader();
    expect(newLeader).not.toBe(oldLeader);
    for (let value = 1; value <= 300; value += 1) {
      expect(cluster.change(cluster.leader(), value)?.outcome).toBe(AuditOutcome.Accepted);
    }
    cluster.run(PARTITION_MS);
    const type = AdminRequestType.GetSettings;
    expect(cluster.admin(oldLeader, { type, path: '/system' })?.error?.kind).toBe('no-quorum');
    expect(cluster.change(oldLeader, 9_998)).toBeUndefined();
    expect(valueAt(oldLeader)).toBe(512);
    cluster.network.heal();
    cluster.run(5_000);
    expect(valueAt(oldLeader)).toBe(300);
    expect(valueAt(cluster.leader())).toBe(300);
  });

  it('accepts exactly one of two changes with the same base, before and after restarts', () => {
    const cluster = new ControlCluster({ snapshotEvery: 20 });
    const leader = cluster.leader();
    const baseRevision = leader.reducer.replicatedState.subtreeRevision('otaru');
    const first = cluster.change(leader, 1, { changeId: 'mine', baseRevision });
    const second = cluster.change(leader, 2, { changeId: 'yours', baseRevision });
    expect(first?.outcome).toBe(AuditOutcome.Accepted);
    expect(second).toMatchObject({ outcome: AuditOutcome.Conflict, revision: first!.revision });
    const resend = () => ({
      mine: cluster.change(cluster.leader(), 1, { changeId: 'mine', baseRevision }),
      yours: cluster.change(cluster.leader(), 2, { changeId: 'yours', baseRevision }),
    });
    expect(resend()).toEqual({ mine: first, yours: second });
    for (let value = 10; value < 60; value += 1) cluster.change(cluster.leader(), value);
    const hosts = [...cluster.hosts.values()];
    expect(hosts.every((host) => host.reducer.raft.state.log.snapshot.index > 0)).toBe(true);
    hosts.forEach((host) => host.crash());
    hosts.forEach((host) => host.start());
    cluster.run(5_000);
    expect(resend()).toEqual({ mine: first, yours: second });
    expect(valueAt(cluster.leader())).toBe(59);
  });

  it('restores revision and settings after 1,000 changes and a restart of all hosts', () => {
    const cluster = new ControlCluster({ snapshotEvery: 300 });
    for (let value = 1; value <= 1_000; value += 1) cluster.change(cluster.leader(), value);
    const before = cluster.leader().reducer.replicatedState;
    const hosts = [...cluster.hosts.values()];
    hosts.forEach((host) => host.crash());
    hosts.forEach((host) => host.start());
    cluster.run(5_000);
    hosts.forEach((host) => {
      expect(host.reducer.replicatedState.revision).toBe(before.revision);
      expect(host.reducer.replicatedState.tree).toEqual(before.tree);
    });
  });

  it('elects a leader before any election timeout once all hosts restart and are linked', () => {
    const firstTimeoutMs = 0.15 * DEFAULT_RAFT_TIMING.electionTimeoutMs;
    const seeds = Array.from({ length: 20 }, (unused, index) => index + 1);
    const elected = seeds.filter((seed) => {
      const cluster = new ControlCluster({ seed });
      const hosts = [...cluster.hosts.values()];
      hosts.forEach((host) => host.crash());
      cluster.run(1_000);
      hosts.forEach((host) => host.start());
      hosts.forEach((host) => host.linkTo(hosts.filter((other) => other !== host)));
      cluster.run(firstTimeoutMs);
      return hosts.some((host) => host.reducer.raft.isLeader);
    });
    // Two candidates may split the vote; with three voters this is rare and costs one timeout.
    expect(elected.length).toBeGreaterThanOrEqual(18);
  });

  it('sends a crash report to every entry host but the reporter', () => {
    const { host, sent } = createSessions([1, 2, 3]);
    const report = { fingerprint: 'GET /read/x', backendId: 'b-1', bornMs: 7 };
    const message = { type: ControlMessageType.CrashReport, ...report } as const;
    host.handle({ type: ControlEventType.SessionMessage, sessionId: 2, message });
    const forwarded = sent.filter((push) => push.message.type === ControlMessageType.CrashReport);
    expect(forwarded).toEqual([1, 3].map((sessionId) => ({ sessionId, message })));
  });

  it.each([1.5, null])(
    'sends a report of the limit %j to every entry host but the reporter',
    (perSecond) => {
      const { host, sent } = createSessions([1, 2, 3]);
      const report = { backendId: 'b-1', bornMs: 7, perSecond };
      const message = { type: ControlMessageType.LimitReport, ...report } as const;
      host.handle({ type: ControlEventType.SessionMessage, sessionId: 2, message });
      const forwarded = sent.filter((push) => push.message.type === ControlMessageType.LimitReport);
      expect(forwarded).toEqual([1, 3].map((sessionId) => ({ sessionId, message })));
    },
  );

  it('sends the voters only to an entry host that reports another membership', () => {
    const { host, sent } = createSessions([1]);
    const ping = (reportedIndex: number) => {
      sent.length = 0;
      host.handle({
        type: ControlEventType.SessionMessage,
        sessionId: 1,
        message: {
          type: ControlMessageType.Ping,
          pingId: 1,
          appliedIndex: 0,
          subscribe: false,
          stopping: false,
          membershipIndex: reportedIndex,
        },
      });
      const [pong] = sent.map((push) => push.message);
      return pong?.type === ControlMessageType.Pong ? pong.voters.length : undefined;
    };
    const { membershipIndex } = host.reducer.raft.state.log;
    expect(ping(membershipIndex - 1)).toBe(3);
    expect(ping(membershipIndex)).toBe(0);
  });

  it('starts no election against a live leader when a restarted host is linked', () => {
    const cluster = new ControlCluster();
    const leader = cluster.leader();
    const { term } = leader.reducer.raft.state;
    const restarted = [...cluster.hosts.values()].find((host) => host !== leader)!;
    restarted.crash();
    cluster.run(2_000);
    restarted.start();
    restarted.linkTo([...cluster.hosts.values()].filter((host) => host !== restarted));
    cluster.run(2_000);
    expect(cluster.leader()).toBe(leader);
    expect(leader.reducer.raft.state.term).toBe(term);
  });

  it('loses nothing when a second host is lost before a replacement has caught up', () => {
    const cluster = new ControlCluster();
    for (let value = 1; value <= 50; value += 1) cluster.change(cluster.leader(), value);
    const leader = cluster.leader();
    const [lost, other] = [...cluster.hosts.values()].filter((host) => host !== leader);
    lost!.crash();
    // The lost voter returns with an empty disk under its old id; it counts towards no quorum.
    lost!.replaceDisk();
    lost!.start();
    const replacement = cluster.addHost('control-9');
    cluster.network.cut(['control-9'], 3);
    const type = AdminRequestType.AddMember;
    const added = { type, id: 'control-9', address: 'control-9', port: 1 } as const;
    expect(cluster.admin(leader, added)?.error).toBeNull();
    const promote = { type: AdminRequestType.PromoteMember, id: 'control-9' } as const;
    expect(cluster.admin(leader, promote)?.error?.kind).toBe('conflict');
    other!.crash();
    cluster.run(10_000);
    expect(cluster.change(leader, 99)).toBeUndefined();
    expect([...cluster.hosts.values()].some((host) => host.reducer.raft.isLeader)).toBe(false);
    other!.start();
    cluster.network.heal();
    cluster.run(10_000);
    expect(valueAt(cluster.leader())).toBeGreaterThanOrEqual(50);
    expect(cluster.admin(cluster.leader(), promote)?.error).toBeNull();
    cluster.run(2_000);
    expect(valueAt(replacement)).toBe(valueAt(cluster.leader()));
    const remove = { type: AdminRequestType.RemoveMember, id: lost!.options.id } as const;
    expect(cluster.admin(cluster.leader(), remove)?.error).toBeNull();
    expect(cluster.change(cluster.leader(), 77)?.outcome).toBe(AuditOutcome.Accepted);
  });

  it.each([1, 2, 3, 4, 5, 6, 7, 8])('loses no acknowledged change to crashes, seed %i', (seed) => {
    const cluster = new ControlCluster({ seed, snapshotEvery: 15, count: seed % 2 ? 3 : 5 });
    const hosts = [...cluster.hosts.values()];
    let acknowledged = 0;
    for (let round = 1; round <= 25; round += 1) {
      const victim = hosts[(round * seed) % hosts.length]!;
      const currentLeader = hosts.find((host) => host.alive && host.reducer.raft.isLeader);
      if (currentLeader) {
        cluster.timeline.after((round * 7) % 13, () => victim.crash());
        const result = cluster.change(currentLeader, round);
        if (result?.outcome === AuditOutcome.Accepted) acknowledged = result.revision;
      }
      cluster.run(1_500);
      hosts.filter((host) => !host.alive).forEach((host) => host.start());
      cluster.run(2_500);
      expect(cluster.leader().reducer.replicatedState.revision).toBeGreaterThanOrEqual(
        acknowledged,
      );
    }
    expect(acknowledged).toBeGreaterThan(10);
  });

  it.each([
    ['settings of another team', '/teams/swanbourne/services', 'forbidden'],
    ['system settings', '/system/leaseMs', 'forbidden'],
  ])('refuses a team token for %s and keeps an audit record of the refusal', (name, path, kind) => {
    const cluster = new ControlCluster();
    const leader = cluster.leader();
    const token = 'b'.repeat(64);
    const operator = { tokenHash: token, team: 'otaru', role: 'operator' };
    cluster.admin(leader, {
      type: AdminRequestType.Change,
      changeId: 'operator',
      baseRevision: leader.reducer.replicatedState.subtreeRevision('system'),
      path: '/system/operators/duty',
      value: operator,
    });
    let refused: string | undefined;
    const type = AdminRequestType.Change;
    const request = { type, changeId: 'x', baseRevision: 1, path, value: 1 } as const;
    leader.admin(request, token, (body, error) => {
      refused = error?.kind;
    });
    cluster.run(200);
    expect(refused).toBe(kind);
    const audit = cluster.admin(leader, { type: AdminRequestType.Audit, limit: 1 });
    expect(audit?.body).toMatchObject({
      records: [{ actor: 'duty', path, outcome: 'refused', detail: kind }],
    });
  });
});
