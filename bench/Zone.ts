import { setTimeout as delay } from 'node:timers/promises';
import { ZoneState } from '../src/common/Enums.js';
import { sendChange } from '../src/ctl/ChangeSender.js';
import { Caller } from '../standin/Caller.js';
import { createBundle } from '../standin/Bundle.js';
import { buildTree, SWANBOURNE } from '../standin/Deployments.js';
import { Percentiles } from '../standin/Percentiles.js';
import { Fleet } from './Fleet.js';
import { readOption } from './Options.js';
import { printResult, printTable, type BenchRow } from './Table.js';
import type { BackendSpec, RunLoadParams, StreamResult } from './workers/Protocol.js';

const ENTRY_HOSTS = 20;
const ENTRY_PROCESSES = 3;
const ROUNDS = 3;
const PHASE_MS = 4_000;
const SERVICE_TIME = { meanMs: 60, tailRatio: 0.05, tailMs: 600 };
/** Mean of {@link SERVICE_TIME} with its tail. */
const MEAN_SERVICE_MS = 87;
const BUNDLE_BYTES = 4 * 1024 * 1024;
const BUNDLE_SERVICE = 'notice-store';
const LAST_NEW_WORK_TARGET_S = 3;

function buildSpecs(): BackendSpec[] {
  return SWANBOURNE.services.flatMap(({ service, backends }) =>
    Array.from({ length: backends }, (unused, index) => ({
      service,
      availabilityZone: SWANBOURNE.availabilityZones[index % 3]!,
      slots: SWANBOURNE.slots,
      serviceTime: SERVICE_TIME,
      coldRequests: 3,
      bundleBytes: BUNDLE_BYTES,
      announces: true,
    })),
  );
}

/** Result of one phase of a round. */
interface Phase {
  readonly latencies: Percentiles;
  readonly refused: number;
  readonly failed: number;
}

/** Measures the service while an availability zone is taken out and put back, three times. */
export async function benchZone(args: readonly string[]): Promise<void> {
  const loadRatio = Number(readOption(args, '--use', '50')) / 100;
  const fleet = await Fleet.start({
    tree: buildTree([SWANBOURNE]),
    zones: SWANBOURNE.availabilityZones,
    controlHosts: 3,
    entryHosts: ENTRY_HOSTS,
    entryProcesses: ENTRY_PROCESSES,
    loadProcesses: 1,
    backends: buildSpecs(),
  });
  const zone = SWANBOURNE.availabilityZones[2]!;
  const path = `/teams/${SWANBOURNE.team}/availabilityZones/${zone}/state`;
  const streams = SWANBOURNE.services.map(({ service, backends }) => ({
    service,
    callerId: 'caller',
    ratePerSecond: (backends * SWANBOURNE.slots * 1000 * loadRatio) / MEAN_SERVICE_MS,
  }));
  let seed = 1;
  const runPhase = async (durationMs: number): Promise<Phase> => {
    seed += 1;
    const params: RunLoadParams = {
      streams,
      durationMs,
      seed,
      seeds: fleet.seeds,
      zones: SWANBOURNE.availabilityZones,
      asksByService: true,
    };
    const results = await fleet.loads[0]!.call<StreamResult[]>('run', params);
    const latencies = new Percentiles();
    results.forEach((item) => item.latenciesMs.forEach((value) => latencies.add(value)));
    const sum = (field: 'refusedNotRun' | 'failed') =>
      results.reduce((total, item) => total + item[field], 0);
    return { latencies, refused: sum('refusedNotRun'), failed: sum('failed') };
  };
  const expected = createBundle(BUNDLE_SERVICE, BUNDLE_BYTES).sha256;
  const caller = new Caller({ id: 'inspector', seeds: fleet.seeds });
  let downloading = true;
  let bundles = 0;
  let broken = 0;
  const downloads = (async () => {
    while (downloading) {
      try {
        // One bundle after the other.
        // eslint-disable-next-line no-await-in-loop
        const answer = await caller.call({ service: BUNDLE_SERVICE, path: '/bundles/notice' });
        if (answer.statusCode === 200) bundles += 1;
        if (answer.statusCode === 200 && answer.sha256 !== expected) broken += 1;
      } catch {
        broken += 1;
      }
    }
  })();
  await runPhase(PHASE_MS);
  const rows: BenchRow[] = [];
  const changeZone = async (state: ZoneState) => {
    await sendChange(fleet.adminClient(), { path, value: state });
    return Date.now();
  };
  for (let round = 1; round <= ROUNDS; round += 1) {
    // Phases run one after the other.
    /* eslint-disable no-await-in-loop */
    const before = await runPhase(PHASE_MS);
    const duringRun = runPhase(PHASE_MS);
    await delay(PHASE_MS / 8);
    const acceptedAtMs = await changeZone(ZoneState.Out);
    const during = await duringRun;
    const figures = await fleet.backendFigures();
    const lastMs = Math.max(
      ...figures
        .filter((item) => item.availabilityZone === zone)
        .map((item) => item.lastRequestWallMs),
    );
    const afterRun = runPhase(PHASE_MS);
    await delay(PHASE_MS / 8);
    await changeZone(ZoneState.In);
    const after = await afterRun;
    /* eslint-enable no-await-in-loop */
    rows.push({
      round,
      lastNewWorkS: Math.max(0, lastMs - acceptedAtMs) / 1000,
      beforeP99Ms: before.latencies.quantile(0.99),
      duringP99Ms: during.latencies.quantile(0.99),
      afterP99Ms: after.latencies.quantile(0.99),
      calls: before.latencies.count + during.latencies.count + after.latencies.count,
      refused: before.refused + during.refused + after.refused,
      failed: before.failed + during.failed + after.failed,
      bundles,
      brokenBundles: broken,
    });
  }
  downloading = false;
  await downloads;
  caller.close();
  await fleet.stop();
  printTable(rows);
  const worst = (name: string) => Math.max(...rows.map((row) => Number(row[name])));
  printResult('zone', {
    usePercent: loadRatio * 100,
    lastNewWorkS: worst('lastNewWorkS'),
    targetS: LAST_NEW_WORK_TARGET_S,
    beforeP99Ms: worst('beforeP99Ms'),
    duringP99Ms: worst('duringP99Ms'),
    afterP99Ms: worst('afterP99Ms'),
    refused: rows.reduce((total, row) => total + Number(row.refused), 0),
    failed: rows.reduce((total, row) => total + Number(row.failed), 0),
    brokenBundles: broken,
  });
}
