import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { createRoute, createTable } from '../../common/routing/fixtures.js';
import type { RoutingView } from '../../common/routing/Types.js';
import { startLinkedGateway } from './linkFixtures.js';

const stops: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

function createView(index: number): RoutingView {
  const routes = [createRoute('read', { timeoutMs: 10_000 })];
  return { index, version: index, table: createTable(routes), closedZones: [] };
}

/** Gateway that applies index 1, confirmed by a control host with this report. */
async function startServing(report: { routingIndex?: number; isCurrent?: boolean }) {
  const world = await startLinkedGateway(stops);
  world.control.report = report;
  world.control.sendRouting(createView(1));
  world.control.sendBackends([world.record]);
  await waitUntil(() => world.gateway.isReady, 'readiness');
  expect((await world.call()).statusCode).toBe(200);
  return world;
}

describe('a gateway that was not sent a newer routing', () => {
  // Guards against calls that are served by a routing which a confirmed change has replaced.
  it('refuses calls as not run and is not ready until it has applied it', async () => {
    const { gateway, control, call, readiness } = await startServing({
      routingIndex: 1,
      isCurrent: true,
    });
    control.report = { routingIndex: 2, isCurrent: true };
    await waitUntil(() => !gateway.isReady, 'the refusal');
    const refused = await call();
    expect(refused.statusCode).toBe(503);
    expect(refused.headers['egret-outcome']).toBe('not-run');
    expect(Number(refused.headers['retry-after'])).toBeLessThan(0.5);
    expect(await readiness()).toBe(503);
    await waitUntil(() => control.pings.at(-1)?.cutOff === true, 'a heartbeat that says so');
    control.sendRouting(createView(2));
    await waitUntil(() => gateway.isReady, 'readiness again');
    expect((await call()).statusCode).toBe(200);
    expect(await readiness()).toBe(200);
    await waitUntil(() => control.pings.at(-1)?.cutOff === false, 'a heartbeat that says so');
  });

  // Guards against refusals beside control hosts of the version before.
  it('serves on if its control hosts do not report their routing', async () => {
    const { control, call, linesOf } = await startServing({});
    control.report = null;
    await waitUntil(() => control.pings.length > 15, 'heartbeats without answers');
    expect((await call()).statusCode).toBe(200);
    expect(linesOf('routing_state')).toEqual([]);
  });
});

describe('a gateway that is cut off from all control hosts', () => {
  // Guards against an outage of hosts that still reach callers and backend servers.
  it('serves on by its last routing, without further waits', async () => {
    const { control, call, linesOf } = await startServing({ routingIndex: 1, isCurrent: true });
    control.report = null;
    await waitUntil(() => linesOf('routing_state').length === 2, 'both states');
    expect(linesOf('routing_state').join()).toMatch(/state=unconfirmed .*state=cut-off /);
    expect((await call()).statusCode).toBe(200);
    control.report = { routingIndex: 1, isCurrent: true };
    await waitUntil(() => linesOf('routing_state').length === 3, 'the news');
    expect(linesOf('routing_state')[2]).toContain('state=current ');
  });
});
