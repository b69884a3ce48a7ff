import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setImmediate as immediate, setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { RawClient } from '../../standin/RawClient.js';
import { ClosedBy, HttpConnections } from './HttpConnections.js';
import { answerParserErrors, closeServer, listen } from './HttpJson.js';

const HOST = '127.0.0.1';

/** Delay before an idle connection ends. */
const IDLE_GRACE_MS = 50;

/** Longer than a test takes. */
const LONG_LINGER_MS = 60_000;

/** Request that the test server holds until the test answers it. */
interface HeldRequest {
  readonly path: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Server whose requests are answered by the test, with its connections. */
class TestServer {
  readonly held: HeldRequest[] = [];

  readonly dropped: string[] = [];

  readonly ended: (ClosedBy | null)[] = [];

  stopping = false;

  readonly server: Server = createServer((request, response) => {
    const path = request.url ?? '';
    if (!this.connections.admit(request, response)) {
      this.dropped.push(path);
      return;
    }
    this.held.push({ path, request, response });
    this.connections.whenEnded(response, (closedBy) => this.ended.push(closedBy));
  });

  readonly connections: HttpConnections;

  port = 0;

  constructor(lingerMs?: number) {
    this.connections = new HttpConnections({
      server: this.server,
      isStopping: () => this.stopping,
      lingerMs,
    });
  }

  async start(): Promise<void> {
    this.port = await listen(this.server, HOST, 0);
  }

  answer(path: string, body: string | Buffer = path): void {
    const { response } = this.held.find((item) => item.path === path)!;
    const headers: Record<string, string | number> = { 'Content-Length': body.length };
    if (this.connections.endsConnection(response)) headers.Connection = 'close';
    response.writeHead(200, headers);
    response.end(body);
  }
}

function get(client: RawClient, ...paths: string[]): void {
  client.get(paths, () => ({ Host: 'x' }));
}

/** Bodies received so far; each is the path of its request. */
function bodiesOf(client: RawClient): string[] {
  return [...client.received.matchAll(/\r\n\r\n(\/[a-z]+)/g)].map((match) => match[1]!);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const untilMs = Date.now() + 10_000;
  while (!condition()) {
    if (Date.now() > untilMs) throw new Error('The condition was not met within 10 s.');
    // Polling is the loop's purpose.
    // eslint-disable-next-line no-await-in-loop
    await delay(5);
  }
}

/** Keeps the event loop busy, so that timers run before what arrives meanwhile is read. */
function blockFor(spanMs: number): void {
  const untilMs = performance.now() + spanMs;
  while (performance.now() < untilMs);
}

describe('HttpConnections', () => {
  const servers: TestServer[] = [];
  const clients: RawClient[] = [];

  afterEach(async () => {
    clients.splice(0).forEach((client) => client.close());
    await Promise.all(servers.splice(0).map(({ server }) => closeServer(server)));
  });

  async function createPair(options: { lingerMs?: number; allowHalfOpen?: boolean } = {}) {
    const server = new TestServer(options.lingerMs);
    servers.push(server);
    await server.start();
    const client = new RawClient(server.port, options);
    clients.push(client);
    return { server, client };
  }

  // Guards against answers lost behind one that ends the connection.
  it('sends all pipelined answers during a planned stop, the last one with Connection: close', async () => {
    const { server, client } = await createPair();
    get(client, '/a', '/b', '/c');
    await waitUntil(() => server.held.length === 3);
    server.stopping = true;
    ['/a', '/c', '/b'].forEach((path) => server.answer(path));
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a', '/b', '/c']);
    expect(client.received.match(/Connection: close/g)).toHaveLength(1);
    expect(server.ended).toEqual([null, null, null]);
  });

  // Guards against a request that is passed on although its connection is about to end.
  it('admits no request behind another one once idle connections are ended', async () => {
    const { server, client } = await createPair();
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    server.stopping = true;
    server.connections.closeIdle();
    get(client, '/b');
    await waitUntil(() => server.dropped.length === 1);
    server.answer('/a');
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a']);
    expect(client.received).toContain('Connection: close');
  });

  it('admits a request behind an answer whose head is already sent', async () => {
    const { server, client } = await createPair();
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    const [{ response }] = server.held as [HeldRequest];
    response.writeHead(200, { 'Content-Length': 4 });
    response.write('/a');
    server.stopping = true;
    get(client, '/b');
    await waitUntil(() => server.held.length === 2);
    response.end('/a');
    server.answer('/b');
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a', '/b']);
  });

  // Guards against Node's own check, which takes a connection for idle once `end` was called.
  it('keeps a connection open while answers are still being sent', async () => {
    const { server, client } = await createPair();
    const body = Buffer.alloc(1024 * 1024, 'x');
    const paths = Array.from({ length: 32 }, (unused, index) => `/p${index}`);
    get(client, ...paths);
    await waitUntil(() => server.held.length > 0);
    client.socket.pause();
    const answered = new Set<string>();
    const answerAll = () =>
      server.held
        .filter(({ path }) => !answered.has(path))
        .forEach(({ path }) => {
          answered.add(path);
          server.answer(path, body);
        });
    answerAll();
    await delay(50);
    server.server.close();
    server.connections.closeIdle();
    client.socket.resume();
    await waitUntil(() => {
      answerAll();
      return server.ended.length === paths.length;
    });
    expect(server.ended).toEqual(paths.map(() => null));
    await waitUntil(() => client.receivedBytes > paths.length * body.length);
    expect(client.broken).toBe(false);
  });

  it('reports to each waiting answer that the client closed the connection', async () => {
    const { server, client } = await createPair();
    get(client, '/a', '/b', '/c');
    await waitUntil(() => server.held.length === 3);
    client.socket.destroy();
    await waitUntil(() => server.ended.length === 3);
    expect(server.ended).toEqual([ClosedBy.Client, ClosedBy.Client, ClosedBy.Client]);
    expect(server.connections.size).toBe(0);
  });

  it('reports that the host closed a connection with answers due', async () => {
    const { server, client } = await createPair();
    get(client, '/a', '/b');
    await waitUntil(() => server.held.length === 2);
    const [{ response }] = server.held as [HeldRequest];
    response.writeHead(200, { 'Content-Length': 10 });
    response.write('part');
    server.connections.abort(response);
    await waitUntil(() => server.ended.length === 2);
    expect(server.ended).toEqual([ClosedBy.Host, ClosedBy.Host]);
    await waitUntil(() => client.ended);
    expect(client.received).toMatch(/part$/);
    await waitUntil(() => server.connections.size === 0);
  });

  // Guards against an error answer that takes the place of the answer to an earlier request.
  it('sends the answers that are due before it ends a connection with a malformed request', async () => {
    const { server, client } = await createPair();
    answerParserErrors(server.server, server.connections);
    get(client, '/a', '/b');
    await waitUntil(() => server.held.length === 2);
    client.socket.write('no request\r\n\r\n');
    await delay(20);
    ['/a', '/b'].forEach((path) => server.answer(path));
    await waitUntil(() => client.ended);
    expect(client.statusCodes).toEqual([200, 200]);
    expect(bodiesOf(client)).toEqual(['/a', '/b']);
  });

  // Guards against an aborted answer that takes the answers ahead of it along.
  it('sends the answers ahead of an aborted one', async () => {
    const { server, client } = await createPair();
    get(client, '/a', '/b', '/c');
    await waitUntil(() => server.held.length === 3);
    server.connections.abort(server.held[1]!.response);
    await delay(20);
    server.answer('/a');
    await waitUntil(() => server.ended.length === 3);
    expect(server.ended).toEqual([null, ClosedBy.Host, ClosedBy.Host]);
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a']);
  });

  // Guards against a broken answer that takes along what the kernel has not sent of the one ahead.
  it.each([
    ['read', false],
    ['unread', true],
  ])(
    'sends an answer ahead of an aborted one to a slow client, its bytes %s',
    async (name, isUnread) => {
      const { server, client } = await createPair();
      get(client, '/a', '/b');
      await waitUntil(() => server.held.length === 2);
      client.socket.pause();
      const body = Buffer.alloc(1024 * 1024, 'x');
      server.answer('/a', body);
      await waitUntil(() => server.ended.length === 1);
      const [, { request, response }] = server.held as [HeldRequest, HeldRequest];
      response.writeHead(200, { 'Content-Length': 10 });
      response.write('part');
      if (isUnread) {
        request.socket.pause();
        get(client, '/c');
        await delay(20);
      }
      server.connections.abort(response);
      await delay(50);
      client.socket.resume();
      await waitUntil(() => client.ended || client.broken);
      expect(client.broken).toBe(false);
      expect(client.receivedBytes).toBeGreaterThan(body.length);
      expect(server.ended).toEqual([null, ClosedBy.Host]);
    },
  );

  // Guards against a reset that takes along the sound answer before a broken one: unread bytes of the
  // client make the kernel reset a connection that is closed at once.
  it('delivers the answer before an aborted one to a client that reads late', async () => {
    const { server, client } = await createPair({ lingerMs: LONG_LINGER_MS });
    const body = Buffer.alloc(1024 * 1024, 'x');
    client.socket.pause();
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    server.answer('/a', body);
    await waitUntil(() => server.ended.length === 1);
    get(client, '/b');
    await waitUntil(() => server.held.length === 2);
    const { response } = server.held[1]!;
    // More than the kernel buffers, so that the server stops to read.
    const part = Buffer.alloc(32 * 1024 * 1024, 'y');
    response.writeHead(200, { 'Content-Length': 2 * part.length });
    response.write(part);
    await delay(50);
    get(client, '/c');
    await delay(50);
    get(client, '/d');
    await delay(50);
    server.connections.abort(response);
    client.socket.resume();
    await waitUntil(() => client.ended || client.broken);
    expect(client.broken).toBe(false);
    expect(client.receivedBytes).toBeGreaterThan(body.length);
  });

  // Guards against a request that is never answered, and stays in memory, since its body is malformed.
  it('closes a connection behind the answers due if a body is malformed', async () => {
    const { server, client } = await createPair();
    answerParserErrors(server.server, server.connections);
    get(client, '/a');
    client.socket.write('POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
    await waitUntil(() => server.held.length === 2);
    client.socket.write('no size\r\n');
    await delay(20);
    server.answer('/a');
    await waitUntil(() => server.ended.length === 2);
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a']);
  });

  // Guards against an answer that is cut since the rest of its request's body is malformed.
  it('completes the answer to a request whose body turns out to be malformed', async () => {
    const { server, client } = await createPair();
    answerParserErrors(server.server, server.connections);
    client.socket.write('POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
    await waitUntil(() => server.held.length === 1);
    const { response } = server.held[0]!;
    response.writeHead(200, { 'Content-Length': 4 });
    response.write('wh');
    client.socket.write('no size\r\n');
    await delay(20);
    response.end('le');
    await waitUntil(() => client.ended);
    expect(client.received.endsWith('\r\n\r\nwhle')).toBe(true);
  });

  it('ends idle connections, and reads on until the client closes or the time is over', async () => {
    const { server, client } = await createPair({ lingerMs: 50, allowHalfOpen: true });
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    server.answer('/a');
    await waitUntil(() => server.ended.length === 1);
    server.connections.closeIdle();
    await waitUntil(() => client.ended);
    get(client, '/late');
    await waitUntil(() => server.dropped.length === 1);
    expect(client.broken).toBe(false);
    await waitUntil(() => server.connections.size === 0);
  });

  // Guards against a request that waits in the kernel while its connection is closed as idle.
  it('admits a request that was sent before its idle connection is closed', async () => {
    const { server, client } = await createPair();
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    server.answer('/a');
    await waitUntil(() => server.ended.length === 1 && bodiesOf(client).length === 1);
    server.stopping = true;
    get(client, '/b');
    server.connections.closeIdle();
    await waitUntil(() => server.held.length + server.dropped.length === 2);
    expect(server.dropped).toEqual([]);
    server.answer('/b');
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a', '/b']);
  });

  // Guards against a request that waits in the kernel because the process was busy for longer than
  // the delay after which its connection is closed as idle.
  it('admits a request that arrived while the process was busy', async () => {
    const { server, client } = await createPair();
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    server.answer('/a');
    await waitUntil(() => server.ended.length === 1 && bodiesOf(client).length === 1);
    server.stopping = true;
    // The loop goes on with its timers after an immediate, before it reads from sockets.
    await immediate();
    server.connections.closeIdle();
    get(client, '/b');
    blockFor(200);
    await waitUntil(() => server.held.length + server.dropped.length === 2);
    expect(server.dropped).toEqual([]);
    server.answer('/b');
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a', '/b']);
  });

  // Guards against a request that a planned stop cuts though it was sent long before the close.
  it('admits a request that arrived while another one kept the process busy', async () => {
    const { server, client } = await createPair();
    get(client, '/a');
    await waitUntil(() => server.held.length === 1);
    server.answer('/a');
    await waitUntil(() => server.ended.length === 1 && bodiesOf(client).length === 1);
    const other = new RawClient(server.port);
    clients.push(other);
    await waitUntil(() => server.connections.size === 2);
    server.stopping = true;
    server.server.once('request', () => {
      get(client, '/b');
      blockFor(200);
    });
    server.connections.closeIdle();
    // Runs with the timers of the idle connections; its request is read before they are closed.
    setTimeout(() => get(other, '/c'), IDLE_GRACE_MS);
    await waitUntil(() => server.held.length + server.dropped.length === 3);
    expect(server.dropped).toEqual([]);
    server.answer('/b');
    server.answer('/c');
    await waitUntil(() => client.ended && other.ended);
    expect(bodiesOf(client)).toEqual(['/a', '/b']);
  });

  // Guards against a new connection that is closed as idle before its first request is read.
  it('admits the first request of a connection that was accepted right before', async () => {
    const { server, client } = await createPair();
    await waitUntil(() => server.connections.size === 1);
    server.stopping = true;
    get(client, '/a');
    server.connections.closeIdle();
    await waitUntil(() => server.held.length + server.dropped.length === 1);
    expect(server.dropped).toEqual([]);
    server.answer('/a');
    await waitUntil(() => client.ended);
    expect(bodiesOf(client)).toEqual(['/a']);
  });
});
