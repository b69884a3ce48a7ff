import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { send } from '../soak/Http.js';
import { Cluster } from '../standin/Cluster.js';
import { buildTree, OTARU } from '../standin/Deployments.js';
import { Crowd } from './Crowd.js';
import { EntryProcess } from './EntryProcess.js';
import {
  largeChunks,
  repeat,
  requestsAhead,
  tinyChunks,
  unendedBody,
  unendedHead,
} from './Pieces.js';
import { ProcessMeter } from './ProcessMeter.js';
import type { CrowdClient } from './Types.js';

/** Smallest machine of the users. */
const MACHINE_MEMORY_MB = 250;

const HOLD_MS = 3_000;

/** Longest wait for an answer; a process that gives none counts as hung. */
const HUNG_MS = 30_000;

const RETRY_MS = 250;

const call = { path: '/ledger/records/1' };

const announcement = {
  path: '/egret/v1/announcements',
  headers: { Authorization: 'Bearer token-of-ledger' },
};

/** Crowds by the failure that their test guards against. */
const CROWDS: Readonly<Record<string, () => CrowdClient[]>> = {
  'few bodies in one-byte chunks': () =>
    repeat(4, () => ({ pieces: unendedBody(call, tinyChunks(500_000)) })),
  'many small bodies in one-byte chunks': () =>
    repeat(300, () => ({ pieces: unendedBody(call, tinyChunks(10_000)) })),
  'many bodies in 64 KB chunks': () =>
    repeat(800, () => ({ pieces: unendedBody(call, largeChunks(450_000)) })),
  'announcements in one-byte chunks': () =>
    repeat(20, () => ({ pieces: unendedBody(announcement, tinyChunks(200_000)) })),
  'heads that have no end': () => repeat(3_500, () => ({ pieces: unendedHead(call.path, 60_000) })),
  'requests sent ahead': () =>
    repeat(4, () => ({ pieces: requestsAhead(10_000, call.path, 0), reads: false })),
};

async function expectAnswer(address: string): Promise<void> {
  const endsMs = performance.now() + HUNG_MS;
  const ask = () =>
    send({ address, ...call, headers: { 'Egret-Caller': 'ordinary' }, timeoutMs: 3_000 });
  let answer = await ask();
  while (answer.status !== 200 && performance.now() < endsMs) {
    // An ordinary caller sends one request after the other.
    // eslint-disable-next-line no-await-in-loop
    await sleep(RETRY_MS);
    // eslint-disable-next-line no-await-in-loop
    answer = await ask();
  }
  expect(answer).toMatchObject({ status: 200 });
}

describe('entry host', () => {
  let cluster: Cluster;

  beforeAll(async () => {
    cluster = await Cluster.start({
      deployments: [OTARU],
      tree: buildTree([OTARU]),
      backendsPerService: 2,
    });
    await cluster.waitReady();
  });

  afterAll(() => cluster.stop());

  // Guards against memory without a bound over all connections, as at the gateway.
  it.each(Object.keys(CROWDS))('stays within its memory: %s', async (name) => {
    const entry = await EntryProcess.start(cluster);
    const meter = new ProcessMeter(entry.processId);
    try {
      await expectAnswer(entry.address);
      const crowd = await Crowd.send(entry.address, CROWDS[name]!());
      await sleep(HOLD_MS);
      await expectAnswer(entry.address);
      crowd.close();
      process.stdout.write(`${name}: ${Math.round(meter.peak.peakMemoryMb)} MB\n`);
      expect(entry.ended).toBeUndefined();
      expect(meter.peak.peakMemoryMb).toBeLessThan(MACHINE_MEMORY_MB);
    } finally {
      meter.stop();
      entry.stop();
    }
  });
});
