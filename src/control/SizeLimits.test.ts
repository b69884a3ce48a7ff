import { describe, expect, it } from 'vitest';
import { createRoute, createTable } from '../common/routing/fixtures.js';
import { ErrorKind } from '../common/Errors.js';
import type { Route } from '../common/routing/Types.js';
import { createRoutedCluster } from './fixtures.js';
import type { RoutingEdit } from './RoutingCommands.js';
import { AdminRequestType } from './Types.js';

/** Encoded size of a part of a table that fits into a message once, and not twice. */
const HALF_BYTES = 5 * 1024 * 1024;
const ROUTE_BYTES = 100_000;

function createRoutes(prefix: string): Route[] {
  return Array.from({ length: HALF_BYTES / ROUTE_BYTES }, (unused, index) =>
    createRoute(`${prefix}-${index}`, { pathPrefix: `/${index}/${'x'.repeat(ROUTE_BYTES)}` }),
  );
}

function createPatch(upsertRoutes: readonly Route[]): RoutingEdit {
  const nothing = { removeRoutes: [], upsertServices: [], removeServices: [] };
  return { patch: { upsertRoutes, ...nothing } };
}

describe('changes of the routing beyond the size of a message', () => {
  function createCluster() {
    const { cluster, submit } = createRoutedCluster();
    const change = (version: number, edit: RoutingEdit) => {
      const result = submit(cluster.leader(), {
        type: AdminRequestType.ChangeRouting,
        changeId: `change-${version}`,
        baseVersion: version - 1,
        version,
        edit,
      });
      cluster.run(1_000);
      return result.outcome;
    };
    return { cluster, change };
  }

  // Guards against an entry that no follower can receive, behind which no change is committed.
  it('are refused before they enter the log', () => {
    const { cluster, change } = createCluster();
    const { lastIndex } = cluster.leader().reducer.raft.state.log;
    const table = createTable([...createRoutes('a'), ...createRoutes('b')]);
    expect(change(1, { table })?.error?.kind).toBe(ErrorKind.BodyTooLarge);
    expect(cluster.leader().reducer.raft.state.log.lastIndex).toBe(lastIndex);
    expect(change(1, { table: createTable() })?.error).toBeNull();
  });

  // Guards against a routing that grows by small changes until no gateway can receive it.
  it('are refused if only the resulting table is too large', () => {
    const { cluster, change } = createCluster();
    expect(change(1, { table: createTable(createRoutes('a')) })?.error).toBeNull();
    expect(change(2, createPatch(createRoutes('b')))?.error?.kind).toBe(ErrorKind.BodyTooLarge);
    expect(change(2, createPatch(createRoutes('a')))?.error).toBeNull();
    expect(cluster.leader().reducer.replicatedState.routing.view.version).toBe(2);
  });
});
