import { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { RawBackend } from '../../../standin/RawBackend.js';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { AttemptResultType, type AttemptResult } from '../Types.js';
import { AttemptRun } from './AttemptRun.js';
import { TEST_PROFILE, soundReply } from './fixtures.js';

const agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo' });
const backend = new RawBackend(soundReply);

function attempt(callId: string): Promise<AttemptResult> {
  const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
  const request = {
    method: 'POST',
    target: '/order/x',
    rawHeaders: ['Call-Id', callId],
    callId,
    body: Buffer.alloc(0),
    bodyRest: null,
    remainingMs: 1_000,
  };
  const observer = { onConnect: () => {}, onLimit: () => {}, onNotice: () => {} };
  return new AttemptRun(agent, TEST_PROFILE, new BackendView(record), request, observer).result;
}

afterEach(async () => {
  agent.destroy();
  await backend.stop();
});

describe('an attempt on a pooled connection that was closed right before', () => {
  // Guards against a call that ends as "may have run" though no byte of it was written.
  it('is reported as not sent', async () => {
    await backend.start();
    await Promise.all([attempt('c-1'), attempt('c-2')]);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const idle = Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? []);
    expect(idle).toHaveLength(2);
    idle.at(-1)!.destroy();
    expect((await attempt('c-3')).type).toBe(AttemptResultType.NotSent);
    expect(backend.requests).toHaveLength(2);
  });
});

describe('an attempt whose connection is never opened', () => {
  // Guards against a call that waits for a lost gateway until its deadline.
  it('is reported as not sent once the time to connect is over', async () => {
    const hanging = new GuardedAgent({ keepAlive: true });
    const connect = () => Object.assign(new Socket(), { connecting: true });
    Object.assign(hanging, { createConnection: connect });
    const record = createBackend('b-1');
    const request = {
      method: 'GET',
      target: '/read/x',
      rawHeaders: ['Call-Id', 'c-1'],
      callId: 'c-1',
      body: Buffer.alloc(0),
      bodyRest: null,
      remainingMs: 20_000,
      connectTimeoutMs: 20,
    };
    const observer = { onConnect: () => {}, onLimit: () => {}, onNotice: () => {} };
    const run = new AttemptRun(hanging, TEST_PROFILE, new BackendView(record), request, observer);
    expect((await run.result).type).toBe(AttemptResultType.NotSent);
    hanging.destroy();
  });
});
