import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import type { Customer, Route, RoutingTable } from '../../common/routing/Types.js';
import { digestOfKey } from '../../runtime/KeyDigest.js';
import type { UsageCaps } from '../caps/UsageCaps.js';
import { createCompleteAnswer, createReply, soundReply, startTestGateway } from './fixtures.js';

const HOST = '127.0.0.1';

const KEY = 'key-of-a';

const BODY = 'the body';

const CUSTOMERS: readonly Customer[] = [{ name: 'a', keys: [], keyDigests: [digestOfKey(KEY)] }];

const stops: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

/** Table whose routes have changed. */
function changeRoutes(table: RoutingTable, changes: Partial<Route>): RoutingTable {
  return { ...table, routes: table.routes.map((route) => ({ ...route, ...changes })) };
}

const moveToBeta = (table: RoutingTable) =>
  changeRoutes(table, { destinations: [{ service: 'beta', weight: 1 }] });

function withBodyLimit(table: RoutingTable, bodyBytesMax: number): RoutingTable {
  return { ...table, limits: { ...table.limits, bodyBytesMax } };
}

/** Gateway that has read the head of an order, but not its body. */
async function startWithOpenOrder() {
  const counted: (string | undefined)[] = [];
  const admit: UsageCaps['admit'] = ({ customer }) => {
    counted.push(customer);
    return { admitted: true };
  };
  const backend = new RawBackend(soundReply);
  await backend.start();
  const gateway = await startTestGateway({
    alpha: { 'b-1': backend },
    route: { timeoutMs: 20_000, objectiveMs: 15_000 },
    calls: { caps: { admit } },
    customers: CUSTOMERS,
  });
  stops.push(() => gateway.stop());
  let sent!: ClientRequest;
  const answered = new Promise<IncomingMessage>((resolve, reject) => {
    const headers = { Host: 'calls.example', Key: KEY, 'Call-Id': 'c-1', 'Content-Length': 8 };
    const options = { host: HOST, port: gateway.port, method: 'POST', path: '/order/x', headers };
    sent = request({ ...options, agent: false }, (answer) => {
      answer.resume().on('end', () => resolve(answer));
    });
    sent.on('error', reject);
    sent.flushHeaders();
  });
  await waitUntil(() => counted.length === 1, 'the head of the call');
  return {
    gateway,
    counted,
    /** Applies a change of the table, and sends the body. */
    async finishUnder(change: (table: RoutingTable) => RoutingTable) {
      const table = change(gateway.table);
      gateway.routing.apply({ index: 2, version: 2, table, closedZones: [] });
      sent.end(BODY);
      return answered;
    },
    services: () =>
      gateway.logged
        .filter(({ event }) => event === 'attempt_sent')
        .map(({ fields }) => [fields.service, fields.routing]),
  };
}

describe('a call whose body arrives after a change of the routing', () => {
  // Guards against calls that are sent to a service which a confirmed change has replaced.
  it('goes to the service that the routing in force names, and is counted once', async () => {
    const { finishUnder, services, counted } = await startWithOpenOrder();
    expect((await finishUnder(moveToBeta)).statusCode).toBe(200);
    expect(services()).toEqual([['beta', 2]]);
    expect(counted).toEqual(['a']);
  });

  // Guards against calls with a key that was withdrawn, or on a route that was removed.
  it.each<[string, number, (table: RoutingTable) => RoutingTable]>([
    ['its key was withdrawn', 401, (table) => ({ ...table, customers: [] })],
    ['its route was removed', 404, (table) => ({ ...table, routes: [] })],
    ['its body is too long now', 413, (table) => withBodyLimit(table, BODY.length - 1)],
  ])('is refused as not run if %s', async (name, status, change) => {
    const { finishUnder, services, counted } = await startWithOpenOrder();
    const answer = await finishUnder(change);
    expect(answer.statusCode).toBe(status);
    expect(answer.headers['egret-outcome']).toBe('not-run');
    expect(services()).toEqual([]);
    expect(counted).toEqual(['a']);
  });
});

describe('a call that waits behind a non-idempotent one on its connection', () => {
  // Guards against calls that are sent to the service of their arrival once the answer ahead is sent.
  it('goes to the service that the routing in force names then', async () => {
    const held: (() => void)[] = [];
    const reply = createReply((socket, callId) =>
      held.push(() => socket.write(createCompleteAnswer(callId))),
    );
    const backend = new RawBackend(reply);
    await backend.start();
    const gateway = await startTestGateway({
      alpha: { 'b-1': backend },
      route: { timeoutMs: 20_000, objectiveMs: 15_000 },
    });
    const client = new RawClient(gateway.port);
    stops.push(
      () => gateway.stop(),
      () => client.close(),
    );
    client.get(['/order/1', '/read/2'], (path) => ({ Host: 'calls.example', 'Call-Id': path }));
    await waitUntil(() => held.length === 1, 'the first call at its backend server');
    const table = moveToBeta(gateway.table);
    gateway.routing.apply({ index: 2, version: 2, table, closedZones: [] });
    held[0]!();
    await waitUntil(() => client.statusCodes.length === 2, 'both answers');
    const sent = gateway.logged.filter(({ event }) => event === 'attempt_sent');
    expect(sent.map(({ fields }) => [fields.call, fields.service])).toEqual([
      ['/order/1', 'alpha'],
      ['/read/2', 'beta'],
    ]);
  });
});
