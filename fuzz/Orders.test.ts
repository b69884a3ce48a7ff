import { setTimeout as delay } from 'node:timers/promises';
import { v7 as uuidV7 } from 'uuid';
import { describe, expect, it } from 'vitest';
import { Fleet } from '../bench/Fleet.js';
import type { KeyedRun } from '../bench/workers/Protocol.js';
import { createRandom, pickIndex } from '../src/common/Random.js';
import { SENDING_HEADER } from '../standin/BackendStandin.js';
import { Caller } from '../standin/Caller.js';
import { buildTree } from '../standin/Deployments.js';

const ORDERS = 2_000;
const PARALLEL = 40;
const MAX_RESENDS = 2;
const MIN_KILLS = 8;
const SERVICE = 'dispatch';
const ZONES = ['otaru-port', 'yoichi', 'shakotan'];
const ENTRY_HOSTS = 4;

/** Outcome of one sending of a request, as its caller received it. */
interface Sending {
  readonly sending: string;
  readonly outcome: string;
}

async function startFleet(): Promise<Fleet> {
  const deployment = {
    team: 'otaru',
    availabilityZones: ZONES,
    slots: 3,
    services: [{ service: SERVICE, backends: 6 }],
  };
  return Fleet.start({
    tree: buildTree(
      [deployment],
      { leaseMs: 1_000, announcementIntervalMs: 300 },
      { measuringPerSecond: 5 },
    ),
    zones: ZONES,
    controlHosts: 3,
    entryHosts: ENTRY_HOSTS,
    entryProcesses: ENTRY_HOSTS,
    loadProcesses: 0,
    backends: Array.from({ length: 6 }, (unused, index) => ({
      service: SERVICE,
      availabilityZone: ZONES[index % ZONES.length]!,
      slots: 3,
      serviceTime: { meanMs: 8, tailRatio: 0.05, tailMs: 80 },
      coldRequests: 0,
      announces: true,
    })),
  });
}

/** Progress of the kills, shared with the callers. */
interface KillState {
  kills: number;
  done: boolean;
}

/** Kills entry and control hosts with SIGKILL and restarts them, until `state.done` is set. */
async function killHosts(fleet: Fleet, state: KillState): Promise<void> {
  const random = createRandom(5);
  while (!state.done) {
    const entry = pickIndex(random, ENTRY_HOSTS);
    const control = pickIndex(random, 3);
    // The kills must happen one after the other.
    /* eslint-disable no-await-in-loop */
    await delay(250 + pickIndex(random, 500));
    await fleet.entries[entry]!.kill();
    await delay(150);
    if (state.kills % 2 === 0) {
      await fleet.controls[control]!.kill();
      await delay(300);
      await fleet.startControl(control);
    }
    await fleet.startEntryProcess(entry);
    /* eslint-enable no-await-in-loop */
    state.kills += 1;
  }
}

describe('keyed requests while hosts are killed with SIGKILL', () => {
  it('run at most once, and never if reported as "not run"', { timeout: 180_000 }, async () => {
    const fleet = await startFleet();
    const caller = new Caller({ id: 'crew', seeds: fleet.seeds, hashes: false });
    const random = createRandom(17);
    const sendings: Sending[] = [];
    const state: KillState = { kills: 0, done: false };
    let nextOrder = 0;
    let nextSending = 0;
    const send = async (key: string) => {
      nextSending += 1;
      const sending = `sending-${nextSending}`;
      const via = fleet.seeds[pickIndex(random, ENTRY_HOSTS)];
      try {
        const answer = await caller.call({
          via,
          service: SERVICE,
          path: '/orders',
          method: 'POST',
          body: key,
          headers: { 'Idempotency-Key': key, [SENDING_HEADER]: sending },
        });
        const reported = String(answer.headers['egret-outcome'] ?? answer.statusCode);
        sendings.push({ sending, outcome: answer.complete ? reported : 'truncated' });
      } catch {
        sendings.push({ sending, outcome: 'no-answer' });
      }
    };
    const runCaller = async () => {
      while (nextOrder < ORDERS || state.kills < MIN_KILLS) {
        nextOrder += 1;
        const key = uuidV7();
        const resends = Array.from({ length: pickIndex(random, MAX_RESENDS + 1) }, async () => {
          await delay(pickIndex(random, 120));
          await send(key);
        });
        // Each caller finishes one order before it starts the next one.
        // eslint-disable-next-line no-await-in-loop
        await Promise.all([send(key), ...resends]);
        // eslint-disable-next-line no-await-in-loop
        await send(key);
      }
    };
    const killsEnded = killHosts(fleet, state);
    await Promise.all(Array.from({ length: PARALLEL }, runCaller));
    state.done = true;
    await killsEnded;
    const runs = await fleet.backends.call<KeyedRun[]>('runs');
    caller.close();
    await fleet.stop();
    const runsPerKey = new Map<string, number>();
    runs.forEach(({ key }) => runsPerKey.set(key, (runsPerKey.get(key) ?? 0) + 1));
    const sendingsThatRan = new Set(runs.map((run) => run.sending));
    const falselyNotRun = sendings.filter(
      ({ sending, outcome }) => outcome === 'not-run' && sendingsThatRan.has(sending),
    );
    expect([...runsPerKey.values()].filter((count) => count > 1)).toEqual([]);
    expect(falselyNotRun).toEqual([]);
    expect(runsPerKey.size).toBeGreaterThan(ORDERS / 2);
  });
});
