import { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { createService } from '../../common/routing/fixtures.js';
import { GuardedAgent } from '../../runtime/GuardedAgent.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { AttemptResultType, ProbeMiss, type AttemptResult } from '../Types.js';
import { AttemptRun } from './AttemptRun.js';
import { BackendClient } from './BackendClient.js';
import { TEST_PROFILE, soundReply } from './fixtures.js';

const agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo' });
const backend = new RawBackend(soundReply);

function attempt(callId: string, profile = TEST_PROFILE): Promise<AttemptResult> {
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
  return new AttemptRun(agent, profile, new BackendView(record), request, observer).result;
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

describe('an attempt whose answer can not be read', () => {
  const fault = () => {
    throw new Error('unreadable');
  };

  beforeEach(() => backend.start());

  // Guards against a process that ends since reading the head of one answer throws.
  it('may have run', async () => {
    const result = await attempt('c-1', { ...TEST_PROFILE, readAnswer: fault });
    expect(result).toMatchObject({ type: AttemptResultType.Unknown });
    await waitUntil(() => backend.openConnections === 0, 'the end of the connection');
  });

  // Guards against the same for an answer to a probe.
  it('is a failed probe', async () => {
    const client = new BackendClient({ profile: { ...TEST_PROFILE, readHealth: fault } });
    const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
    const result = await client.probe(new BackendView(record), createService('alpha'));
    expect(result).toBe(ProbeMiss.Failed);
    client.dispose();
  });
});
