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

/** Longer than the answers that a gateway buffers to repeat the call. */
const LONG_BYTES = 600_000;

/** Less than the time after which an idle connection to a backend server is closed. */
const CANCELLED_MS = 5_000;

const PART = 'l'.repeat(LONG_BYTES / 2);

let backend: RawBackend;
let gateway: TestGateway;
let client: RawClient;
let read: () => ReadAnswer[];
let longSocket: Socket | undefined;

function get(from: RawClient, ...callIds: string[]): void {
  from.get(
    callIds.map((callId) => `/read/${callId}`),
    (path) => ({ Host: 'calls.example', 'Call-Id': path.slice('/read/'.length) }),
  );
}

const writeRest = () =>
  new Promise((resolve) => {
    longSocket!.write(PART, resolve);
  });

/** Completes the held answer and sends a call on another connection. */
async function expectOthersServed(): Promise<void> {
  await writeRest();
  const other = new RawClient(gateway.port);
  get(other, 'other');
  await waitUntil(() => other.statusCodes.length === 1, 'an answer to another caller');
  expect(other.statusCodes).toEqual([200]);
  other.close();
}

beforeEach(async () => {
  longSocket = undefined;
  backend = new RawBackend(
    createReply((socket, callId) => {
      if (callId === 'other') socket.write(createCompleteAnswer(callId));
      if (callId !== 'long') return;
      longSocket = socket;
      socket.write(createHead({ callId, headers: [`Content-Length: ${LONG_BYTES}`] }) + PART);
    }),
  );
  await backend.start();
  gateway = await startTestGateway({
    alpha: { 'b-1': backend },
    route: { timeoutMs: 10_000, attemptsMax: 1 },
  });
  client = new RawClient(gateway.port, { allowHalfOpen: true });
  read = collectAnswers(client.socket);
  get(client, 'long', 'behind');
  const isHeld = () => gateway.logged.some(({ event }) => event === 'call_answered');
  const isBehind = () => backend.requestsFor('/read/behind').length === 1;
  await waitUntil(() => isHeld() && isBehind(), 'a long answer with a call behind it');
});

afterEach(async () => {
  client.close();
  await gateway.stop();
});

describe('a long answer that is held for the calls behind it', () => {
  // Guards against a process that ends since a second head is written behind the answer of a call
  // whose client has left.
  it('is dropped once its client has closed its side', async () => {
    client.socket.end();
    await waitUntil(() => read().length === 2, 'two answers');
    await expectOthersServed();
    await waitUntil(() => longSocket!.destroyed, 'the end of the backend call', CANCELLED_MS);
    expect(read().map(({ status }) => status)).toEqual([502, 502]);
  });

  // Guards against the same at the end of a planned stop.
  it('is dropped once the call is answered at the end of a planned stop', async () => {
    gateway.endOpenCalls();
    await waitUntil(() => read().length === 2, 'two answers');
    await expectOthersServed();
    await waitUntil(() => longSocket!.destroyed, 'the end of the backend call', CANCELLED_MS);
    expect(read().map(({ status }) => status)).toEqual([504, 504]);
  });
});
