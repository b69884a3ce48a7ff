import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import { collectAnswers, type ReadAnswer } from './answerFixtures.js';
import {
  createCompleteAnswer,
  createHead,
  createReply,
  startTestGateway,
  type TestGateway,
} from './fixtures.js';

const SHORT_BODY = 's'.repeat(1_500);

/** Longer than the answers that a gateway buffers to repeat the call. */
const LONG_BODY = 'l'.repeat(500_000);

const CUT_BYTES = 300_000;

let backend: RawBackend;
let gateway: TestGateway;
let client: RawClient;
let read: () => ReadAnswer[];

/** Answers without a length, by the ids of calls. */
const UNFRAMED: Readonly<Record<string, (socket: Socket, head: string) => void>> = {
  short: (socket, head) => socket.end(head + SHORT_BODY),
  long: (socket, head) => socket.end(head + LONG_BODY),
  /** Never ends. */
  cut: (socket, head) => socket.write(head + LONG_BODY.slice(0, CUT_BYTES)),
  reset: (socket, head) =>
    socket.write(head + LONG_BODY.slice(0, CUT_BYTES), () => socket.resetAndDestroy()),
};

beforeEach(async () => {
  backend = new RawBackend(
    createReply((socket, callId) => {
      const write = UNFRAMED[callId];
      if (callId === 'headOnly') socket.write(createHead({ callId }));
      else if (callId === 'empty') socket.write(createHead({ callId, status: '204 No Content' }));
      else if (callId === 'unchanged') {
        socket.write(createHead({ callId, status: '304 Not Modified' }));
      } else if (write) write(socket, createHead({ callId }));
      else socket.write(createCompleteAnswer(callId));
    }),
  );
  await backend.start();
  gateway = await startTestGateway({
    alpha: { 'b-1': backend },
    route: { timeoutMs: 20_000, attemptsMax: 1 },
  });
  client = new RawClient(gateway.port);
  read = collectAnswers(client.socket);
});

afterEach(async () => {
  client.close();
  await gateway.stop();
});

function get(...callIds: string[]): void {
  client.get(
    callIds.map((callId) => `/read/${callId}`),
    (path) => ({ Host: 'calls.example', 'Call-Id': path.slice('/read/'.length) }),
  );
}

/** Sends one request of another form than {@link get}. */
function send(requestLine: string, callId: string): void {
  const lines = [requestLine, 'Host: calls.example', `Call-Id: ${callId}`, '', ''];
  client.socket.write(lines.join('\r\n'));
}

const shapes = () => read().map(({ status, body, complete }) => [status, body.length, complete]);

const isOver = () => client.ended || client.broken;

describe('an answer of a backend server without a length', () => {
  // Guards against a part of an answer that looks complete at the end of the connection, which the
  // kernel ends in order for a process that is killed.
  it('shows that it is cut if its gateway ends', async () => {
    get('cut');
    await waitUntil(() => client.receivedBytes > CUT_BYTES, 'the first part');
    await gateway.stop();
    await waitUntil(isOver, 'the end of the connection');
    expect(shapes()).toEqual([[200, CUT_BYTES, false]]);
    expect(read()[0]!.head).toMatch(/\r\ntransfer-encoding: chunked/i);
  });

  // Guards against the same for an answer that is reset on its way to the gateway.
  it('shows that it is cut if its connection is reset', async () => {
    get('reset');
    await waitUntil(() => read()[0]?.complete === true || isOver(), 'an answer, or a part of one');
    expect(read().some(({ status, complete }) => status === 200 && complete)).toBe(false);
  });

  // Guards against answers that are lost, or refused with 502, since one before them ends their
  // connection.
  it('is complete, and the answers behind it follow', async () => {
    get('short', 'long', 'sound');
    await waitUntil(() => read().length === 3 || isOver(), 'three answers');
    await waitUntil(() => read()[2]?.complete === true || isOver(), 'the whole third answer');
    expect(shapes()).toEqual([
      [200, SHORT_BODY.length, true],
      [200, LONG_BODY.length, true],
      [200, 'whole'.length, true],
    ]);
    expect(isOver()).toBe(false);
  });

  it('is complete in chunks if no answer is due before or behind it', async () => {
    get('long');
    await waitUntil(() => read()[0]?.complete === true || isOver(), 'the whole answer');
    get('sound');
    await waitUntil(() => read()[1]?.complete === true || isOver(), 'the answer behind');
    expect(shapes()).toEqual([
      [200, LONG_BODY.length, true],
      [200, 'whole'.length, true],
    ]);
  });

  // Guards against chunks for a client that doesn't know them.
  it.each([
    ['short', SHORT_BODY],
    ['long', LONG_BODY],
  ])('has a length for a client of HTTP/1.0: %s', async (callId, body) => {
    send(`GET /read/${callId} HTTP/1.0`, callId);
    await waitUntil(isOver, 'the end of the connection');
    expect(shapes()).toEqual([[200, body.length, true]]);
    expect(read()[0]!.head).not.toMatch(/transfer-encoding/i);
  });

  it('is no success for a client of HTTP/1.0 if it is cut', async () => {
    send('GET /read/reset HTTP/1.0', 'reset');
    await waitUntil(isOver, 'the end of the connection');
    expect(read().map(({ status }) => status)).not.toContain(200);
  });

  it.each([
    ['GET', 'empty'],
    ['GET', 'unchanged'],
    ['HEAD', 'headOnly'],
  ])('has neither chunks nor a body where none is due: %s %s', async (method, callId) => {
    send(`${method} /read/${callId} HTTP/1.1`, callId);
    get('sound');
    await waitUntil(() => client.received.endsWith('whole') || isOver(), 'two answers');
    expect(client.statusCodes).toHaveLength(2);
    expect(client.received).not.toMatch(/transfer-encoding/i);
    expect(client.received).not.toMatch(/\r\n\r\n0\r\n/);
  });
});
