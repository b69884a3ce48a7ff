import { request as sendRequest, type IncomingMessage } from 'node:http';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { Role } from '../../common/Enums.js';
import { createTable } from '../../common/routing/fixtures.js';
import { openSingleControl } from '../../control/server/fixtures.js';
import { AdminRequestType } from '../../control/Types.js';
import { FAST_LINK_TIMING } from '../../runtime/MessageClient.js';
import { digestOfKey } from '../../runtime/KeyDigest.js';
import { RateLimitedLog } from '../../runtime/RateLimitedLog.js';
import { CapRefusal, type UsageCaps } from '../caps/UsageCaps.js';
import { GatewayServer } from './GatewayServer.js';
import { soundReply, startTestGateway, TEST_PROFILE } from './fixtures.js';

const HOST = '127.0.0.1';

const KEY = 'key-of-a';

const BOUNDS = { windowMs: 5_000, overshootRatio: 0.1, slackCalls: 20 };

const stops: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

/** Sends the head of a call with a body that never arrives, and returns the answer. */
function sendHead(port: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const headers = { Host: 'calls.example', Key: KEY, 'Content-Length': '1000' };
    const sent = sendRequest({ host: HOST, port, method: 'POST', path: '/order/x', headers });
    sent.on('response', (answer) => {
      resolve(answer);
      sent.destroy();
    });
    sent.on('error', reject);
    sent.flushHeaders();
  });
}

describe('a call beyond the usage cap of its customer', () => {
  it('guards against a refusal that waits for the body: 429 with Retry-After at once', async () => {
    const counted: (string | undefined)[] = [];
    const admit: UsageCaps['admit'] = ({ customer }) => {
      counted.push(customer);
      return { admitted: false, retryAfterMs: 1_500, reason: CapRefusal.Cap };
    };
    const backend = new RawBackend(soundReply);
    await backend.start();
    const gateway = await startTestGateway({
      alpha: { 'b-1': backend },
      calls: { caps: { admit } },
      customers: [{ name: 'a', keys: [], keyDigests: [digestOfKey(KEY)] }],
    });
    stops.push(() => gateway.stop());
    const answer = await sendHead(gateway.port);
    expect(answer.statusCode).toBe(429);
    expect(answer.headers['retry-after']).toBe('1.5');
    expect(answer.headers['egret-outcome']).toBe('not-run');
    expect(counted).toEqual(['a']);
  });
});

describe('usage reports over links', () => {
  it('guards against gateways that get no updates from a control host with caps', async () => {
    const folder = await mkdtemp(path.join(tmpdir(), 'egret-caps-'));
    const control = await openSingleControl(folder, {
      capBounds: BOUNDS,
      linkTiming: FAST_LINK_TIMING,
    });
    await control.start();
    stops.push(async () => {
      await control.stop();
      await rm(folder, { recursive: true, force: true });
    });
    await waitUntil(() => control.reducer.raft.isLeader, 'a leader');
    const customers = [{ name: 'a', keys: ['k'], ratePerSecond: 5, burst: 5 }];
    const { error } = await control.submitAuthenticated(
      {
        type: AdminRequestType.ChangeRouting,
        changeId: 'c-1',
        baseVersion: 0,
        version: 1,
        edit: { table: { ...createTable(), customers } },
      },
      { name: 'operator', team: '*', role: Role.Administrator },
    );
    expect(error).toBeNull();
    const lines: string[] = [];
    const gateway = new GatewayServer({
      id: 'entry-1',
      availabilityZone: 'perth',
      callers: { address: HOST, port: 0 },
      readiness: { address: HOST, port: 0, path: '/ready' },
      secret: 'secret',
      seeds: () => [{ address: HOST, port: control.port }],
      followMembership: false,
      profile: TEST_PROFILE,
      budget: { ratio: 0.2, windowMs: 10_000, slack: 68 },
      capBounds: BOUNDS,
      stopMs: 1_000,
      log: new RateLimitedLog({
        base: {},
        write: (text, done) => {
          lines.push(text);
          done();
        },
      }),
    });
    await gateway.start();
    stops.unshift(() => gateway.dispose());
    const has = (event: string) => lines.join('').includes(event);
    await waitUntil(() => has('caps_current'), 'updates of the control host');
    await control.stop();
    await waitUntil(() => has('caps_alone'), 'the loss of the updates');
  });
});
