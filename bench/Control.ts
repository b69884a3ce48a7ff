import { mkdtemp, open, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { v7 as uuidV7 } from 'uuid';
import { AdminRequestType } from '../src/control/Types.js';
import { sendChange, type ChangeProgress } from '../src/ctl/ChangeSender.js';
import { buildTree, OTARU } from '../standin/Deployments.js';
import { Percentiles } from '../standin/Percentiles.js';
import { ControlClient } from './ControlClient.js';
import { Fleet } from './Fleet.js';
import { printResult, printTable, type BenchRow } from './Table.js';

const ENTRY_HOSTS = 20;
const CHANGES = 30;
const CLAIMS = 400;
const PARALLEL_CLAIMS = 64;
const SYNCS = 300;
const SYNC_BYTES = 300;
const IDLE_MS = 5_000;
const POLL_MS = 2;
const CHANGES_PER_DAY = 8_700;
const SECONDS_PER_DAY = 86_400;
const TARGET_IN_FORCE_MS = 3_000;
const RESTART_CHANGES = 1_000;
const QUEUE_MAX_PATH = '/teams/otaru/services/ledger/queueMax';

/** Measures the time until changes are applied, and confirmed in force, on every entry host. */
async function measureChanges(fleet: Fleet) {
  const applied = new Percentiles();
  const inForce = new Percentiles();
  const client = fleet.adminClient();
  for (let index = 0; index < CHANGES; index += 1) {
    const startedAtMs = performance.now();
    // One change after the other.
    // eslint-disable-next-line no-await-in-loop
    const change = await sendChange(client, { path: QUEUE_MAX_PATH, value: 100 + index });
    let appliedAtMs = 0;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop
      const { progress } = await client.send<ChangeProgress>({
        type: AdminRequestType.ShowChange,
        changeId: change.changeId,
      });
      if (appliedAtMs === 0 && progress!.applied >= ENTRY_HOSTS) appliedAtMs = performance.now();
      if (progress!.inForce) break;
      // eslint-disable-next-line no-await-in-loop
      await delay(POLL_MS);
    }
    applied.add((appliedAtMs || performance.now()) - startedAtMs);
    inForce.add(performance.now() - startedAtMs);
  }
  return { applied, inForce };
}

/** Opens a session with the leader, found through a ping to the first control host. */
async function connectLeader(fleet: Fleet): Promise<ControlClient> {
  const clients = fleet.controlPorts.map((port) => new ControlClient(port));
  await Promise.all(clients.map((client) => client.ready));
  await clients[0]!.ping(1);
  const leader = Number(clients[0]!.leaderId?.split('-')[1] ?? 0);
  clients.filter((client, index) => index !== leader).forEach((client) => client.close());
  return clients[leader]!;
}

/** Measures the latency of sequential claims, of parallel claims and of a ping. */
async function measureClaims(fleet: Fleet) {
  const client = await connectLeader(fleet);
  const roundTrip = new Percentiles();
  const sequential = new Percentiles();
  const parallel = new Percentiles();
  let lastId = 10;
  const timed = async (percentiles: Percentiles, action: () => Promise<unknown>) => {
    const startedAtMs = performance.now();
    await action();
    percentiles.add(performance.now() - startedAtMs);
  };
  const claim = (percentiles: Percentiles) => {
    lastId += 1;
    const id = `claim-${lastId}`;
    return timed(percentiles, () => client.claim(id, uuidV7()));
  };
  for (let index = 0; index < CLAIMS; index += 1) {
    lastId += 1;
    const pingId = lastId;
    // Requests are sent one after the other.
    // eslint-disable-next-line no-await-in-loop
    await timed(roundTrip, () => client.ping(pingId));
    // eslint-disable-next-line no-await-in-loop
    await claim(sequential);
  }
  const startedAtMs = performance.now();
  await Promise.all(
    Array.from({ length: PARALLEL_CLAIMS }, async () => {
      for (let index = 0; index < CLAIMS / 8; index += 1) {
        // eslint-disable-next-line no-await-in-loop
        await claim(parallel);
      }
    }),
  );
  const perSecond = parallel.count / ((performance.now() - startedAtMs) / 1000);
  client.close();
  return { roundTrip, sequential, parallel, perSecond };
}

/** Measures an append and sync of one small record, the least cost of any durable write. */
async function measureSyncs(): Promise<Percentiles> {
  const folder = await mkdtemp(path.join(tmpdir(), 'egret-sync-'));
  const handle = await open(path.join(folder, 'log'), 'a');
  const times = new Percentiles();
  const record = Buffer.alloc(SYNC_BYTES, 1);
  for (let index = 0; index < SYNCS; index += 1) {
    const startedAtMs = performance.now();
    // eslint-disable-next-line no-await-in-loop
    await handle.writeFile(record);
    // eslint-disable-next-line no-await-in-loop
    await handle.datasync();
    times.add(performance.now() - startedAtMs);
  }
  await handle.close();
  await rm(folder, { recursive: true, force: true });
  return times;
}

/** Measures control bytes and messages per second of one idle entry host. */
async function measureIdle(fleet: Fleet) {
  const before = await fleet.controlTraffic();
  await delay(IDLE_MS);
  const after = await fleet.controlTraffic();
  const hostSeconds = (IDLE_MS / 1000) * ENTRY_HOSTS;
  return {
    bytesPerSecond: (after.bytes - before.bytes) / hostSeconds,
    messagesPerSecond: (after.messages - before.messages) / hostSeconds,
  };
}

/** Measures the control bytes that one change adds to the idle ones of an entry host. */
async function measureChangeBytes(fleet: Fleet, idleBytesPerSecond: number): Promise<number> {
  const client = fleet.adminClient();
  const startedAtMs = performance.now();
  const before = await fleet.controlTraffic();
  for (let index = 0; index < CHANGES; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    await sendChange(client, { path: QUEUE_MAX_PATH, value: 900 + index });
  }
  await delay(500);
  const after = await fleet.controlTraffic();
  const seconds = (performance.now() - startedAtMs) / 1000;
  const bytes = (after.bytes - before.bytes) / ENTRY_HOSTS - idleBytesPerSecond * seconds;
  return bytes / CHANGES;
}

/** Kills every control host after many changes and times the recovery of the same revision. */
async function measureRestart(fleet: Fleet): Promise<BenchRow> {
  const client = fleet.adminClient();
  for (let index = 0; index < RESTART_CHANGES; index += 1) {
    // One change after the other.
    // eslint-disable-next-line no-await-in-loop
    await sendChange(client, { path: QUEUE_MAX_PATH, value: 1_000 + index });
  }
  const targetRevision = await fleet.revision();
  await Promise.all(fleet.controls.map((worker) => worker.kill()));
  const startedAtMs = performance.now();
  await Promise.all(fleet.controls.map((worker, index) => fleet.startControl(index)));
  let revision = 0;
  while (revision < targetRevision) {
    // eslint-disable-next-line no-await-in-loop
    await delay(POLL_MS);
    // eslint-disable-next-line no-await-in-loop
    revision = await fleet.revision();
  }
  return {
    restartChanges: RESTART_CHANGES,
    restartMs: performance.now() - startedAtMs,
    revisionBefore: targetRevision,
    revisionAfter: revision,
  };
}

/** Measures claims by number of voters, the rollout of changes, control traffic and restarts. */
export async function benchControl(): Promise<void> {
  const rows: BenchRow[] = [];
  let result: BenchRow = {};
  const syncs = await measureSyncs();
  for (const voters of [1, 3, 5]) {
    // One fleet at a time.
    // eslint-disable-next-line no-await-in-loop
    const fleet = await Fleet.start({
      tree: buildTree([OTARU]),
      zones: OTARU.availabilityZones,
      controlHosts: voters,
      entryHosts: ENTRY_HOSTS,
      entryProcesses: 1,
      loadProcesses: 0,
      backends: [],
    });
    // eslint-disable-next-line no-await-in-loop
    const { roundTrip, sequential, parallel, perSecond } = await measureClaims(fleet);
    const row: BenchRow = {
      voters,
      roundTripP50Ms: roundTrip.quantile(0.5),
      roundTripP99Ms: roundTrip.quantile(0.99),
      syncP50Ms: syncs.quantile(0.5),
      syncP99Ms: syncs.quantile(0.99),
      claimP50Ms: sequential.quantile(0.5),
      claimP99Ms: sequential.quantile(0.99),
      parallelP50Ms: parallel.quantile(0.5),
      parallelP99Ms: parallel.quantile(0.99),
      claimsPerSecond: perSecond,
    };
    rows.push(row);
    if (voters === 3) {
      // eslint-disable-next-line no-await-in-loop
      const { applied, inForce } = await measureChanges(fleet);
      // eslint-disable-next-line no-await-in-loop
      const idle = await measureIdle(fleet);
      // eslint-disable-next-line no-await-in-loop
      const changeBytes = await measureChangeBytes(fleet, idle.bytesPerSecond);
      result = {
        appliedP50Ms: applied.quantile(0.5),
        appliedP99Ms: applied.quantile(0.99),
        inForceP50Ms: inForce.quantile(0.5),
        inForceP99Ms: inForce.quantile(0.99),
        targetMs: TARGET_IN_FORCE_MS,
        met: inForce.quantile(0.99) <= TARGET_IN_FORCE_MS ? 1 : 0,
        idleBytesPerSecond: idle.bytesPerSecond,
        idleMessagesPerSecond: idle.messagesPerSecond,
        bytesPerChange: changeBytes,
        bytesPerSecondAtTargetChanges:
          idle.bytesPerSecond + (changeBytes * CHANGES_PER_DAY) / SECONDS_PER_DAY,
        claimP50Ms: row.claimP50Ms!,
        claimP99Ms: row.claimP99Ms!,
        // eslint-disable-next-line no-await-in-loop
        ...(await measureRestart(fleet)),
      };
    }
    // eslint-disable-next-line no-await-in-loop
    await fleet.stop();
  }
  printTable(rows);
  printResult('control', result);
}
