import type { Agent } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { connectNarrow } from '../../../standin/NarrowConnection.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { AttemptResultType } from '../Types.js';
import { AttemptRun } from './AttemptRun.js';
import { TEST_PROFILE, createHead, createReply } from './fixtures.js';

const ATTEMPTS = 20;

/** Handed over in one write, of which a narrow connection takes nothing. */
const UPLOAD = Buffer.alloc(64 * 1024);

const SHORT_BODY = 'x'.repeat(700);

/** Beyond the part of an answer that a gateway buffers. */
const LONG_BODY = 'x'.repeat(400_000);

let agent: Agent;
let backend: RawBackend;

beforeEach(() => {
  agent = new GuardedAgent({ keepAlive: true });
});

afterEach(async () => {
  agent.destroy();
  await backend.stop();
});

/** Options of {@link start}. */
interface StartOptions {
  readonly body: string;
  readonly end: (socket: Socket) => void;
  /** True if the server answers at the head of an upload; false by default. */
  readonly answersAtHead?: boolean;
}

/** Starts a server that answers an upload without a length, and ends its connection. */
async function start({ body, end, answersAtHead }: StartOptions): Promise<void> {
  const reply = createReply((socket, callId) => {
    socket.write(createHead({ callId }) + body, () => end(socket));
  });
  backend = new RawBackend(reply, { answersAtHead });
  await backend.start();
}

const reset = (socket: Socket) => socket.resetAndDestroy();

/** Sends an upload; true if its answer counts as complete. */
async function isComplete(callId: string): Promise<boolean> {
  const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
  const request = {
    method: 'POST',
    target: '/order/x',
    rawHeaders: ['Call-Id', callId],
    callId,
    body: UPLOAD,
    bodyRest: null,
    remainingMs: 5_000,
  };
  const observer = { onConnect: () => {}, onLimit: () => {}, onNotice: () => {} };
  const run = new AttemptRun(agent, TEST_PROFILE, new BackendView(record), request, observer);
  const result = await run.result;
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
    // eslint-disable-next-line no-await-in-loop
    if (await isComplete(`c-${index}`)) complete += 1;
  }
  return complete;
}

describe.each([
  ['short', SHORT_BODY],
  ['long', LONG_BODY],
])('a %s answer without a length to an upload', (name, body) => {
  // Guards against a part of an answer that its caller takes for the whole one.
  it('is never complete if its connection is reset before the upload is sent', async () => {
    Object.assign(agent, { createConnection: connectNarrow });
    await start({ body, end: reset, answersAtHead: true });
    expect(await countComplete()).toBe(0);
  });

  it('is never complete if its connection is reset once the upload is sent', async () => {
    await start({ body, end: reset });
    expect(await countComplete()).toBe(0);
  });

  it('is complete if the upload is sent and its connection ends in order', async () => {
    await start({ body, end: (socket) => socket.end() });
    expect(await countComplete()).toBe(ATTEMPTS);
  });
});
