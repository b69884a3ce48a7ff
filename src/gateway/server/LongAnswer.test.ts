import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawClient } from '../../../standin/RawClient.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import { startTestGateway, type TestGateway } from './fixtures.js';

/** Longer than the answers that a gateway buffers to retry the call. */
const LONG_BYTES = 1024 * 1024;

/** Backend server whose answer to `/read/long` waits halfway until it is completed or broken off. */
class StreamingBackend {
  port = 0;

  /** Paths of the requests that it ran. */
  readonly paths: string[] = [];

  private readonly halves: http.ServerResponse[] = [];

  private readonly server = http.createServer((request, response) => {
    const path = request.url ?? '';
    if (path === '/health') {
      response.end();
      return;
    }
    response.setHeader('Call-Id', String(request.headers['call-id']));
    response.setHeader('Signature', 's');
    this.paths.push(path);
    if (path !== '/read/long') {
      response.end('short');
      return;
    }
    response.setHeader('Content-Length', LONG_BYTES);
    response.write(Buffer.alloc(LONG_BYTES / 2, 'l'));
    this.halves.push(response);
  });

  get isHalfway(): boolean {
    return this.halves.length > 0;
  }

  async start(): Promise<void> {
    this.port = await listen(this.server, '127.0.0.1', 0);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  complete(): void {
    this.halves.splice(0).forEach((response) => response.end(Buffer.alloc(LONG_BYTES / 2, 'l')));
  }

  breakOff(): void {
    this.halves.splice(0).forEach((response) => response.socket?.resetAndDestroy());
  }
}

describe('calls behind a long answer on a connection', () => {
  let gateway: TestGateway | undefined;
  let backend: StreamingBackend;
  let client: RawClient;
  let calls = 0;

  async function start(): Promise<void> {
    backend = new StreamingBackend();
    await backend.start();
    gateway = await startTestGateway({
      alpha: { 'b-1': backend },
      route: { timeoutMs: 5_000, attemptsMax: 1 },
    });
    client = new RawClient(gateway.port);
  }

  const get = (...paths: string[]) =>
    client.get(paths, () => {
      calls += 1;
      return { Host: 'calls.example', 'Call-Id': `c-${calls}` };
    });

  const shortRuns = () => backend.paths.filter((path) => path !== '/read/long').length;

  afterEach(async () => {
    client.close();
    await gateway?.stop();
  });

  // Guards against calls that ran, and whose answers are lost with that of the call before them.
  it('are answered if they were passed on before it breaks off', async () => {
    await start();
    get('/read/long', '/read/a', '/read/b', '/read/c');
    await waitUntil(() => backend.isHalfway && shortRuns() === 3, 'three calls behind');
    backend.breakOff();
    await waitUntil(() => client.statusCodes.length === 4 || client.ended, 'four answers');
    expect(client.statusCodes).toEqual([502, 200, 200, 200]);
  });

  // Guards against calls that are passed on, though the answer before them may end the connection.
  it('are not passed on while it is being streamed', async () => {
    await start();
    get('/read/long');
    await waitUntil(() => client.receivedBytes > LONG_BYTES / 4, 'the first half');
    get('/read/a', '/read/b');
    await waitUntil(() => gateway!.openCalls() === 3, 'the calls behind');
    // Longer than a pick and a call over loopback take.
    await sleep(100);
    backend.breakOff();
    await waitUntil(() => client.ended || client.broken, 'the end of the connection');
    expect(shortRuns()).toBe(0);
  });

  it.each([
    ['before it began', true],
    ['while it is being streamed', false],
  ])('are answered behind the whole answer if they were sent %s', async (name, isEarly) => {
    await start();
    get('/read/long');
    if (!isEarly) await waitUntil(() => client.receivedBytes > LONG_BYTES / 4, 'the first half');
    get('/read/a', '/read/b');
    await waitUntil(() => backend.isHalfway, 'the first half');
    backend.complete();
    await waitUntil(() => client.receivedBytes > LONG_BYTES && shortRuns() === 2, 'all answers');
    await waitUntil(() => client.receivedBytes > LONG_BYTES + 200, 'the answers behind');
    expect(client.ended).toBe(false);
  });
});
