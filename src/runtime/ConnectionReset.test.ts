import http from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { watchReset } from './ConnectionReset.js';

/** Answer without a length. */
const ANSWER = 'HTTP/1.1 200 OK\r\n\r\nanswer';

const HEAD_END = '\r\n\r\n';

let server: Server;
let received: string;
let reply: (socket: Socket) => void;
let isOver: boolean;

beforeEach(async () => {
  received = '';
  isOver = false;
  server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {});
    socket.on('close', () => {
      isOver = true;
    });
    socket.on('end', () => socket.end());
    socket.on('data', (bytes) => {
      const isFirst = received === '';
      received += bytes.toString('latin1');
      if (isFirst) reply(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

afterEach(
  () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
    }),
);

/** Sends a part of a body, and reads the answer to it; true if it was found to be reset. */
async function sendPart(part: string, bodyBytes: number): Promise<boolean> {
  let wasReset = false;
  let hasEnded = false;
  const request = http.request({
    port: (server.address() as AddressInfo).port,
    host: '127.0.0.1',
    method: 'POST',
    headers: { 'Content-Length': bodyBytes },
  });
  request.on('error', () => {});
  watchReset(request, {
    isUnframed: () => true,
    onReset: () => {
      wasReset = true;
    },
  });
  request.on('response', (response) => {
    response.on('error', () => {});
    response.on('close', () => {
      hasEnded = true;
    });
    response.resume();
  });
  request.write(part);
  if (part.length === bodyBytes) request.end();
  await waitUntil(() => hasEnded, 'the end of the answer');
  request.destroy();
  await waitUntil(() => isOver, 'the end of the connection');
  return wasReset;
}

describe('watchReset', () => {
  it('finds no reset behind an answer that has ended in order', async () => {
    reply = (socket) => socket.end(ANSWER);
    expect(await sendPart('body', 4)).toBe(false);
  });

  it('finds a reset right behind the bytes of an answer', async () => {
    reply = (socket) => socket.write(ANSWER, () => socket.resetAndDestroy());
    expect(await sendPart('body', 4)).toBe(true);
  });

  // Guards against bytes of this host in the body of a request, which a server that answers early
  // reads on: it would run a request that no client sent.
  it('adds nothing to a body that is not sent yet, and takes its answer for reset', async () => {
    reply = (socket) => socket.end(ANSWER);
    const wasReset = await sendPart('body', 'body'.length + 2);
    expect(received.slice(received.indexOf(HEAD_END) + HEAD_END.length)).toBe('body');
    expect(wasReset).toBe(true);
  });
});
