import { buildTree } from '../standin/Deployments.js';
import { Percentiles } from '../standin/Percentiles.js';
import { Fleet } from './Fleet.js';
import { printResult, printTable, type BenchRow } from './Table.js';
import type { RunLoadParams, StreamResult } from './workers/Protocol.js';

const SERVICE = 'echo';
const ZONE = 'bench';
const TARGET_P99_MS = 0.58;
const ROUNDS = 4;
const ROUND_MS = 2_000;
const WARM_UP_MS = 2_500;
const RATES = [
  { rate: 'light', ratePerSecond: 100 },
  { rate: 'steady', ratePerSecond: 1_000 },
];

/**
 * Measures the time that one entry host adds to a call: the same stand-in is called directly and
 * through the entry host, in alternating rounds of one run.
 */
export async function benchOverhead(): Promise<void> {
  const deployment = {
    team: 'bench',
    availabilityZones: [ZONE],
    slots: 64,
    services: [{ service: SERVICE, backends: 1 }],
  };
  const fleet = await Fleet.start({
    tree: buildTree([deployment], {}, { hedgeBudgetRatio: 0 }),
    zones: [ZONE],
    controlHosts: 1,
    entryHosts: 1,
    entryProcesses: 1,
    loadProcesses: 1,
    backends: [
      {
        service: SERVICE,
        availabilityZone: ZONE,
        slots: 64,
        serviceTime: { meanMs: 0, tailRatio: 0, tailMs: 0 },
        coldRequests: 0,
        announces: true,
      },
    ],
  });
  const direct = { address: '127.0.0.1', port: fleet.backendPorts[0]! };
  let seed = 1;
  const run = async (ratePerSecond: number, durationMs: number, isDirect: boolean) => {
    seed += 1;
    const params: RunLoadParams = {
      streams: [{ service: SERVICE, ratePerSecond, callerId: 'bench' }],
      durationMs,
      seeds: fleet.seeds,
      zones: [],
      asksByService: true,
      seed,
      ...(isDirect ? { direct } : {}),
    };
    const [result] = await fleet.loads[0]!.call<StreamResult[]>('run', params);
    return result!;
  };
  await run(RATES[1]!.ratePerSecond, WARM_UP_MS, true);
  await run(RATES[1]!.ratePerSecond, WARM_UP_MS, false);
  const rows: BenchRow[] = [];
  for (const { rate, ratePerSecond } of RATES) {
    const directMs = new Percentiles();
    const viaEntryMs = new Percentiles();
    let failed = 0;
    let cpuMs = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      // Rounds alternate, so that other load on the machine affects both paths alike.
      // eslint-disable-next-line no-await-in-loop
      const directResult = await run(ratePerSecond, ROUND_MS, true);
      // eslint-disable-next-line no-await-in-loop
      const before = await fleet.entries[0]!.figures();
      // eslint-disable-next-line no-await-in-loop
      const viaEntryResult = await run(ratePerSecond, ROUND_MS, false);
      // eslint-disable-next-line no-await-in-loop
      const after = await fleet.entries[0]!.figures();
      cpuMs += after.cpuMs - before.cpuMs;
      directResult.latenciesMs.forEach((value) => directMs.add(value));
      viaEntryResult.latenciesMs.forEach((value) => viaEntryMs.add(value));
      failed += viaEntryResult.failed + viaEntryResult.refusedNotRun;
    }
    rows.push({
      rate,
      callsPerSecond: ratePerSecond,
      calls: viaEntryMs.count,
      failed,
      entryCpuMsPerCall: cpuMs / Math.max(1, viaEntryMs.count),
      directP50Ms: directMs.quantile(0.5),
      directP99Ms: directMs.quantile(0.99),
      directP999Ms: directMs.quantile(0.999),
      addedP50Ms: viaEntryMs.quantile(0.5) - directMs.quantile(0.5),
      addedP99Ms: viaEntryMs.quantile(0.99) - directMs.quantile(0.99),
      addedP999Ms: viaEntryMs.quantile(0.999) - directMs.quantile(0.999),
    });
  }
  await fleet.stop();
  printTable(rows);
  printResult('overhead', {
    targetP99Ms: TARGET_P99_MS,
    lightAddedP99Ms: rows[0]!.addedP99Ms!,
    steadyAddedP99Ms: rows[1]!.addedP99Ms!,
    entryCpuMsPerCall: rows[1]!.entryCpuMsPerCall!,
    lightMet: Number(rows[0]!.addedP99Ms) <= TARGET_P99_MS ? 1 : 0,
    steadyMet: Number(rows[1]!.addedP99Ms) <= TARGET_P99_MS ? 1 : 0,
  });
}
