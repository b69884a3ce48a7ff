import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { RawBackend, type RawReply } from '../../../standin/RawBackend.js';
import { createService } from '../../common/routing/fixtures.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { BackendClient } from './BackendClient.js';
import { TEST_PROFILE } from './fixtures.js';

const PROBE_TIMEOUT_MS = 20;

const HEALTHY = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';

const backends: RawBackend[] = [];

afterEach(async () => {
  await Promise.all(backends.splice(0).map((backend) => backend.stop()));
});

/** Sends two probes, the second once the first has ended, to a backend server. */
async function probeTwice(reply: RawReply, pauseMs: number) {
  const backend = new RawBackend(reply);
  backends.push(backend);
  await backend.start();
  const client = new BackendClient({ profile: TEST_PROFILE, probeTimeoutMs: PROBE_TIMEOUT_MS });
  const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
  const view = new BackendView(record);
  const first = await client.probe(view, createService());
  await sleep(pauseMs);
  const second = await client.probe(view, createService());
  client.dispose();
  return { first, second, connections: backend.connections.length };
}

describe('a probe whose answer comes after its timeout', () => {
  // Guards against new connections for every late answer: busy hosts then open the most.
  it('fails at the timeout, and its connection serves the next probe', async () => {
    let probes = 0;
    const { first, second, connections } = await probeTwice((socket) => {
      probes += 1;
      setTimeout(() => socket.write(HEALTHY), probes === 1 ? 3 * PROBE_TIMEOUT_MS : 0);
    }, 5 * PROBE_TIMEOUT_MS);
    expect(first).toBeNull();
    expect(second?.healthy).toBe(true);
    expect(connections).toBe(1);
  });

  // Guards against a probe that waits behind one that is never answered.
  it('does not delay the next probe, which has a connection of its own', async () => {
    let probes = 0;
    const { first, second, connections } = await probeTwice((socket) => {
      probes += 1;
      if (probes > 1) socket.write(HEALTHY);
    }, 0);
    expect(first).toBeNull();
    expect(second?.healthy).toBe(true);
    expect(connections).toBe(2);
  });
});
