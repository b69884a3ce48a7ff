import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { connectNarrow } from '../../../standin/NarrowConnection.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';
import { countCompleteAnswers } from './attemptFixtures.js';
import { createHead, createReply } from './fixtures.js';

const ATTEMPTS = 40;
const SHORT_BODY = 'x'.repeat(700);

/** Beyond the part of an answer that a gateway buffers. */
const LONG_BODY = 'x'.repeat(400_000);

/** Handed over in one write, of which a narrow connection takes nothing. */
const UPLOAD = Buffer.alloc(64 * 1024);

const reset = (socket: Socket) => socket.resetAndDestroy();
const endInOrder = (socket: Socket) => socket.end();

let agent: GuardedAgent;
let backend: RawBackend;

/** Options of {@link start}. */
interface StartOptions {
  readonly body: string;
  readonly end: (socket: Socket) => void;
  /** True if the server answers at the head of a request; false by default. */
  readonly answersAtHead?: boolean;
}

/** Starts a server that writes an answer without a length and then ends its connection. */
async function start({ body, end, answersAtHead }: StartOptions): Promise<void> {
  const reply = createReply((socket, callId) => {
    socket.write(createHead({ callId }) + body, () => end(socket));
  });
  backend = new RawBackend(reply, { answersAtHead });
  await backend.start();
}

const countComplete = (upload?: Buffer) =>
  countCompleteAnswers({ agent, port: backend.port, upload, attempts: ATTEMPTS });

beforeEach(() => {
  agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo' });
});

afterEach(async () => {
  agent.destroy();
  await backend.stop();
});

describe.each([
  ['short', SHORT_BODY],
  ['long', LONG_BODY],
])('a %s answer without a length', (name, body) => {
  describe.each([
    ['GET', undefined],
    ['an upload', UPLOAD],
  ])('to %s', (request, upload) => {
    // Guards against a truncated answer that its caller takes for the whole one.
    it('is never complete if its connection is reset right behind its bytes', async () => {
      await start({ body, end: reset });
      expect(await countComplete(upload)).toBe(0);
    });

    it('is complete if its connection ends in order', async () => {
      await start({ body, end: endInOrder });
      expect(await countComplete(upload)).toBe(ATTEMPTS);
    });
  });

  // Guards against the same if the write that the reset ends is one of the request's own.
  it('is never complete if its connection is reset before the upload is sent', async () => {
    Object.assign(agent, { createConnection: connectNarrow });
    await start({ body, end: reset, answersAtHead: true });
    expect(await countComplete(UPLOAD)).toBe(0);
  });
});
