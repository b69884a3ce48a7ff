import http from 'node:http';
import net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { v4, v7 } from 'uuid';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Fault } from '../../../standin/BackendStandin.js';
import { Caller, type CallerAnswer, type CallerRequest } from '../../../standin/Caller.js';
import { Cluster, waitUntil } from '../../../standin/Cluster.js';
import { buildTree, OTARU, serviceToken } from '../../../standin/Deployments.js';
import { BackendLifecycleState } from '../../common/Enums.js';

const SYSTEM = {
  leaseMs: 3_000,
  announcementIntervalMs: 200,
  configLeaseMs: 4_000,
  configPingIntervalMs: 200,
  directoryValidMs: 800,
};
const HOST = '127.0.0.1';

/** Callers send for this long after a planned stop began, while their directory answer is valid. */
const SEND_AFTER_STOP_MS = 600;

function createAnnouncement(changes: object = {}) {
  return {
    service: 'ledger',
    address: HOST,
    port: 9,
    availabilityZone: 'yoichi',
    incarnation: 1,
    sequence: 1,
    state: BackendLifecycleState.Draining,
    slots: 3,
    connections: 0,
    load: { inFlight: 0 },
    ...changes,
  };
}

/** Sends raw bytes and returns everything received until the connection closes. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect(port, HOST, () => socket.write(text));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('utf8');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
}

describe('entry host', () => {
  const runs = new Map<string, number>();
  let cluster: Cluster;
  let caller: Caller;

  beforeAll(async () => {
    cluster = await Cluster.start({
      deployments: [OTARU],
      tree: buildTree([OTARU], SYSTEM, {
        maxBodyBytes: 100_000,
        timeoutMs: 4_000,
        measuringPerSecond: 6,
      }),
      controlHosts: 3,
      entryHosts: 4,
      backendsPerService: 3,
      bundleBytes: 4 * 1024 * 1024,
      headTimeoutMs: 500,
      runLog: { recordRun: (key) => runs.set(key, (runs.get(key) ?? 0) + 1) },
    });
    await cluster.waitReady();
    caller = new Caller({ id: 'test', seeds: cluster.seeds });
  });

  afterAll(async () => {
    caller.close();
    await cluster.stop();
  });

  const call = (changes: Partial<CallerRequest> = {}) =>
    caller.call({ service: 'ledger', path: '/records/1', via: cluster.seeds[0], ...changes });

  /** Sends an order again until it is no longer reported as in progress. */
  async function resendWhileInProgress(order: Partial<CallerRequest>): Promise<CallerAnswer> {
    for (;;) {
      // Each resend depends on the previous answer.
      // eslint-disable-next-line no-await-in-loop
      const answer = await call(order);
      if (answer.headers['egret-outcome'] !== 'in-progress') return answer;
      // eslint-disable-next-line no-await-in-loop
      await delay(5);
    }
  }

  it.each<[string, Partial<CallerRequest>, number, string]>([
    ['an unknown service', { service: 'nothing' }, 404, 'unknown-service'],
    ['a POST request without a key', { method: 'POST' }, 400, 'idempotency-key-required'],
    [
      'a POST request with a UUIDv4 key',
      { method: 'POST', headers: { 'Idempotency-Key': v4() } },
      400,
      'idempotency-key-invalid',
    ],
    [
      'a POST request with an expired key',
      { method: 'POST', headers: { 'Idempotency-Key': v7({ msecs: 1_000 }) } },
      409,
      'idempotency-key-expired',
    ],
    ['a bad timeout', { headers: { 'Egret-Timeout-Ms': 'soon' } }, 400, 'bad-request'],
    ['a long body', { method: 'PUT', body: 'x'.repeat(100_001) }, 413, 'body-too-large'],
    ['an unknown system path', { service: '', path: '/egret/v1/nothing' }, 404, 'not-found'],
    [
      'a directory request for an unknown service',
      { service: '', path: '/egret/v1/entries?service=nothing' },
      404,
      'unknown-service',
    ],
  ])('refuses %s with a typed error', async (name, request, statusCode, kind) => {
    const answer = await call(request);
    const body = JSON.parse(answer.text) as { kind: string; remedy: string };
    expect(answer.statusCode).toBe(statusCode);
    expect(body.kind).toBe(kind);
    expect(body.remedy.length).toBeGreaterThan(10);
    expect(answer.headers['egret-outcome']).toBe('not-run');
    expect((await call()).statusCode).toBe(200);
  });

  it.each([
    [
      'conflicting lengths',
      'POST /ledger/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
      '400',
      'bad-request',
    ],
    ['text that is not HTTP', 'hello\r\n\r\n', '400', 'bad-request'],
    [
      'long headers',
      `GET /ledger/x HTTP/1.1\r\nHost: x\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`,
      '431',
      'headers-too-large',
    ],
    ['an asterisk target', 'GET * HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', '400', 'bad-'],
  ])('refuses a raw request with %s', async (name, text, status, kind) => {
    const received = await sendRaw(cluster.entries[0]!.port, text);
    expect(received).toContain(`HTTP/1.1 ${status}`);
    expect(received).toContain(kind);
    expect(received).toContain('remedy');
    expect((await call()).statusCode).toBe(200);
  });

  const announce = (body: unknown, token = serviceToken('ledger')) =>
    call({
      service: '',
      path: '/egret/v1/announcements',
      method: 'POST',
      headers: { Authorization: `Bearer ${token}` },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });

  it.each([
    ['invalid JSON', '{', 400, 'bad-request'],
    ['an unknown field', createAnnouncement({ speed: 3 }), 400, 'invalid-announcement'],
    ['no slots', createAnnouncement({ slots: 0 }), 400, 'invalid-announcement'],
    ['an unknown state', createAnnouncement({ state: 'tired' }), 400, 'invalid-announcement'],
    [
      'a zone unknown to the service',
      createAnnouncement({ availabilityZone: 'perth' }),
      400,
      'invalid-announ',
    ],
    ['an unknown service', createAnnouncement({ service: 'nothing' }), 404, 'unknown-service'],
    ['a huge body', `"${'x'.repeat(300_000)}"`, 413, 'body-too-large'],
  ])('refuses an announcement with %s', async (name, body, statusCode, kind) => {
    const answer = await announce(body);
    expect(answer.statusCode).toBe(statusCode);
    expect(answer.text).toContain(kind);
  });

  it('refuses an announcement with a wrong token or a replayed sequence', async () => {
    expect((await announce(createAnnouncement(), 'wrong')).statusCode).toBe(401);
    const first = await announce(createAnnouncement({ port: 11, sequence: 5 }));
    const { announceTo } = JSON.parse(first.text) as {
      announceTo: { address: string; port: number };
    };
    const announceSequence = (sequence: number) =>
      caller.call({
        service: '',
        path: '/egret/v1/announcements',
        method: 'POST',
        via: announceTo,
        headers: { Authorization: `Bearer ${serviceToken('ledger')}` },
        body: JSON.stringify(createAnnouncement({ port: 11, sequence })),
      });
    expect((await announceSequence(6)).statusCode).toBe(200);
    const replayed = await announceSequence(6);
    expect(replayed.statusCode).toBe(409);
    expect(replayed.text).toContain('replayed-sequence');
  });

  it('replays the answer of a repeated order and refuses its key for another order', async () => {
    const headers = { 'Idempotency-Key': v7() };
    const order = { service: 'dispatch', path: '/orders', method: 'POST', headers, body: 'crew' };
    const first = await call(order);
    const second = await call({ ...order, via: cluster.seeds[1] });
    expect([first.statusCode, second.statusCode]).toEqual([201, 201]);
    expect(second.headers['egret-replayed']).toBe('true');
    expect(second.text).toBe(first.text);
    expect(runs.get(headers['Idempotency-Key'])).toBe(1);
    const other = await call({ ...order, body: 'another crew' });
    expect(other.text).toContain('idempotency-key-reused');
  });

  it('records a complete answer or an unknown outcome if the caller disconnects', async () => {
    const backends = cluster.backendsOf('dispatch');
    for (let round = 0; round < 20; round += 1) {
      const headers = { 'Idempotency-Key': v7(), 'Content-Length': '4' };
      const abandonedRequest = http.request({
        headers,
        host: HOST,
        port: cluster.entries[round % 4]!.port,
        method: 'POST',
        path: '/dispatch/orders',
      });
      abandonedRequest.on('error', () => {});
      abandonedRequest.end('crew');
      const hasRun = () => runs.has(headers['Idempotency-Key']);
      // The orders are sent one at a time.
      // eslint-disable-next-line no-await-in-loop
      await waitUntil(hasRun, 'the order to run');
      abandonedRequest.destroy();
      const order = { service: 'dispatch', path: '/orders', method: 'POST', headers, body: 'crew' };
      // eslint-disable-next-line no-await-in-loop
      const answer = await resendWhileInProgress(order);
      expect(answer.complete).toBe(true);
      expect([201, 502]).toContain(answer.statusCode);
      expect(answer.text).toContain(answer.statusCode === 201 ? '"service"' : 'outcome-unknown');
    }
    expect(backends.length).toBe(3);
  });

  it('continues a download elsewhere after a backend server truncated it', async () => {
    const bundles = cluster.backendsOf('chartroom');
    bundles[0]!.fault = Fault.Truncate;
    bundles[1]!.fault = Fault.Truncate;
    const answers = await Promise.all(
      Array.from({ length: 4 }, () => call({ service: 'chartroom', path: '/bundles/a' })),
    );
    bundles.forEach((backend) => {
      backend.fault = Fault.None;
    });
    answers.forEach((answer) => {
      expect(answer.complete).toBe(true);
      expect(answer.sha256).toBe(bundles[0]!.bundle.sha256);
    });
  });

  it('passes byte range requests and partial answers through', async () => {
    const answer = await call({
      service: 'chartroom',
      path: '/bundles/a',
      headers: { Range: 'bytes=100-299' },
    });
    expect(answer.statusCode).toBe(206);
    expect(answer.headers['content-range']).toContain('bytes 100-299/');
    expect(answer.bodyBytes).toBe(200);
  });

  it('leaves an answer visibly truncated if it cannot be continued', async () => {
    const backends = cluster.backendsOf('ledger');
    backends.forEach((backend) => {
      backend.fault = Fault.Truncate;
    });
    const answer = await call();
    backends.forEach((backend) => {
      backend.fault = Fault.None;
    });
    expect(answer.complete).toBe(false);
  });

  it.each([
    ['head', 'GET /ledger/x HTTP/1.1\r\nHost: x\r\n'],
    ['body', 'PUT /ledger/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc'],
  ])('refuses a client that stops sending inside the %s', async (name, text) => {
    const received = await sendRaw(cluster.entries[0]!.port, text);
    expect(received).toContain('HTTP/1.1 408');
    expect(received).toContain('slow-client');
    expect((await call()).statusCode).toBe(200);
  });

  it('serves health, readiness, metrics and the backend list on the admin listener', async () => {
    const admin = { address: HOST, port: cluster.entries[0]!.adminPort };
    const read = (path: string) => caller.call({ service: '', path, via: admin });
    expect((await read('/healthz')).statusCode).toBe(200);
    expect((await read('/readyz')).statusCode).toBe(200);
    expect((await read('/metrics')).text).toContain('egret_calls_total');
    expect((await read('/egret/v1/backends')).statusCode).toBe(200);
  });

  it('refuses a forwarded call without a peer ticket', async () => {
    const answer = await new Promise<number>((resolve) => {
      const { peerPort } = cluster.entries[0]!;
      http.get({ host: HOST, port: peerPort, path: '/ledger/x' }, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      });
    });
    expect(answer).toBe(401);
  });

  it('completes all downloads and calls during a planned stop', async () => {
    const index = cluster.entries.length - 1;
    const stopping = cluster.entries[index]!;
    const via = cluster.seeds[index]!;
    const stateOf = (sent: Promise<CallerAnswer>) =>
      sent.then(
        ({ statusCode, complete, text }) =>
          `${statusCode} ${complete} ${statusCode === 200 ? '' : text}`.trim(),
        (error: NodeJS.ErrnoException) => `no answer: ${error.code}`,
      );
    const sentCalls = Array.from({ length: 6 }, () =>
      stateOf(call({ service: 'chartroom', path: '/bundles/stop', via })),
    );
    await delay(5);
    const stopped = stopping.stop();
    const sendUntilMs = performance.now() + SEND_AFTER_STOP_MS;
    while (performance.now() < sendUntilMs) {
      sentCalls.push(stateOf(call({ via })));
      // eslint-disable-next-line no-await-in-loop
      await delay(20);
    }
    const states = await Promise.all(sentCalls);
    expect(states).toEqual(states.map(() => '200 true'));
    const listed = await call({ service: '', path: '/egret/v1/entries?service=ledger' });
    expect(listed.text).not.toContain(`"port":${via.port}`);
    await stopped;
    cluster.entries.pop();
    await expect(call({ via })).rejects.toThrow();
  });

  it('sends no calls to an availability zone that is out, until it is in again', async () => {
    const client = cluster.adminClient();
    const { sendChange, waitInForce } = await import('../../ctl/ChangeSender.js');
    const path = '/teams/otaru/availabilityZones/yoichi/state';
    const change = await sendChange(client, { path, value: 'out' });
    const shown = await waitInForce(client, change.changeId, 10_000);
    expect(shown.progress).toMatchObject({ inForce: true, behind: [] });
    const zoneBackends = cluster.backends.filter(
      (backend) => backend.options.availabilityZone === 'yoichi',
    );
    zoneBackends.forEach((backend) => backend.resetFigures());
    for (let sent = 0; sent < 30; sent += 1) {
      // The calls are sent one at a time because only two backend servers remain.
      // eslint-disable-next-line no-await-in-loop
      expect((await call()).statusCode).toBe(200);
    }
    expect(zoneBackends.every((backend) => backend.figures.requests === 0)).toBe(true);
    await sendChange(client, { path, value: 'in' });
    await waitUntil(() => {
      call({ via: undefined }).catch(() => {});
      return zoneBackends.some((backend) => backend.figures.requests > 0);
    }, 'calls in the zone after its return');
  });
});
