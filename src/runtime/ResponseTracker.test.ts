import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { closeServer, listen } from './HttpJson.js';
import { ResponseTracker } from './ResponseTracker.js';

const ADDRESS = '127.0.0.1';
const HEAD = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';

/** More than the socket buffers of both ends hold. */
const LARGE_BYTES = 32 * 1024 * 1024;

describe('ResponseTracker', () => {
  let server: Server;
  let tracker: ResponseTracker;
  let port = 0;
  const responses: ServerResponse[] = [];
  const sockets: Socket[] = [];

  beforeEach(async () => {
    responses.length = 0;
    server = createServer((request, response) => {
      responses.push(response);
    });
    tracker = new ResponseTracker(server);
    port = await listen(server, ADDRESS, 0);
  });

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await closeServer(server);
  });

  /** Connection that collects what it receives. */
  function openConnection() {
    const socket = connect(port, ADDRESS);
    const received = { bytes: 0, text: '', ended: false };
    socket.on('data', (data) => {
      received.bytes += data.length;
      if (received.text.length < 1_000) received.text += data.toString('latin1');
    });
    socket.on('close', () => {
      received.ended = true;
    });
    socket.on('error', () => {});
    sockets.push(socket);
    return { socket, received };
  }

  // Guards against an accepted request whose connection ends without an answer.
  it('completes a response in progress, then closes its connection', async () => {
    const { socket, received } = openConnection();
    socket.write(HEAD);
    await waitUntil(() => responses.length === 1, 'a request');
    const finished = tracker.finish(10_000);
    responses[0]!.end('done');
    await finished;
    await waitUntil(() => received.ended, 'the end of the connection');
    expect(received.text).toMatch(/^HTTP\/1\.1 200 .*Connection: close.*done$/s);
  });

  // Guards against a request that was sent before the stop and is dropped unread.
  it('completes a request that has been sent and not yet read', async () => {
    const { socket, received } = openConnection();
    await once(socket, 'connect');
    socket.write(HEAD);
    const finished = tracker.finish(10_000);
    expect(responses).toEqual([]);
    await waitUntil(() => responses.length === 1, 'a request');
    responses[0]!.end('done');
    await finished;
    await waitUntil(() => received.ended, 'the end of the connection');
    expect(received.text).toMatch(/^HTTP\/1\.1 200 .*Connection: close.*done$/s);
  });

  // Guards against Node's close, which cuts responses that have ended but are not yet sent.
  it('sends a large response in full to a slow reader', async () => {
    const { socket, received } = openConnection();
    socket.pause();
    socket.write(HEAD);
    await waitUntil(() => responses.length === 1, 'a request');
    responses[0]!.end(Buffer.alloc(LARGE_BYTES));
    const finished = tracker.finish(10_000);
    setTimeout(() => socket.resume(), 50);
    await finished;
    await waitUntil(() => received.ended, 'the end of the connection');
    expect(received.bytes).toBeGreaterThan(LARGE_BYTES);
  });

  // Guards against a stop that is as long as its slowest request.
  it('closes connections with unfinished responses after the timeout', async () => {
    const { socket, received } = openConnection();
    socket.write(HEAD);
    await waitUntil(() => responses.length === 1, 'a request');
    await tracker.finish(50);
    await waitUntil(() => received.ended, 'the end of the connection');
    expect(received.text).toBe('');
  });

  // Guards against idle connections that keep a process from ending.
  it('closes idle connections and accepts no others', async () => {
    const { socket, received } = openConnection();
    socket.write(HEAD);
    await waitUntil(() => responses.length === 1, 'a request');
    responses[0]!.end('done');
    await waitUntil(() => received.text.endsWith('done'), 'an answer');
    await tracker.finish(10_000);
    await waitUntil(() => received.ended, 'the end of the connection');
    const late = openConnection();
    await waitUntil(() => late.received.ended, 'a refused connection');
    expect(responses).toHaveLength(1);
  });
});
