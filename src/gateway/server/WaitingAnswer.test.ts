import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import { collectAnswers } from './answerFixtures.js';
import {
  createCompleteAnswer,
  createHead,
  createReply,
  startTestGateway,
  type TestGateway,
} from './fixtures.js';

/** Time limit of the long answer. */
const LIMIT_MS = 700;

/** Later than the limit and the time after it by which an answer that has begun must end. */
const PAST_LIMIT_MS = LIMIT_MS + 500;

/** More than a gateway buffers to repeat a call, and more than it writes ahead of its turn. */
const LONG_BODY = 'l'.repeat(430_000);

/** More than the kernel holds for a client that does not read. */
const LARGE_BODY = 'l'.repeat(6 * 1024 * 1024);

type Write = (socket: Socket, callId: string, body: string) => void;

const writeWithLength: Write = (socket, callId, body) =>
  socket.write(createCompleteAnswer(callId, body));

const writeInChunks: Write = (socket, callId, body) =>
  socket.write(
    `${createHead({ callId, headers: ['Transfer-Encoding: chunked'] })}` +
      `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  );

const writeUntilEnd: Write = (socket, callId, body) => socket.end(createHead({ callId }) + body);

let backend: RawBackend;
let gateway: TestGateway;
let client: RawClient;
let answerSlow: () => void;

/** Starts a backend server that answers the call `slow` once the test tells it to. */
async function start(write: Write, body: string) {
  backend = new RawBackend(
    createReply((socket, callId) => {
      if (callId === 'slow') answerSlow = () => socket.write(createCompleteAnswer(callId));
      else if (callId === 'long') write(socket, callId, body);
      else socket.write(createCompleteAnswer(callId, callId));
    }),
  );
  await backend.start();
  gateway = await startTestGateway({
    alpha: { 'b-1': backend },
    route: { timeoutMs: 20_000, attemptsMax: 1 },
  });
  client = new RawClient(gateway.port);
  return collectAnswers(client.socket);
}

function get(callId: string, budgetMs = 20_000): void {
  client.get([`/read/${callId}`], () => ({
    Host: 'calls.example',
    'Call-Id': callId,
    'Budget-Ms': String(budgetMs),
  }));
}

const isPassedOn = (callId: string) => backend.requestsFor(`/read/${callId}`).length > 0;

const isDone = (read: () => { complete: boolean }[], count: number) =>
  read().filter(({ complete }) => complete).length >= count || client.ended || client.broken;

afterEach(async () => {
  client.close();
  await gateway.stop();
});

describe.each([
  ['with a length', writeWithLength],
  ['in chunks', writeInChunks],
  ['without a length', writeUntilEnd],
])('a long answer %s that has arrived in time', (name, write) => {
  // Guards against an answer that is cut at its time limit, taken for whole, and filled up with the
  // bytes of the answer behind it.
  it('is sent whole after its time limit if it waits behind a slow one', async () => {
    const read = await start(write, LONG_BODY);
    get('slow');
    await waitUntil(() => isPassedOn('slow'), 'the slow call');
    get('long', LIMIT_MS);
    await waitUntil(() => isPassedOn('long'), 'the long call');
    get('behind');
    await sleep(PAST_LIMIT_MS);
    answerSlow();
    await waitUntil(() => isDone(read, 3), 'three answers');
    const seen = read().map(({ status, body, complete }) => [status, body.length, complete]);
    expect(seen).toEqual([
      [200, 'whole'.length, true],
      [200, LONG_BODY.length, true],
      [200, 'behind'.length, true],
    ]);
    expect(read()[2]!.body).toBe('behind');
  });

  // Guards against the same where the client itself reads slowly.
  it('is sent whole after its time limit if its client reads late', async () => {
    const read = await start(write, LARGE_BODY);
    client.socket.pause();
    get('long', LIMIT_MS);
    await sleep(PAST_LIMIT_MS);
    client.socket.resume();
    await waitUntil(() => isDone(read, 1), 'the answer', 20_000);
    get('behind');
    await waitUntil(() => isDone(read, 2), 'the answer behind');
    const seen = read().map(({ status, body, complete }) => [status, body.length, complete]);
    expect(seen).toEqual([
      [200, LARGE_BODY.length, true],
      [200, 'behind'.length, true],
    ]);
  });
});
