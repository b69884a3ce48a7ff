import { createServer, type Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { RawClient } from '../../standin/RawClient.js';
import { answerHalfClosed, closeServer, listen, readJson, sendError } from './HttpJson.js';
import type { EgretError } from '../common/Errors.js';

const ANSWERED_WITHIN_MS = 1_000;

describe('a body whose client closes its side before the end of it', () => {
  let server: Server;
  let port = 0;

  beforeEach(async () => {
    server = createServer((request, response) => {
      readJson(request).then(
        () => response.end('{}'),
        (error: EgretError) => sendError(response, error),
      );
    });
    answerHalfClosed(server);
    port = await listen(server, '127.0.0.1', 0);
  });

  afterEach(() => closeServer(server));

  const connections = () =>
    new Promise<number>((resolve, reject) => {
      server.getConnections((error, count) => (error ? reject(error) : resolve(count)));
    });

  // Guards against connections that are kept for Node's limit of five minutes for a whole request.
  it.each([
    ['of a stated length', 'Content-Length: 30'],
    ['in chunks', 'Transfer-Encoding: chunked'],
    // The parser reports the end of other connections as an error.
    ['with an upgrade', 'Content-Length: 30\r\nConnection: Upgrade\r\nUpgrade: x/1'],
  ])('is refused, and its connection closed: %s', async (name, header) => {
    const client = new RawClient(port, { allowHalfOpen: true });
    client.socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${header}\r\n\r\n9\r\n{"a":`);
    client.socket.end();
    await waitUntil(() => client.ended || client.broken, 'an end', ANSWERED_WITHIN_MS);
    expect(client.statusCodes).toEqual([400]);
    client.close();
    let open = 1;
    for (let tries = 0; open > 0 && tries < 50; tries += 1) {
      // The loop polls the server.
      // eslint-disable-next-line no-await-in-loop
      open = await connections();
    }
    expect(open).toBe(0);
  });
});
