import http from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import { startTestGateway, type TestGateway } from './fixtures.js';

/** Backend server that answers after a while and counts what runs. */
class SlowBackend {
  port = 0;

  started = 0;

  running = 0;

  private readonly server = http.createServer((request, response) => {
    if (request.url === '/health') {
      response.end();
      return;
    }
    request.resume();
    this.started += 1;
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    response.setHeader('Call-Id', String(request.headers['call-id']));
    setTimeout(() => {
      response.setHeader('Signature', 's');
      response.end('whole');
    }, this.workMs);
  });

  constructor(private readonly workMs: number) {}

  async start(): Promise<void> {
    this.port = await listen(this.server, '127.0.0.1', 0);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }
}

/** Longer than clients that closed behind their request are served without a sign of them. */
const LONG_WORK_MS = 900;
const SHORT_WORK_MS = 150;

/** Time within which work for a client that has left must end. */
const LEFT_MS = 500;

function createRequest(method: string, id: string): string {
  const length = method === 'POST' ? 'Content-Length: 2\r\n' : '';
  const body = method === 'POST' ? 'ab' : '';
  const path = method === 'POST' ? '/order/x' : '/read/x';
  return `${method} ${path} HTTP/1.1\r\nHost: calls.example\r\nCall-Id: ${id}\r\n${length}\r\n${body}`;
}

describe('a client that closes its sending side', () => {
  let gateway: TestGateway | undefined;
  let backend: SlowBackend;
  let socket: Socket | undefined;
  let received = '';

  async function start(workMs: number): Promise<void> {
    received = '';
    backend = new SlowBackend(workMs);
    await backend.start();
    gateway = await startTestGateway({ alpha: { 'b-1': backend }, route: { timeoutMs: 3_000 } });
    socket = connect({ port: gateway.port, host: '127.0.0.1', allowHalfOpen: true });
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
  }

  const answers = () => received.match(/HTTP\/1\.1 \d{3}/g) ?? [];

  const isClosed = () => socket!.readableEnded || socket!.destroyed;

  afterEach(async () => {
    socket?.destroy();
    await gateway?.stop();
  });

  // Guards against a call that is passed on and whose connection is closed without an answer.
  it.each(['GET', 'POST'])('right behind its request gets the answer to a %s', async (method) => {
    await start(SHORT_WORK_MS);
    socket!.end(createRequest(method, 'c-1'));
    await waitUntil(isClosed, 'the end of the connection');
    expect(answers()).toEqual(['HTTP/1.1 200']);
  });

  it('behind several requests gets all answers', async () => {
    await start(SHORT_WORK_MS);
    socket!.end(['c-1', 'c-2', 'c-3'].map((id) => createRequest('GET', id)).join(''));
    await waitUntil(isClosed, 'the end of the connection');
    expect(answers()).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200', 'HTTP/1.1 200']);
  });

  // Guards against a non-idempotent call that runs, and whose client is left without its answer.
  it('gets the answer to a POST that runs, however late it closes', async () => {
    await start(LONG_WORK_MS);
    socket!.write(createRequest('POST', 'c-1'));
    await waitUntil(() => backend.started === 1, 'a run');
    await sleep(200);
    socket!.end();
    await waitUntil(isClosed, 'the end of the connection');
    expect(answers()).toEqual(['HTTP/1.1 200']);
  });

  // Guards against work for clients that have left, which looks the same on the wire, and against a
  // client that has not left and gets no answer.
  it('counts as gone if its GET takes longer: the work ends, and it is told so', async () => {
    await start(LONG_WORK_MS);
    socket!.end(createRequest('GET', 'c-1'));
    await waitUntil(() => backend.started === 1, 'a run');
    const startedAtMs = performance.now();
    await waitUntil(() => backend.running === 0, 'the end of the work');
    expect(performance.now() - startedAtMs).toBeLessThan(LEFT_MS);
    await waitUntil(isClosed, 'the end of the connection');
    expect(answers()).toEqual(['HTTP/1.1 502']);
  });

  it('counts as gone at once if it has waited for the answer to a GET', async () => {
    await start(LONG_WORK_MS);
    socket!.write(createRequest('GET', 'c-1'));
    await waitUntil(() => backend.started === 1, 'a run');
    await sleep(200);
    const closedAtMs = performance.now();
    socket!.end();
    await waitUntil(() => backend.running === 0, 'the end of the work');
    expect(performance.now() - closedAtMs).toBeLessThan(LEFT_MS / 2);
  });
});
