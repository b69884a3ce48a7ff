import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { RawBackend } from '../../../standin/RawBackend.js';
import { waitUntil } from '../../../standin/Cluster.js';
import { createService } from '../../common/routing/fixtures.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { BackendClient } from './BackendClient.js';
import { createReply, createCompleteAnswer, TEST_PROFILE } from './fixtures.js';
import { GatewayTraffic } from './GatewayTraffic.js';

interface Sample {
  readonly value: number;
  readonly labels: Readonly<Record<string, string>>;
}

async function samplesOf(registry: Registry): Promise<Record<string, number>> {
  const metric = await registry.getSingleMetric('egret_zone_bytes_total')!.get();
  const samples = metric.values as unknown as Sample[];
  return Object.fromEntries(
    samples.map(({ value, labels: { purpose, from, to } }) => [`${purpose} ${from}>${to}`, value]),
  );
}

// Guards against bytes of a pooled connection that are assigned to the request before or after.
it('assigns the bytes of one connection to probes, requests and answers by direction', async () => {
  const backend = new RawBackend(
    createReply((socket, callId) => socket.write(createCompleteAnswer(callId, 'x'.repeat(5_000)))),
  );
  await backend.start();
  const registry = new Registry();
  const traffic = new GatewayTraffic({ registry, availabilityZone: 'perth' });
  let counted = 0;
  const client = new BackendClient({
    profile: TEST_PROFILE,
    probeTimeoutMs: 2_000,
    onBytes: (view, kind, counts) => {
      counted += 1;
      traffic.noteBackend(view, kind, counts);
    },
  });
  const record = { address: '127.0.0.1', port: backend.port, availabilityZone: 'bunbury' };
  const view = new BackendView(createBackend('b-1', record));
  const send = (callId: string) =>
    client.send(view, {
      method: 'POST',
      target: '/read',
      rawHeaders: ['Host', 'alpha', 'Call-Id', callId],
      callId,
      body: Buffer.alloc(3_000),
      bodyRest: null,
      remainingMs: 2_000,
    }).result;
  await client.probe(view, createService('alpha'));
  await send('call-1');
  await client.probe(view, createService('alpha'));
  await waitUntil(() => counted === 3, 'the counts');
  const samples = await samplesOf(registry);
  client.dispose();
  await backend.stop();
  expect(samples['request perth>bunbury']).toBeGreaterThan(3_000);
  expect(samples['request perth>bunbury']).toBeLessThan(3_300);
  expect(samples['answer bunbury>perth']).toBeGreaterThan(5_000);
  expect(samples['answer bunbury>perth']).toBeLessThan(5_300);
  expect(samples['probe perth>bunbury']).toBeLessThan(400);
  expect(samples['probe bunbury>perth']).toBeLessThan(400);
});
