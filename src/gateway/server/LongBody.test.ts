import http from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import { startTestGateway, type TestGateway } from './fixtures.js';

/** Longer than the part of a body that a gateway buffers. */
const BODY = Buffer.alloc(4 * 1024 * 1024, 'abcdefghijklmnopqrstuvwxyz');

const CHUNKED_BODY = Buffer.concat([
  Buffer.from(`${BODY.length.toString(16)}\r\n`),
  BODY,
  Buffer.from('\r\n0\r\n\r\n'),
]);

/** Backend server that may refuse a call after the first bytes of its body. */
class EarlyBackend {
  readonly bodies: Buffer[] = [];

  port = 0;

  private readonly server = http.createServer((request, response) =>
    this.handle(request, response),
  );

  constructor(private readonly refuses: () => boolean) {}

  async start(): Promise<void> {
    this.port = await listen(this.server, '127.0.0.1', 0);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url === '/health') {
      response.end();
      return;
    }
    response.setHeader('Call-Id', String(request.headers['call-id']));
    if (this.refuses()) {
      request.once('data', () => response.writeHead(503, { 'Not-Run': '1' }).end());
      request.resume();
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => {});
    request.on('end', () => {
      this.bodies.push(Buffer.concat(chunks));
      response.setHeader('Signature', 's');
      response.end('whole');
    });
  }
}

/** Sends a call with a long body, or without one; a status of 0 means that no answer arrived. */
function send(
  port: number,
  agent: http.Agent,
  framing?: http.OutgoingHttpHeaders,
): Promise<number> {
  return new Promise((resolve) => {
    const headers = { Host: 'calls.example', 'Call-Id': 'c-1', ...framing };
    const path = framing ? '/order/x' : '/other/x';
    const method = framing ? 'POST' : 'GET';
    const request = http.request({ host: '127.0.0.1', port, path, method, agent, headers });
    request.on('error', () => resolve(0));
    request.on('response', (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () => resolve(response.statusCode ?? 0));
    });
    request.end(framing ? BODY : undefined);
  });
}

describe('a call whose body is too long to buffer', () => {
  let gateway: TestGateway | undefined;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  afterEach(async () => {
    agent.destroy();
    await gateway?.stop();
    gateway = undefined;
  });

  // Guards against a second attempt whose body lacks the bytes that the first one consumed.
  it.each<[string, http.OutgoingHttpHeaders]>([
    ['chunked', { 'Transfer-Encoding': 'chunked' }],
    ['with a length', { 'Content-Length': BODY.length }],
  ])('never runs with another body after a refusal: %s', async (name, framing) => {
    let refusals = 0;
    const refusesFirst = () => {
      refusals += 1;
      return refusals === 1;
    };
    const backends = [new EarlyBackend(refusesFirst), new EarlyBackend(refusesFirst)];
    await Promise.all(backends.map((backend) => backend.start()));
    gateway = await startTestGateway({
      alpha: { 'b-1': backends[0]!, 'b-2': backends[1]! },
      route: { timeoutMs: 3_000 },
    });
    const status = await send(gateway.port, agent, framing);
    const bodies = backends.flatMap((backend) => backend.bodies);
    expect(bodies.every((body) => body.equals(BODY))).toBe(true);
    expect(status).toBe(503);
    // The rest of the body must not block the caller's connection.
    expect(await send(gateway.port, agent)).toBe(200);
  });

  // Guards against a connection that is never read again: later requests on it get no answer.
  it.each<[string, string, Buffer]>([
    ['chunked', 'Transfer-Encoding: chunked', CHUNKED_BODY],
    ['with a length', `Content-Length: ${BODY.length}`, BODY],
  ])('leaves its connection usable if it is refused before an attempt: %s', async (...parts) => {
    const [, framing, body] = parts;
    gateway = await startTestGateway({ alpha: {}, route: { timeoutMs: 1_000 } });
    const socket = connect(gateway.port, '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    const statuses = () => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
    for (const count of [1, 3]) {
      socket.write(
        `POST /order/x HTTP/1.1\r\nHost: calls.example\r\nCall-Id: c-1\r\n${framing}\r\n\r\n`,
      );
      socket.write(body);
      socket.write('GET /other/x HTTP/1.1\r\nHost: calls.example\r\nCall-Id: c-2\r\n\r\n');
      // The next call is sent once the answers to the ones before have arrived.
      // eslint-disable-next-line no-await-in-loop
      await waitUntil(() => statuses().length > count, 'the answers');
    }
    expect(statuses()).toEqual(['503', '200', '503', '200']);
    socket.destroy();
  });
});
