import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { RawBackend } from '../../../standin/RawBackend.js';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { AttemptResultType, type AttemptResult } from '../Types.js';
import { AttemptRun } from './AttemptRun.js';
import { TEST_PROFILE, createHead, createReply } from './fixtures.js';

const ATTEMPTS = 40;
const SHORT_BODY = 'x'.repeat(700);

/** Beyond the part of an answer that a gateway buffers. */
const LONG_BODY = 'x'.repeat(400_000);

const agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo' });
let backend: RawBackend;

/** Starts a server that writes an answer without a length and then ends its connection. */
async function start(body: string, end: (socket: Socket) => void): Promise<void> {
  backend = new RawBackend(
    createReply((socket, callId) => {
      socket.write(createHead({ callId }) + body, () => end(socket));
    }),
  );
  await backend.start();
}

/** Sends an attempt; true if its answer counts as complete. */
async function isComplete(callId: string): Promise<boolean> {
  const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
  const request = {
    method: 'GET',
    target: '/read/x',
    rawHeaders: ['Call-Id', callId],
    callId,
    body: Buffer.alloc(0),
    bodyRest: null,
    remainingMs: 5_000,
  };
  const observer = { onConnect: () => {}, onLimit: () => {}, onNotice: () => {} };
  const run = new AttemptRun(agent, TEST_PROFILE, new BackendView(record), request, observer);
  const result: AttemptResult = await run.result;
  if (result.type !== AttemptResultType.Answer) return false;
  const { longBody } = result.answer;
  if (!longBody) return true;
  return new Promise((resolve) => {
    longBody.read({
      onData: () => true,
      onEnd: () => resolve(true),
      onBroken: () => resolve(false),
    });
  });
}

async function countComplete(): Promise<number> {
  let complete = 0;
  for (let index = 0; index < ATTEMPTS; index += 1) {
    // Each attempt has the server to itself, so that its bytes and its end arrive together.
    // eslint-disable-next-line no-await-in-loop
    if (await isComplete(`c-${index}`)) complete += 1;
  }
  return complete;
}

describe.each([
  ['short', SHORT_BODY],
  ['long', LONG_BODY],
])('a %s answer without a length', (name, body) => {
  afterEach(async () => {
    agent.destroy();
    await backend.stop();
  });

  // Guards against a truncated answer that its caller takes for the whole one.
  it('is never complete if its connection is reset right behind its bytes', async () => {
    await start(body, (socket) => socket.resetAndDestroy());
    expect(await countComplete()).toBe(0);
  });

  it('is complete if its connection ends in order', async () => {
    await start(body, (socket) => socket.end());
    expect(await countComplete()).toBe(ATTEMPTS);
  });
});
