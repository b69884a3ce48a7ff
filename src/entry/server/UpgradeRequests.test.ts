import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Announcer } from '../../../standin/Announcer.js';
import { Cluster, waitUntil } from '../../../standin/Cluster.js';
import { buildTree, serviceToken, type Deployment } from '../../../standin/Deployments.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { UnhandledFaults } from '../../../standin/UnhandledFaults.js';
import {
  exchange,
  leavingCases,
  sendAndLeave,
  TUNNEL,
  upgradeRequests,
} from '../../../standin/UpgradeRequests.js';
import { BackendLifecycleState } from '../../common/Enums.js';
import { ProcessLimits } from '../../runtime/ProcessLimits.js';

const HOST = '127.0.0.1';

const LINES = 'Host: a.example';

const DEPLOYMENT: Deployment = {
  team: 'otaru',
  availabilityZones: ['yoichi'],
  slots: 16,
  services: [{ service: 'ledger', backends: 0 }],
};

const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** HTTP port of the cluster's processes, and the status of an ordinary request for a path on it. */
interface Target {
  readonly port: () => number;
  readonly path: string;
  readonly status: number;
  /** True if the port takes links, for which another upgrade is answered 400 and ended. */
  readonly takesLinks?: boolean;
}

describe('an upgrade request to the product', { timeout: 60_000 }, () => {
  const limits = new ProcessLimits({ onEnded: () => {} });
  const backend = new RawBackend((socket) => socket.write(SOUND));
  let cluster: Cluster;
  let announcer: Announcer;

  const entry = () => cluster.entries[0]!;

  const control = () => cluster.controls[0]!;

  const targets: Record<string, Target> = {
    callers: { port: () => entry().port, path: '/ledger/x', status: 200 },
    'other entry hosts': {
      port: () => entry().peerPort,
      path: '/ledger/x',
      status: 401,
      takesLinks: true,
    },
    'metrics of an entry host': { port: () => entry().adminPort, path: '/metrics', status: 200 },
    'administration of a control host': {
      port: () => control().adminPort,
      path: '/readyz',
      status: 200,
    },
    'links of a control host': {
      port: () => control().port,
      path: '/',
      status: 426,
      takesLinks: true,
    },
  };

  const names = Object.keys(targets);

  beforeAll(async () => {
    cluster = await Cluster.start({
      deployments: [DEPLOYMENT],
      tree: buildTree([DEPLOYMENT], {}, { timeoutMs: 1_000 }),
      controlHosts: 1,
      entryHosts: 1,
      protect: limits.protect,
    });
    await backend.start();
    announcer = new Announcer({
      token: serviceToken('ledger'),
      seeds: cluster.seeds,
      describeBackend: () => ({
        service: 'ledger',
        address: HOST,
        port: backend.port,
        availabilityZone: 'yoichi',
        incarnation: 1,
        state: BackendLifecycleState.Ready,
        slots: 16,
        inFlight: 0,
      }),
    });
    await waitUntil(() => cluster.leasedCount() === 1, 'the lease');
  });

  afterAll(async () => {
    announcer.stop();
    await cluster.stop();
    await backend.stop();
    limits.dispose();
  });

  // Guards against a request that is read and gets neither an answer nor an end.
  it.each(names)('is answered as if it asked for nothing at the port for %s', async (name) => {
    const { port, path, status, takesLinks = false } = targets[name]!;
    const requests = upgradeRequests(path, LINES).filter(
      (request) => !takesLinks || request.name !== 'websocket',
    );
    const results = await Promise.all(requests.map(({ bytes }) => exchange(port(), bytes, 1)));
    const expected = takesLinks ? 400 : status;
    expect(results.map(({ statusCodes }) => statusCodes)).toEqual(requests.map(() => [expected]));
    if (takesLinks) expect(results.map(({ ended }) => ended)).toEqual(requests.map(() => true));
  });

  it.each(names)('for a tunnel is refused and ends at the port for %s', async (name) => {
    const { port } = targets[name]!;
    expect(await exchange(port(), TUNNEL.bytes, 1)).toEqual({ statusCodes: [501], ended: true });
  });

  // Guards against a process that one connection of a client ends: a socket without an owner.
  it.each(names)('leaves the process and its connections as they were, at %s', async (name) => {
    const { port, path, status } = targets[name]!;
    const faults = new UnhandledFaults();
    const before = limits.connections;
    const cases = leavingCases([...upgradeRequests(path, LINES), TUNNEL]);
    await Promise.all(cases.map(({ bytes, how }) => sendAndLeave(port(), bytes, how)));
    const ordinary = `GET ${path} HTTP/1.1\r\n${LINES}\r\n\r\n`;
    expect((await exchange(port(), ordinary, 1)).statusCodes).toEqual([status]);
    await waitUntil(() => limits.connections <= before, 'the connections to close');
    expect(faults.end()).toEqual([]);
  });
});
