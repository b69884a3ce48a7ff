import http, { type ClientRequest } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { watchReset } from './ConnectionReset.js';

/** Answer without a length. */
const ANSWER = 'HTTP/1.1 200 OK\r\n\r\nanswer';

const BLOCK = Buffer.alloc(256 * 1024);

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

/** Request whose answer is read and checked for a reset. */
interface CheckedRequest {
  readonly request: ClientRequest;
  /** Ends the request; resolves with true if its answer was found to be reset. */
  readonly end: () => Promise<boolean>;
}

/** Starts a request with a body, in chunks if it has no length. */
function startRequest(bodyBytes?: number): CheckedRequest {
  let wasReset = false;
  let hasEnded = false;
  const request = http.request({
    port: (server.address() as AddressInfo).port,
    host: '127.0.0.1',
    method: 'POST',
    headers: bodyBytes === undefined ? {} : { 'Content-Length': bodyBytes },
  });
  request.on('error', () => {});
  watchReset(request, () => {
    wasReset = true;
  });
  request.on('response', (response) => {
    response.on('error', () => {});
    response.on('close', () => {
      hasEnded = true;
    });
    response.resume();
  });
  const end = async () => {
    await waitUntil(() => hasEnded, 'the end of the answer');
    request.destroy();
    await waitUntil(() => isOver, 'the end of the connection');
    return wasReset;
  };
  return { request, end };
}

/** Sends a part of a body, and reads the answer to it; true if it was found to be reset. */
async function sendPart(part: string, bodyBytes: number): Promise<boolean> {
  const { request, end } = startRequest(bodyBytes);
  request.write(part);
  if (part.length === bodyBytes) request.end();
  return end();
}

/** Writes a body until the kernel takes no more of it, so that a part waits in this process. */
async function fillConnection(request: ClientRequest): Promise<void> {
  request.write(BLOCK);
  await nextTurn();
  if (!request.socket?.writableLength) await fillConnection(request);
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

  // Guards against a part of an answer that looks whole, as the write that fails is an earlier one.
  it('finds a reset though a part of the request is unsent', async () => {
    let connection: Socket | undefined;
    reply = (socket) => {
      connection = socket.pause();
    };
    const { request, end } = startRequest();
    request.flushHeaders();
    await waitUntil(() => connection !== undefined, 'the head of the request');
    await fillConnection(request);
    // In one turn, so that nothing more is sent and both reach the client together.
    request.end();
    connection!.write(ANSWER);
    connection!.resetAndDestroy();
    expect(await end()).toBe(true);
  });

  it('takes the answer for reset on a connection that this host has closed', async () => {
    reply = (socket) => socket.write(ANSWER);
    const { request, end } = startRequest('body'.length);
    request.once('response', () => request.socket!.end());
    request.end('body');
    expect(await end()).toBe(true);
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
