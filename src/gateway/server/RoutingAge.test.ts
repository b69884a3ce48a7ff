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
  const world = await startLinkedGateway(stops, { report });
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
    expect(linesOf('routing_state').join()).not.toMatch(/ state=(behind|unconfirmed|cut-off) /);
  });
});

describe('a gateway that is cut off from all control hosts', () => {
  // Guards against an outage of hosts that still reach callers and backend servers.
  it('serves on by its last routing, without further waits', async () => {
    const { control, call, linesOf } = await startServing({ routingIndex: 1, isCurrent: true });
    control.report = null;
    const states = () => linesOf('routing_state').map((line) => / state=(\S+)/.exec(line)?.[1]);
    await waitUntil(() => states().includes('cut-off'), 'the end of the wait');
    expect(states()).toEqual(['starting', 'current', 'unconfirmed', 'cut-off']);
    expect((await call()).statusCode).toBe(200);
    control.report = { routingIndex: 1, isCurrent: true };
    await waitUntil(() => states().at(-1) === 'current', 'the news');
  });
});

describe('a gateway that has just started', () => {
  // Guards against calls served by a superseded routing of a control host that restarted just before.
  it('is not ready, and refuses calls, until it has the routing that a current one reports', async () => {
    const report = { routingIndex: 2, isCurrent: true };
    const { gateway, control, record, call, linesOf } = await startLinkedGateway(stops, { report });
    control.sendRouting(createView(1));
    control.sendBackends([record]);
    await waitUntil(() => linesOf('backend_learned').length === 1, 'the lists');
    const refused = await call();
    expect([gateway.routing.version, refused.statusCode]).toEqual([1, 503]);
    expect(refused.headers['egret-outcome']).toBe('not-run');
    expect(linesOf('gateway_ready')).toEqual([]);
    control.sendRouting(createView(2));
    await waitUntil(() => gateway.isReady, 'readiness');
    expect((await call()).statusCode).toBe(200);
    control.sendRouting(createView(1));
    control.sendRouting(createView(3));
    await waitUntil(() => gateway.routing.version === 3, 'a newer routing');
    await waitUntil(() => linesOf('routing_applied').length >= 3, 'the log');
    expect(linesOf('routing_applied').map((line) => / index=(\d+)/.exec(line)?.[1])).toEqual([
      '1',
      '2',
      '3',
    ]);
  });

  it('holds calls until then', async () => {
    const report = { routingIndex: 2, isCurrent: true };
    const { control, record, call, linesOf } = await startLinkedGateway(stops, { report });
    control.sendRouting(createView(1));
    control.sendBackends([record]);
    await waitUntil(() => linesOf('backend_learned').length === 1, 'the lists');
    const held = call();
    control.sendRouting(createView(2));
    expect((await held).statusCode).toBe(200);
    await waitUntil(() => linesOf('call_answered').length === 1, 'the log');
    expect(linesOf('call_answered')[0]).toContain(' routing=2');
  });

  // Guards against a start that takes for good what a control host without a majority sends.
  it('awaits a current control host for the startup time only', async () => {
    const startedAtMs = performance.now();
    const report = { routingIndex: 1, isCurrent: false };
    const { gateway, control, record, call } = await startLinkedGateway(stops, { report });
    control.sendRouting(createView(1));
    control.sendBackends([record]);
    await waitUntil(() => gateway.isReady, 'readiness');
    expect(performance.now() - startedAtMs).toBeGreaterThan(1_500);
    expect((await call()).statusCode).toBe(200);
  });
});
