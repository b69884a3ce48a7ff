import { describe, expect, it } from 'vitest';
import { createRoute, createTable } from '../common/routing/fixtures.js';
import { createRoutedCluster, routingIndexAt } from './fixtures.js';
import { CommandType } from './Commands.js';
import { RaftState } from './raft/RaftState.js';
import type { LogEntry } from './raft/Types.js';
import { DEFAULT_SNAPSHOT_POLICY, isSnapshotDue } from './SnapshotPolicy.js';
import { AdminRequestType } from './Types.js';

/** Large enough for a change of about 60 KB. */
const ROUTES = 350;
const CHANGES = 150;

/** Log that a control host may hold: a small part of its 350 MB, decoded several times as large. */
const LOG_BYTES_MAX = 4 * 1024 * 1024;

function createEntry(index: number, valueBytes: number): LogEntry {
  const change = { changeId: `change-${index}`, baseRevision: 0, path: '/teams/otaru' } as const;
  const value = 'x'.repeat(valueBytes);
  const command = {
    type: CommandType.Change,
    ...change,
    value,
    actor: 'operator',
    atMs: 0,
  } as const;
  return { index, term: 1, command };
}

function createState(entries: readonly LogEntry[], snapshotBytes: number): RaftState {
  const membership = { voters: [], learners: [] };
  const state = new RaftState({
    id: 'a',
    instanceId: 'a',
    hardState: { term: 1, votedFor: null },
    snapshot: { index: 0, term: 0, membership, bytes: new Uint8Array(snapshotBytes) },
    entries,
  });
  state.appliedIndex = state.log.lastIndex;
  return state;
}

describe('isSnapshotDue', () => {
  const largeEntries = Array.from({ length: 30 }, (unused, index) =>
    createEntry(index + 1, 100_000),
  );

  it('holds for a log of few large entries', () => {
    expect(isSnapshotDue(createState(largeEntries, 0), DEFAULT_SNAPSHOT_POLICY)).toBe(true);
    expect(isSnapshotDue(createState(largeEntries.slice(0, 10), 0), DEFAULT_SNAPSHOT_POLICY)).toBe(
      false,
    );
  });

  it('counts entries that are applied only', () => {
    const state = createState(largeEntries, 0);
    state.appliedIndex = 3;
    expect(isSnapshotDue(state, DEFAULT_SNAPSHOT_POLICY)).toBe(false);
  });

  // Guards against a host that writes a large state to its disk for each few changes of it.
  it('waits for as many bytes of log as the latest snapshot has', () => {
    const state = createState(largeEntries, 4_000_000);
    expect(isSnapshotDue(state, DEFAULT_SNAPSHOT_POLICY)).toBe(false);
  });

  it('holds for a log of many small entries', () => {
    const entries = Array.from({ length: 50 }, (unused, index) => createEntry(index + 1, 10));
    expect(isSnapshotDue(createState(entries, 0), { entries: 50, logBytes: 1e9 })).toBe(true);
  });
});

describe('control hosts with a large routing', () => {
  function createLargeCluster() {
    const { cluster, submit, followers } = createRoutedCluster();
    const table = (version: number) =>
      createTable(
        Array.from({ length: ROUTES }, (unused, index) =>
          createRoute(`route-${index}`, { timeoutMs: 1_000 + version }),
        ),
      );
    const change = (version: number) => {
      const result = submit(cluster.leader(), {
        type: AdminRequestType.ChangeRouting,
        changeId: `change-${version}`,
        baseVersion: version - 1,
        version,
        edit: { table: table(version) },
      });
      cluster.run(100);
      return result;
    };
    return { cluster, change, followers };
  }

  // Guards against control hosts that outgrow their memory, and logs on disk, by large changes.
  it('hold a log of bounded size however many changes they apply', () => {
    const { cluster, change } = createLargeCluster();
    for (let version = 1; version <= CHANGES; version += 1) change(version);
    cluster.run(1_000);
    cluster.hosts.forEach(({ reducer }) => {
      const { log } = reducer.raft.state;
      expect(log.bytesBetween(0, log.lastIndex)).toBeLessThan(LOG_BYTES_MAX);
      expect(reducer.replicatedState.routing.view.version).toBe(CHANGES);
    });
  });

  // Guards against a host that replays each change that it missed, and is late for the next fault.
  it('bring a host that was stopped meanwhile to the newest routing', () => {
    const { cluster, change, followers } = createLargeCluster();
    change(1);
    const [stopped] = followers();
    stopped!.crash();
    for (let version = 2; version <= CHANGES; version += 1) change(version);
    stopped!.start();
    cluster.run(2_000);
    expect(stopped!.reducer.replicatedState.routing.view.version).toBe(CHANGES);
    expect(routingIndexAt(stopped!)).toBe(routingIndexAt(cluster.leader()));
  });
});
