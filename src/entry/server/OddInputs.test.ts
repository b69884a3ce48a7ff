import { v7 } from 'uuid';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Announcer } from '../../../standin/Announcer.js';
import { Cluster, waitUntil } from '../../../standin/Cluster.js';
import { buildTree, serviceToken, type Deployment } from '../../../standin/Deployments.js';
import { oddAnswers } from '../../../standin/OddAnswers.js';
import { oddRequests } from '../../../standin/OddRequests.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { sendAll, sendBytes } from '../../../standin/SendBytes.js';
import { UnhandledFaults } from '../../../standin/UnhandledFaults.js';
import { BackendLifecycleState } from '../../common/Enums.js';

const HOST = '127.0.0.1';

const DEPLOYMENT: Deployment = {
  team: 'otaru',
  availabilityZones: ['yoichi'],
  slots: 16,
  services: [
    { service: 'ledger', backends: 0 },
    { service: 'dispatch', backends: 0 },
  ],
};

const TIMEOUT_MS = 1_000;

/** Time after which a connection without a complete answer is closed. */
const CLOSE_AFTER_MS = 60;

const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

const answers = oddAnswers();

/** Names of odd answers whose status or field name is invalid. */
const SPOILED_ANSWERS = [
  ...['000 x', '001 x', '099 x', '101 x', '600 x', '999 x'].map((status) => `status "${status}"`),
  'space before a colon',
  'space in a name',
  ...['\0', '\x01', '\t', '\x0b', '\x7f', '\xff'].map(
    (byte) => `${JSON.stringify(byte)} in a name`,
  ),
];

/** Port of the cluster's processes, and a path on it. */
interface Target {
  readonly port: () => number;
  readonly path: string;
  /** Status of an ordinary request for the path. */
  readonly status: number;
}

/** Methods by which the odd answers are requested, with the lines that they need. */
const METHODS: Readonly<Record<string, () => string>> = {
  GET: () => '',
  HEAD: () => '',
  POST: () => `Idempotency-Key: ${v7()}\r\nContent-Length: 0\r\n`,
};

describe('the product', { timeout: 120_000 }, () => {
  let cluster: Cluster;
  const announcers: Announcer[] = [];

  /** Answers a path that ends with a number with that odd answer. */
  const odd = new RawBackend((socket, { path }) => {
    const { bytes } = answers[Number(path.split('-')[1])] ?? { bytes: SOUND };
    socket.write(Buffer.from(bytes, 'latin1'));
    setTimeout(() => socket.end(), CLOSE_AFTER_MS);
  });
  const sound = new RawBackend((socket) => socket.write(SOUND));

  const announce = (service: string, { port }: RawBackend) =>
    announcers.push(
      new Announcer({
        token: serviceToken(service),
        seeds: cluster.seeds,
        describeBackend: () => ({
          service,
          address: HOST,
          port,
          availabilityZone: 'yoichi',
          incarnation: 1,
          state: BackendLifecycleState.Ready,
          slots: 16,
          inFlight: 0,
        }),
      }),
    );

  beforeAll(async () => {
    cluster = await Cluster.start({
      deployments: [DEPLOYMENT],
      tree: buildTree([DEPLOYMENT], {}, { timeoutMs: TIMEOUT_MS }),
      controlHosts: 1,
      entryHosts: 2,
    });
    await Promise.all([odd.start(), sound.start()]);
    announce('ledger', odd);
    announce('dispatch', sound);
    await waitUntil(() => cluster.leasedCount() === 2, 'the leases');
  });

  afterAll(async () => {
    announcers.forEach((announcer) => announcer.stop());
    await cluster.stop();
    await Promise.all([odd.stop(), sound.stop()]);
  });

  const statusOf = async (port: number, path: string) => {
    const answer = await sendBytes(port, `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`, {
      timeoutMs: 5_000,
    });
    return Number(answer.split(' ')[1]);
  };

  const entry = (index = 0) => cluster.entries[index]!;

  const control = () => cluster.controls[0]!;

  const targets: Record<string, Target> = {
    callers: { port: () => entry().port, path: '/dispatch/x', status: 200 },
    'callers of a forwarding host': { port: () => entry(1).port, path: '/dispatch/x', status: 200 },
    announcements: { port: () => entry().port, path: '/egret/v1/announcements', status: 400 },
    directory: {
      port: () => entry().port,
      path: '/egret/v1/entries?service=ledger',
      status: 200,
    },
    'other entry hosts': { port: () => entry().peerPort, path: '/dispatch/x', status: 401 },
    'metrics of an entry host': { port: () => entry().adminPort, path: '/metrics', status: 200 },
    'administration of a control host': {
      port: () => control().adminPort,
      path: '/egret/v1/admin/change',
      status: 400,
    },
    'links of a control host': { port: () => control().port, path: '/', status: 426 },
    'join requests': { port: () => control().port, path: '/egret/v1/control/join', status: 400 },
  };

  // Guards against a process that ends, or a port that goes silent, as a listener throws on a request.
  it.each(Object.keys(targets))('goes on after odd requests at its port for %s', async (name) => {
    const { port, path, status } = targets[name]!;
    const faults = new UnhandledFaults();
    await sendAll(port(), oddRequests({ path }));
    expect(await statusOf(port(), path)).toBe(status);
    expect(faults.end()).toEqual([]);
  });

  // Guards against a status, or a field of a head, that is none and is passed on as that of the answer.
  it.each(
    SPOILED_ANSWERS.flatMap((answer) => [
      [answer, 'the host that dispatches', 0],
      [answer, 'a host that forwards', 1],
    ]) as [string, string, number][],
  )('answers 502 for an answer with %s at %s', async (answerName, name, index) => {
    const number = answers.findIndex((answer) => answer.name === answerName);
    const head = `POST /ledger/502-${number} HTTP/1.1\r\nHost: a\r\n${METHODS.POST!()}\r\n`;
    const answer = await sendBytes(entry(index).port, head, { timeoutMs: 5_000 });
    expect(answer).toMatch(/^HTTP\/1\.1 502 /);
  });

  // Guards against an entry host that ends as it writes the answer of a faulty backend server.
  it.each(
    Object.keys(METHODS).flatMap((method) => [
      [method, 'the host that dispatches', 0],
      [method, 'a host that forwards', 1],
    ]) as [string, string, number][],
  )('goes on after odd answers to %s at %s', async (method, name, index) => {
    const faults = new UnhandledFaults();
    const { port } = entry(index);
    const requests = answers.map((_, number) => {
      const headers = `Host: a\r\n${METHODS[method]!()}`;
      return { bytes: `${method} /ledger/${index}-${number} HTTP/1.1\r\n${headers}\r\n` };
    });
    await sendAll(port, requests);
    expect(await statusOf(port, '/dispatch/x')).toBe(200);
    expect(faults.end()).toEqual([]);
  });
});
