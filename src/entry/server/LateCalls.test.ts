import { setTimeout as delay } from 'node:timers/promises';
import { v7 } from 'uuid';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Caller } from '../../../standin/Caller.js';
import { Cluster, SECRET, waitUntil } from '../../../standin/Cluster.js';
import { buildTree, OTARU } from '../../../standin/Deployments.js';
import { RawClient } from '../../../standin/RawClient.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import { silentLogger } from '../../runtime/Logger.js';
import { MessageClient } from '../../runtime/MessageClient.js';
import type { EntryServer } from './EntryServer.js';

const SYSTEM = {
  leaseMs: 3_000,
  announcementIntervalMs: 200,
  configLeaseMs: 3_000,
  configPingIntervalMs: 200,
  directoryValidMs: 600,
};

/** Time after the signal at which the supervisor of these tests ends the process. */
const STOP_MS = 4_000;

/** Time limit of the service: longer than the whole stop, so that no call of it fits in. */
const LONG_TIMEOUT_MS = 8_000;

/** Time limit with which a call fits into the stop. */
const SHORT_TIMEOUT_MS = 800;

/** Work that ends well within the stop. */
const WORK_MS = 700;

/** Work that outlasts the stop and the test. */
const ENDLESS_WORK_MS = 60_000;

/** Time in which the first part of a request surely arrives, well before the stop is over. */
const HALF_SENT_MS = 200;

const PEER_ID = 'entry-9';

/** Request of the tests; a POST request has a body, of which the rest may be sent later. */
interface RequestText {
  readonly head: string;
  readonly body: string;
}

function buildRead(path: string): RequestText {
  return { head: `GET ${path} HTTP/1.1\r\nHost: entry\r\n\r\n`, body: '' };
}

function buildOrder(path: string, headers: Readonly<Record<string, string>> = {}): RequestText {
  const body = 'send the second crew';
  const all = { Host: 'entry', 'Idempotency-Key': v7(), 'Content-Length': body.length, ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return { head: [`POST ${path} HTTP/1.1`, ...lines, '\r\n'].join('\r\n'), body };
}

describe('a planned stop of an entry host under a supervisor that ends it', () => {
  const runs: string[] = [];
  const work = { meanMs: 1, tailRatio: 1, tailMs: WORK_MS };
  const clients: RawClient[] = [];
  let cluster: Cluster;
  let caller: Caller;
  let holder: EntryServer;
  let other: EntryServer;

  beforeEach(async () => {
    work.tailMs = WORK_MS;
    runs.length = 0;
    cluster = await Cluster.start({
      deployments: [OTARU],
      tree: buildTree([OTARU], SYSTEM, {
        timeoutMs: LONG_TIMEOUT_MS,
        measuringPerSecond: 6,
        queueWaitFloorMs: 60_000,
      }),
      controlHosts: 1,
      entryHosts: 2,
      backendsPerService: 1,
      bundleBytes: 32 * 1024 * 1024,
      serviceTime: work,
      stopMs: STOP_MS,
      runLog: { recordRun: (key) => runs.push(key) },
    });
    await cluster.waitReady();
    caller = new Caller({ id: 'test', seeds: cluster.seeds });
    const holds = (entry: EntryServer) =>
      [...(entry.reducer.pools.get('ledger')?.records.values() ?? [])].some((record) =>
        record.isLeased(performance.now()),
      );
    holder = cluster.entries.find(holds)!;
    other = cluster.entries.find((entry) => entry !== holder)!;
  });

  afterEach(async () => {
    caller.close();
    clients.splice(0).forEach((client) => client.close());
    await cluster.stop();
  });

  function connect(port: number): RawClient {
    const client = new RawClient(port);
    clients.push(client);
    return client;
  }

  const backend = () => cluster.backendsOf('ledger')[0]!;

  /** Starts the planned stop; after {@link STOP_MS} all that is left is cut. */
  async function stopHost(entry: EntryServer): Promise<void> {
    const stopped = entry.stop();
    await Promise.race([stopped, delay(STOP_MS)]);
    await entry.close();
  }

  const isOver = (client: RawClient) => client.ended || client.broken;

  /** Waits for the end of the connection and returns the answers' status codes. */
  async function statusCodesOf(client: RawClient): Promise<number[]> {
    await waitUntil(() => isOver(client), 'the end of the connection');
    return client.statusCodes;
  }

  function expectNotRun(client: RawClient): void {
    expect(client.received).toContain('Egret-Outcome: not-run');
    expect(client.received).toContain('"kind":"stopping"');
    expect(client.received).toMatch(/Retry-After: \d/);
    expect(client.received).toContain('Connection: close');
  }

  const repeat = (order: RequestText, via: EntryServer) => {
    const key = /Idempotency-Key: (\S+)/.exec(order.head)![1]!;
    return caller.call({
      service: 'ledger',
      path: '/orders',
      method: 'POST',
      headers: { 'Idempotency-Key': key },
      body: order.body,
      via: { address: '127.0.0.1', port: via.port },
    });
  };

  // Guards against a call that is passed on too late to end, and then cut without an answer.
  it('refuses a call on a kept connection that can not end in time, and sends it nowhere', async () => {
    work.tailMs = ENDLESS_WORK_MS;
    const client = connect(holder.port);
    await waitUntil(() => !client.socket.connecting, 'a connection');
    const stopped = stopHost(holder);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body);
    expect(await statusCodesOf(client)).toEqual([503]);
    expectNotRun(client);
    expect(runs).toEqual([]);
    await stopped;
    expect(runs).toEqual([]);
  });

  it('serves a call on a kept connection that can end in time', async () => {
    const client = connect(other.port);
    await waitUntil(() => !client.socket.connecting, 'a connection');
    const stopped = stopHost(other);
    const headers = { 'Egret-Timeout-Ms': String(STOP_MS / 2) };
    const order = buildOrder('/ledger/orders', headers);
    client.socket.write(order.head + order.body);
    expect(await statusCodesOf(client)).toEqual([201]);
    expect(client.received).toContain('Connection: close');
    await stopped;
  });

  // Guards against a body whose rest arrives in the stop, and whose call is then cut.
  it('refuses a call whose body was half sent at the signal, if it can not end in time', async () => {
    work.tailMs = ENDLESS_WORK_MS;
    const client = connect(holder.port);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body.slice(0, 5));
    await delay(HALF_SENT_MS);
    const stopped = stopHost(holder);
    client.socket.write(order.body.slice(5));
    expect(await statusCodesOf(client)).toEqual([503]);
    expectNotRun(client);
    await stopped;
    expect(runs).toEqual([]);
  });

  it('serves a call whose body was half sent at the signal, if it can end in time', async () => {
    const client = connect(other.port);
    const headers = { 'Egret-Timeout-Ms': String(STOP_MS / 2) };
    const order = buildOrder('/ledger/orders', headers);
    client.socket.write(order.head + order.body.slice(0, 5));
    await delay(HALF_SENT_MS);
    const stopped = stopHost(other);
    client.socket.write(order.body.slice(5));
    expect(await statusCodesOf(client)).toEqual([201]);
    await stopped;
  });

  // Guards against a request that gets no answer because its body never ends.
  it('answers a call whose body does not end before the end of the stop', async () => {
    const client = connect(holder.port);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body.slice(0, 5));
    await delay(HALF_SENT_MS);
    const stopped = stopHost(holder);
    expect(await statusCodesOf(client)).toEqual([503]);
    expectNotRun(client);
    await stopped;
  });

  // Guards against a pipelined call that is passed on late and cut behind a slow one.
  it('refuses a late pipelined call behind a slow one, whose answer it still sends', async () => {
    const client = connect(holder.port);
    const [slow, late] = [buildOrder('/ledger/orders/1'), buildRead('/ledger/records/2')];
    client.socket.write(slow.head + slow.body);
    await waitUntil(() => runs.length === 1, 'a call at the backend server');
    work.tailMs = ENDLESS_WORK_MS;
    const stopped = stopHost(holder);
    client.socket.write(late.head);
    expect(await statusCodesOf(client)).toEqual([201, 503]);
    expectNotRun(client);
    await stopped;
    expect(backend().figures.requests).toBe(1);
  });

  describe('with a peer', () => {
    let link: MessageClient;

    /** Headers of a call that a peer forwards. */
    const peerHeaders = () => ({ 'Egret-Peer': `${PEER_ID} ${link.ticket}` });

    beforeEach(async () => {
      link = new MessageClient({
        address: '127.0.0.1',
        port: holder.peerPort,
        id: PEER_ID,
        role: LinkRole.Entry,
        secret: SECRET,
        logger: silentLogger,
        fields: {},
        onOpen: () => {},
        onMessage: () => {},
        onClose: () => {},
      });
      await waitUntil(() => link.isOpen, 'a link');
    });

    afterEach(() => link.dispose());

    // Guards against a forwarded call whose connection is reset while its body is being received.
    it('answers a forwarded call whose body was half sent at the signal', async () => {
      const client = connect(holder.peerPort);
      const headers = { ...peerHeaders(), 'Egret-Timeout-Ms': String(SHORT_TIMEOUT_MS) };
      const order = buildOrder('/ledger/orders', headers);
      client.socket.write(order.head + order.body.slice(0, 5));
      await delay(HALF_SENT_MS);
      const stopped = stopHost(holder);
      await delay(SYSTEM.directoryValidMs + 500);
      client.socket.write(order.body.slice(5));
      expect(await statusCodesOf(client)).toEqual([503]);
      expect(client.received).toContain('Egret-Outcome: not-run');
      await stopped;
      expect(runs).toEqual([]);
    });

    // Guards against a forwarded call that is passed on too late to end.
    it('refuses a forwarded call that can not end in time', async () => {
      work.tailMs = ENDLESS_WORK_MS;
      const client = connect(holder.peerPort);
      await waitUntil(() => !client.socket.connecting, 'a connection');
      const stopped = stopHost(holder);
      const order = buildOrder('/ledger/orders', peerHeaders());
      client.socket.write(order.head + order.body);
      expect(await statusCodesOf(client)).toEqual([503]);
      expectNotRun(client);
      await stopped;
      expect(runs).toEqual([]);
    });
  });

  it('awaits a call that a peer has forwarded to it', async () => {
    const client = connect(other.port);
    const order = buildOrder('/ledger/orders', { 'Egret-Timeout-Ms': String(STOP_MS) });
    client.socket.write(order.head + order.body);
    await waitUntil(() => runs.length === 1, 'a call at the backend server');
    const stopped = stopHost(holder);
    await waitUntil(() => client.statusCodes.length === 1, 'an answer');
    expect(client.statusCodes).toEqual([201]);
    await stopped;
  });

  it('awaits a call that it has forwarded to a peer', async () => {
    const client = connect(other.port);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body);
    await waitUntil(() => runs.length === 1, 'a call at the backend server');
    const stopped = stopHost(other);
    expect(await statusCodesOf(client)).toEqual([201]);
    await stopped;
  });

  it('records the answer of a claimed call that it awaits', async () => {
    const client = connect(holder.port);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body);
    await waitUntil(() => runs.length === 1, 'a call at the backend server');
    const stopped = stopHost(holder);
    expect(await statusCodesOf(client)).toEqual([201]);
    await stopped;
    const answer = await repeat(order, other);
    expect([answer.statusCode, answer.headers['egret-replayed']]).toEqual([201, 'true']);
    expect(runs).toHaveLength(1);
  });

  // Guards against a call that was sent, outlasts the stop, and is cut without an answer.
  it('says that the outcome is unknown to a call that outlasts the stop', async () => {
    work.tailMs = ENDLESS_WORK_MS;
    const client = connect(holder.port);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body);
    await waitUntil(() => runs.length === 1, 'a call at the backend server');
    const stopped = stopHost(holder);
    expect(await statusCodesOf(client)).toEqual([502]);
    expect(client.received).toContain('Egret-Outcome: unknown');
    await stopped;
    const answer = await repeat(order, other);
    expect(['in-progress', 'unknown']).toContain(answer.headers['egret-outcome']);
    expect(runs).toHaveLength(1);
  });

  // Guards against a call that waits for a slot, is sent late in the stop, and is then cut.
  it('refuses calls that wait for a slot and can not end in time', async () => {
    const waiting = Array.from({ length: 12 }, () => connect(holder.port));
    work.tailMs = ENDLESS_WORK_MS;
    waiting.forEach((client, index) => {
      const order = buildOrder(`/ledger/orders/${index}`);
      const { head, body } = index % 2 === 0 ? order : buildRead(`/ledger/records/${index}`);
      client.socket.write(head + body);
    });
    const sentCount = () => backend().figures.requests;
    const queuedCount = () => holder.reducer.pools.get('ledger')!.queue.length;
    const hasAll = () => sentCount() + queuedCount() === waiting.length;
    await waitUntil(() => sentCount() > 0 && hasAll(), 'calls in the queue');
    const sent = sentCount();
    await stopHost(holder);
    await Promise.all(waiting.map((client) => statusCodesOf(client)));
    expect(sentCount()).toBe(sent);
    const refused = waiting.filter((client) => client.received.includes('Egret-Outcome: not-run'));
    const unknown = waiting.filter((client) => client.received.includes('Egret-Outcome: unknown'));
    expect([refused.length, unknown.length]).toEqual([waiting.length - sent, sent]);
  });

  it('cuts a download that outlasts the stop so that its caller can tell, and ends in time', async () => {
    const client = connect(holder.port);
    client.socket.pause();
    client.get(['/chartroom/bundles/a'], () => ({ Host: 'entry' }));
    const startedAtMs = performance.now();
    const bundles = cluster.backendsOf('chartroom')[0]!;
    await waitUntil(() => bundles.figures.requests > 0, 'a call at the backend server');
    await stopHost(holder);
    expect(performance.now() - startedAtMs).toBeLessThan(2 * STOP_MS);
    client.socket.resume();
    await waitUntil(() => isOver(client), 'the end of the connection');
    expect(client.received).toContain('HTTP/1.1 200');
    expect(client.receivedBytes).toBeLessThan(bundles.bundle.bytes.length);
  });

  // Guards against a second signal that starts another stop or ends the first one early.
  it('goes on as before on a second signal', async () => {
    const client = connect(holder.port);
    const order = buildOrder('/ledger/orders');
    client.socket.write(order.head + order.body);
    await waitUntil(() => runs.length === 1, 'a call at the backend server');
    const first = holder.stop();
    await delay(100);
    const second = holder.stop();
    expect(await statusCodesOf(client)).toEqual([201]);
    await Promise.all([first, second]);
    expect(backend().figures.requests).toBe(1);
  });
});
