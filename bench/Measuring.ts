import { setTimeout as delay } from 'node:timers/promises';
import { Caller } from '../standin/Caller.js';
import { Cluster } from '../standin/Cluster.js';
import { buildTree, OTARU } from '../standin/Deployments.js';
import { printResult, printTable, type BenchRow } from './Table.js';

const ENTRY_HOSTS = [2, 8, 22];
const SETTLE_MS = 4_000;
const MEASURE_MS = 8_000;
const CALL_PAUSE_MS = 2;
const MS_PER_SECOND = 1_000;
const BUDGET_PER_SECOND = 2;

/** Measures announcements per backend server, by number of entry hosts, under light load. */
async function measure(entryHosts: number): Promise<BenchRow> {
  const cluster = await Cluster.start({
    deployments: [OTARU],
    tree: buildTree([OTARU]),
    controlHosts: 1,
    entryHosts,
  });
  await cluster.waitReady();
  const caller = new Caller({ id: 'bench', seeds: cluster.seeds, hashes: false });
  let running = true;
  const load = (async () => {
    while (running) {
      // A light load, one call after the other.
      // eslint-disable-next-line no-await-in-loop
      await caller.call({ service: 'ledger', path: '/records/1' });
      // eslint-disable-next-line no-await-in-loop
      await delay(CALL_PAUSE_MS);
    }
  })();
  await delay(SETTLE_MS);
  const sent = () => cluster.backends.map((backend) => backend.announcer!.sentCount);
  const before = sent();
  await delay(MEASURE_MS);
  const rates = sent().map(
    (count, index) => (count - before[index]!) / (MEASURE_MS / MS_PER_SECOND),
  );
  running = false;
  await load;
  caller.close();
  await cluster.stop();
  return {
    entryHosts,
    backends: rates.length,
    meanPerSecond: rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
    highestPerSecond: Math.max(...rates),
    budgetPerSecond: BUDGET_PER_SECOND,
  };
}

/** Measures the announcement rate, which must not grow with the number of entry hosts. */
export async function benchMeasuring(): Promise<void> {
  const rows: BenchRow[] = [];
  for (const entryHosts of ENTRY_HOSTS) {
    // One cluster at a time.
    // eslint-disable-next-line no-await-in-loop
    rows.push(await measure(entryHosts));
  }
  printTable(rows);
  const means = rows.map((row) => Number(row.meanPerSecond));
  printResult('measuring', {
    lowestMean: Math.min(...means),
    highestMean: Math.max(...means),
    highest: Math.max(...rows.map((row) => Number(row.highestPerSecond))),
  });
}
