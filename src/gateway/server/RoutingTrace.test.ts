import { request } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { createTable } from '../../common/routing/fixtures.js';
import { createCompleteAnswer, createReply, startTestGateway } from './fixtures.js';
import { startLinkedGateway } from './linkFixtures.js';

const HOST = '127.0.0.1';

const stops: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

function createView(index: number) {
  return { index, version: index, table: createTable(), closedZones: [] };
}

describe('the routing of a gateway', () => {
  // Guards against a late gateway that looks like one that was sent nothing.
  it('is logged with the control host that sent it and the newest index known', async () => {
    const { control, gauge, untilGauge, linesOf } = await startLinkedGateway(stops);
    control.report = { routingIndex: 9, isCurrent: true };
    await untilGauge('egret_routing_newest_index', 9);
    expect(await gauge('egret_routing_index')).toBe(0);
    expect(await gauge('egret_routing_behind_seconds')).toBeGreaterThan(0);
    control.sendRouting(createView(7));
    await waitUntil(() => linesOf('routing_applied').length === 1, 'a routing');
    const from = `control=${HOST}:${control.port}`;
    expect(linesOf('routing_applied')[0]).toContain(`index=7 version=7 before=0 ${from} newest=9`);
    control.sendRouting(createView(9));
    await untilGauge('egret_routing_index', 9);
    expect(await gauge('egret_routing_behind_seconds')).toBe(0);
  });

  // Guards against a confirmation that waits for the next heartbeat of each gateway.
  it('is reported to the control host at once', async () => {
    const { control } = await startLinkedGateway(stops);
    // Few of a hundred applied routings coincide with a heartbeat of the timer.
    for (let index = 1; index <= 100; index += 1) control.sendRouting(createView(index));
    await waitUntil(() => control.pings.at(-1)?.appliedIndex === 100, 'the last index');
    expect(new Set(control.pings.map(({ appliedIndex }) => appliedIndex)).size).toBeGreaterThan(50);
  });
});

describe('a call', () => {
  // Guards against a log that names the routing at the end of a call as the one it was served by.
  it('is logged with the version by which its service was chosen', async () => {
    const held: (() => void)[] = [];
    const reply = createReply((socket: Socket, callId) =>
      held.push(() => socket.write(createCompleteAnswer(callId))),
    );
    const backend = new RawBackend(reply);
    await backend.start();
    const gateway = await startTestGateway({
      alpha: { 'b-1': backend },
      route: { timeoutMs: 20_000, objectiveMs: 15_000 },
    });
    stops.push(() => gateway.stop());
    const headers = { Host: 'calls.example', 'Call-Id': 'c-1' };
    const answered = new Promise<void>((resolve, reject) => {
      request(
        { host: HOST, port: gateway.port, path: '/order/x', headers, agent: false },
        (answer) => {
          answer.resume().on('end', resolve);
        },
      )
        .on('error', reject)
        .end();
    });
    await waitUntil(() => held.length === 1, 'an attempt');
    gateway.routing.apply({ index: 2, version: 2, table: gateway.table, closedZones: [] });
    held[0]!();
    await answered;
    const versionOf = (event: string) =>
      gateway.logged.find((line) => line.event === event)?.fields.routing;
    expect([versionOf('attempt_sent'), versionOf('call_answered')]).toEqual([1, 1]);
  });
});
