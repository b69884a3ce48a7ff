import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import { createReply, startTestGateway, type TestGateway } from './fixtures.js';

/** Requests of one connection that may be in progress. */
const REQUESTS_AHEAD_MAX = 64;

const KEY = 'key-of-a-customer';

describe('a request on a connection that ends before an answer to it', () => {
  let backend: RawBackend;
  let gateway: TestGateway;
  let client: RawClient;

  beforeEach(async () => {
    backend = new RawBackend(createReply(() => {}));
    await backend.start();
    gateway = await startTestGateway({ alpha: { 'b-1': backend }, route: { timeoutMs: 20_000 } });
    client = new RawClient(gateway.port);
  });

  afterEach(async () => {
    client.close();
    await gateway.stop();
  });

  // Guards against a cut request that nothing tells from one that was never read.
  it('is logged, without its key', async () => {
    const paths = Array.from(
      { length: REQUESTS_AHEAD_MAX + 1 },
      (unused, index) => `/read/${index}`,
    );
    client.get(paths, (path) => ({
      Host: 'calls.example',
      'Call-Id': path,
      Authorization: `Token ${KEY}`,
    }));
    const unadmitted = () => gateway.logged.filter(({ event }) => event === 'call_unadmitted');
    await waitUntil(() => unadmitted().length > 0, 'the line of the last request');
    const target = `/read/${REQUESTS_AHEAD_MAX}`;
    expect(unadmitted()).toEqual([
      {
        event: 'call_unadmitted',
        fields: { call: target, target, closedForMs: undefined, stopping: false },
      },
    ]);
    expect(JSON.stringify(gateway.logged)).not.toContain(KEY);
  });
});
