import { ZoneWorld, type ZoneLoad, type ZoneWorldOptions } from '../standin/ZoneWorld.js';
import { readOption } from './Options.js';
import { printResult, printTable, type BenchRow } from './Table.js';

/** Length of every scenario, and of its middle part in which something happens. */
const DAY_MS = 9_000;
const FROM_MS = 3_000;
const UNTIL_MS = 6_000;

type Scenario = Omit<ZoneWorldOptions, 'seed' | 'zoneCrossing'>;

/** Loads from rates by zone. */
function loadsOf(rates: readonly number[], fromMs = 0, untilMs = DAY_MS): ZoneLoad[] {
  return rates.map((callsPerSecond, zone) => ({ zone, fromMs, untilMs, callsPerSecond }));
}

function zonesOf(backends: readonly number[], gateways: number) {
  return backends.map((count) => ({ backends: count, gateways }));
}

/** Downloads of the deployment with four zones. */
const DOWNLOADS = {
  slots: 4,
  queueMax: 16,
  workMs: 184,
  objectiveMs: 3_377,
  deadlineMs: 11_200,
  answerBytes: 90_000,
  zones: zonesOf([5, 5, 5, 5], 8),
};

/** Live readings of the deployment with three zones. */
const READINGS = {
  slots: 2,
  queueMax: 8,
  workMs: 190,
  objectiveMs: 670,
  deadlineMs: 2_000,
  answerBytes: 2_000,
};

/** Lookups of the deployment with four zones, on the given numbers of servers. */
const LOOKUPS = {
  slots: 4,
  queueMax: 16,
  workMs: 150,
  objectiveMs: 626,
  deadlineMs: 7_500,
  answerBytes: 2_000,
};

const EVEN_READINGS = { ...READINGS, zones: zonesOf([32, 32, 33], 17) };

/** Loads and faults, by name. */
const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'even downloads': { ...DOWNLOADS, loads: loadsOf([11, 11, 11, 10]) },
  'burst of downloads in one zone': {
    ...DOWNLOADS,
    loads: [...loadsOf([11, 11, 11, 10]), ...loadsOf([200], FROM_MS, UNTIL_MS)],
  },
  'even readings': { ...EVEN_READINGS, loads: loadsOf([75, 75, 76]) },
  'busiest zone has fewest servers': {
    ...READINGS,
    zones: zonesOf([19, 39, 39], 17),
    loads: loadsOf([105, 55, 66]),
  },
  'own zone short of servers': {
    ...READINGS,
    zones: zonesOf([19, 39, 39], 17),
    loads: loadsOf([230, 55, 66]),
  },
  'callers shift between zones': {
    ...EVEN_READINGS,
    loads: [...loadsOf([200, 40, 40], 0, 4_500), ...loadsOf([40, 200, 40], 4_500)],
  },
  'two fifths of the servers slow': {
    ...LOOKUPS,
    zones: zonesOf([20, 20, 20, 20], 33),
    loads: loadsOf([93, 93, 93, 94]),
    slowShare: 0.4,
  },
  'lookups at 80 % of the slots': {
    ...LOOKUPS,
    zones: zonesOf([5, 5, 5, 5], 33),
    loads: loadsOf([106, 106, 106, 106]),
  },
  'lookups above capacity': {
    ...LOOKUPS,
    zones: zonesOf([5, 5, 5, 5], 33),
    loads: loadsOf([147, 147, 147, 147]),
    deadlineMs: 3_000,
  },
  'uneven readings above capacity': {
    ...READINGS,
    zones: zonesOf([19, 39, 39], 17),
    loads: loadsOf([600, 250, 270]),
  },
  'zone lost': {
    ...EVEN_READINGS,
    loads: loadsOf([75, 75, 76]),
    lost: { zone: 0, fromMs: FROM_MS, untilMs: UNTIL_MS },
  },
};

/**
 * Compares calls in time and cross-zone bytes with and without prices of crossings, in virtual time.
 *
 * Options: `--seeds` (comma-separated), `--scenario` (part of a name), `--ms-per-call`,
 * `--ms-per-kilobyte`.
 */
export async function benchCrossings(args: readonly string[]): Promise<void> {
  const seeds = readOption(args, '--seeds', '7').split(',').map(Number);
  const part = readOption(args, '--scenario', '');
  const zoneCrossing = {
    msPerCall: Number(readOption(args, '--ms-per-call', '20')),
    msPerKilobyte: Number(readOption(args, '--ms-per-kilobyte', '4')),
  };
  const runs = Object.entries(SCENARIOS)
    .filter(([name]) => name.includes(part))
    .flatMap(([name, scenario]) =>
      seeds.flatMap((seed) =>
        [undefined, zoneCrossing].map((prices) => ({ name, scenario, seed, prices })),
      ),
    );
  const rows: BenchRow[] = [];
  for (const { name, scenario, seed, prices } of runs) {
    // One simulation at a time, so that each has the processor to itself.
    // eslint-disable-next-line no-await-in-loop
    const result = await new ZoneWorld({ ...scenario, seed, zoneCrossing: prices }).run();
    rows.push({ scenario: name, seed, prices: prices ? 'with' : 'without', ...result });
  }
  printTable(rows);
  rows.forEach((row) => printResult('crossings', { ...row }));
}
