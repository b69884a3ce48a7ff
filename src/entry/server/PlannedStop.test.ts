import { setImmediate as immediate, setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cluster, waitUntil } from '../../../standin/Cluster.js';
import { buildTree, OTARU } from '../../../standin/Deployments.js';
import { RawClient } from '../../../standin/RawClient.js';

const SYSTEM = {
  leaseMs: 3_000,
  announcementIntervalMs: 200,
  configLeaseMs: 3_000,
  configPingIntervalMs: 200,
  directoryValidMs: 300,
};
const WORK_MS = 250;
const BUNDLE_BYTES = 1024 * 1024;

describe('callers’ connections at an entry host', () => {
  let cluster: Cluster;
  let client: RawClient;

  beforeEach(async () => {
    cluster = await Cluster.start({
      deployments: [OTARU],
      tree: buildTree([OTARU], SYSTEM, { timeoutMs: 8_000, measuringPerSecond: 6 }),
      controlHosts: 1,
      entryHosts: 2,
      backendsPerService: 3,
      bundleBytes: BUNDLE_BYTES,
      serviceTime: { meanMs: WORK_MS, tailRatio: 1, tailMs: WORK_MS },
    });
    await cluster.waitReady();
    client = new RawClient(cluster.entries[1]!.port);
  });

  afterEach(async () => {
    client.close();
    await cluster.stop();
  });

  const get = (...paths: string[]) => client.get(paths, () => ({ Host: 'entry' }));

  const requestCount = () =>
    cluster.backends.reduce((sum, backend) => sum + backend.figures.requests, 0);

  /** Starts the planned stop of the host that the client is connected to. */
  const stopHost = () => cluster.entries.pop()!.stop();

  // Guards against pipelined calls that ran and whose answers were dropped by a planned stop.
  it('answers every pipelined call that it passed on before a planned stop', async () => {
    get('/ledger/a', '/ledger/b', '/ledger/c');
    await waitUntil(() => requestCount() >= 3, 'three calls at the backend servers');
    const stopped = stopHost();
    await waitUntil(() => client.ended, 'end of the connection');
    expect(client.statusCodes).toEqual([200, 200, 200]);
    await stopped;
  });

  // Guards against a connection that the kernel has accepted, and that is reset because the process
  // was busy until it closed its listener.
  it('answers a call whose connection waits to be accepted when the listener closes', async () => {
    const { port } = cluster.entries[1]!;
    const stopped = stopHost();
    await delay(SYSTEM.directoryValidMs / 2);
    // The loop goes on with its timers after an immediate, before it accepts connections.
    await immediate();
    const late = new RawClient(port);
    late.get(['/ledger/a'], () => ({ Host: 'entry' }));
    const untilMs = performance.now() + SYSTEM.directoryValidMs;
    while (performance.now() < untilMs);
    await waitUntil(() => late.ended || late.broken, 'end of the connection');
    expect(late.statusCodes).toEqual([200]);
    await stopped;
  });

  // Guards against answers that are cut because their connection counts as idle while it sends.
  it('sends all answers completely to a slow reader before a planned stop ends', async () => {
    const names = Array.from({ length: 9 }, (unused, index) => `/chartroom/bundles/${index}`);
    client.socket.pause();
    get(...names);
    await waitUntil(() => requestCount() >= 1, 'a call at a backend server');
    const stopped = stopHost();
    await delay(SYSTEM.directoryValidMs + 400);
    client.socket.resume();
    await stopped;
    await waitUntil(() => client.ended || client.broken, 'end of the connection');
    expect(client.receivedBytes).toBeGreaterThan(names.length * BUNDLE_BYTES);
  });

  // Guards against a stop that waits for calls whose callers have left.
  it('removes every pipelined call when its caller disconnects', async () => {
    get('/ledger/a', '/ledger/b', '/ledger/c');
    await waitUntil(() => requestCount() >= 3, 'three calls at the backend servers');
    client.close();
    await waitUntil(() => cluster.backends.every(({ inFlight }) => inFlight === 0), 'idle servers');
    await delay(WORK_MS);
    const startedAtMs = performance.now();
    await stopHost();
    expect(performance.now() - startedAtMs).toBeLessThan(5_000);
  });
});
