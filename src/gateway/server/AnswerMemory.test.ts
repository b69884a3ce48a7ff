import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { AttemptResultType, type AttemptResult } from '../Types.js';
import { AttemptRun } from './AttemptRun.js';
import { createCompleteAnswer, createHead, createReply, TEST_PROFILE } from './fixtures.js';

const READ_BUFFER_BYTES = 64 * 1024;

/** Longer than the answers that a gateway buffers to repeat the call. */
const LONG_BODY = 'l'.repeat(300_000);

const CUT_HEAD = createHead({ callId: 'c-1', headers: ['Content-Length: 9000'] });

const ANSWERS: Readonly<Record<string, string>> = {
  short: createCompleteAnswer('c-1'),
  long: createCompleteAnswer('c-1', LONG_BODY),
  cut: `${CUT_HEAD}part`,
  'that of another call': createCompleteAnswer('c-2'),
};

describe('what an attempt makes its gateway keep', () => {
  let agent: GuardedAgent;
  let backend: RawBackend;
  /** Bytes that are counted for the call. */
  let keptBytes: number;

  beforeEach(async () => {
    keptBytes = 0;
    agent = new GuardedAgent({ keepAlive: true });
    backend = new RawBackend(() => {});
    await backend.start();
  });

  afterEach(async () => {
    agent.destroy();
    await backend.stop();
  });

  function start(): AttemptRun {
    const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
    const request = {
      method: 'GET',
      target: '/read/x',
      rawHeaders: ['Call-Id', 'c-1'],
      callId: 'c-1',
      body: Buffer.alloc(0),
      bodyRest: null,
      remainingMs: 2_000,
      noteKept: (bytes: number) => {
        keptBytes += bytes;
      },
    };
    const observer = { onConnect: () => {}, onLimit: () => {}, onNotice: () => {} };
    return new AttemptRun(agent, TEST_PROFILE, new BackendView(record), request, observer);
  }

  /** Reads the body of a long answer to its end. */
  function readAll(result: AttemptResult): Promise<number> {
    return new Promise((resolve, reject) => {
      let bytes = 0;
      if (result.type !== AttemptResultType.Answer || !result.answer.longBody) resolve(bytes);
      else {
        result.answer.longBody.read({
          onData: (chunks) => {
            bytes += chunks.reduce((sum, { length }) => sum + length, 0);
            return true;
          },
          onEnd: () => resolve(bytes),
          onBroken: () => reject(new Error('broken')),
        });
      }
    });
  }

  // Guards against hundreds of attempts whose read buffers nobody counts.
  it('is at least the buffer of its connection while it waits', async () => {
    const run = start();
    expect(keptBytes).toBe(READ_BUFFER_BYTES);
    run.cancel();
    await waitUntil(() => keptBytes === 0, 'the end of the attempt');
  });

  // Guards against bytes that stay counted, so that connections of ordinary callers are ended.
  it.each(Object.keys(ANSWERS))('is nothing once its answer has ended: %s', async (name) => {
    backend.reply = createReply((socket) => {
      socket.write(ANSWERS[name]!);
      if (name === 'cut') socket.end();
    });
    await readAll(await start().result);
    await waitUntil(() => keptBytes === 0, 'the end of the attempt');
  });

  // Guards against the first part of a long answer that is kept until its call has ended.
  it('is not the part of a long answer that was passed on', async () => {
    backend.reply = createReply((socket) => socket.write(ANSWERS.long!.slice(0, -9)));
    const result = await start().result;
    expect(result).toMatchObject({ answer: { body: Buffer.alloc(0) } });
    expect(keptBytes).toBeGreaterThan(READ_BUFFER_BYTES + 256 * 1024);
    readAll(result).catch(() => {});
    expect(keptBytes).toBe(READ_BUFFER_BYTES);
  });
});
