import http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import {
  BUFFERED_REQUEST_MAX_BYTES,
  RequestBodyReader,
  type RequestBody,
  type RequestBodyLimits,
} from './RequestBody.js';

const HEAD = 'POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n';

const LIMITS: RequestBodyLimits = { bodyBytesMax: 4_000_000, timeoutMs: 60_000 };

const chunkOf = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

describe('RequestBodyReader', () => {
  let server: http.Server;
  let client: net.Socket;
  let port: number;

  beforeEach(async () => {
    server = http.createServer();
    port = await listen(server, '127.0.0.1', 0);
  });

  afterEach(async () => {
    client.destroy();
    await closeServer(server);
  });

  /** Sends the start of a request; resolves with the request and what was read of its body. */
  function receive(text: string, limits: Partial<RequestBodyLimits> = {}) {
    return new Promise<{ request: http.IncomingMessage; read: RequestBody }>((resolve) => {
      server.once('request', (request) => {
        new RequestBodyReader(request)
          .read({ ...LIMITS, ...limits })
          .then((read) => resolve({ request, read }), resolve);
      });
      client = net.connect(port, '127.0.0.1', () => client.write(text));
      client.on('error', () => {});
    });
  }

  it('reads a whole body in one-byte chunks', async () => {
    const { read } = await receive(`${HEAD}${chunkOf(1).repeat(20_000)}0\r\n\r\n`);
    expect(read).toEqual({ type: 'complete', body: Buffer.alloc(20_000, 'x') });
  });

  // Guards against a call that is never answered, as its body never ends.
  it('reports a body that has no end as late at its time limit', async () => {
    const { read } = await receive(`${HEAD}${chunkOf(10)}`, { timeoutMs: 50 });
    expect(read).toEqual({ type: 'late' });
  });

  it('reports a chunked body over the limit as too large', async () => {
    const { read } = await receive(`${HEAD}${chunkOf(1_000)}`, { bodyBytesMax: 999 });
    expect(read).toEqual({ type: 'too-large' });
  });

  // Guards against a limit that does not hold for bodies that are too long to be buffered.
  it('ends the connection of a streamed body over the limit', async () => {
    const long = chunkOf(BUFFERED_REQUEST_MAX_BYTES + 1);
    const { request, read } = await receive(HEAD + long, {
      bodyBytesMax: BUFFERED_REQUEST_MAX_BYTES + 10,
    });
    expect(read.type).toBe('long');
    const closed = new Promise((resolve) => {
      request.socket.once('close', resolve);
    });
    request.resume();
    client.write(chunkOf(100));
    await closed;
    expect(request.socket.destroyed).toBe(true);
  });
});
