import { PickPolicy } from '../src/gateway/DispatchTypes.js';
import { RoutedWorld, type CallClass } from '../standin/RoutedWorld.js';
import { readOption } from './Options.js';
import { printResult, printTable, type BenchRow } from './Table.js';

/** Lookups, sign-offs and downloads of deployment A by their rates. */
const CLASSES: readonly CallClass[] = [
  { priority: 0, share: 0.68, objectiveMs: 626, deadlineMs: 7_500 },
  { priority: 1, share: 0.24, objectiveMs: 937, deadlineMs: 7_500 },
  { priority: 2, share: 0.08, objectiveMs: 3_377, deadlineMs: 11_200 },
];

const SLOTS = 4;

const WORK_MS = 184;

const MS_PER_SECOND = 1_000;

const numbers = (text: string) => text.split(',').map(Number);

/**
 * Compares picks with and without a probe budget on the same seeded loads in virtual time.
 *
 * Options: `--factors` (multiples of the capacity), `--gateways`, `--backends`, `--probes` (per
 * backend server and second; 0 for no budget), `--orders` (0 or 1: scheduling order), `--seconds`,
 * `--seed`.
 */
export async function benchOverload(args: readonly string[]): Promise<void> {
  const backends = Number(readOption(args, '--backends', '40'));
  const seconds = Number(readOption(args, '--seconds', '8'));
  const rows: BenchRow[] = [];
  const orders = numbers(readOption(args, '--orders', '0,1'));
  const cases = numbers(readOption(args, '--gateways', '20,133')).flatMap((gateways) =>
    numbers(readOption(args, '--factors', '0.5,0.9,1.2,2')).flatMap((factor) =>
      numbers(readOption(args, '--probes', '0,42')).flatMap((probes) =>
        orders.map((order) => ({ gateways, factor, probes, order })),
      ),
    ),
  );
  for (const { gateways, factor, probes, order } of cases) {
    const world = new RoutedWorld({
      policy: PickPolicy.JustInTime,
      seed: Number(readOption(args, '--seed', '7')),
      gateways,
      backends,
      slots: SLOTS,
      queueMax: 16,
      workMs: WORK_MS,
      objectiveMs: 626,
      deadlineMs: 7_500,
      classes: CLASSES,
      overload: order === 1,
      phases: [
        {
          durationMs: seconds * MS_PER_SECOND,
          callsPerSecond: (factor * backends * SLOTS * MS_PER_SECOND) / WORK_MS,
        },
      ],
      slowShare: 0.1,
      slowFactor: 3,
      slowPeriodMs: 1_000,
      ...(probes > 0 && { probesPerServerPerSecond: probes }),
    });
    // One simulation at a time, so that each has the processor to itself.
    // eslint-disable-next-line no-await-in-loop
    const { withinByPriority, ...result } = await world.run();
    const within = Object.entries(withinByPriority).map(([key, share]) => [`within${key}`, share]);
    rows.push({
      gateways,
      factor,
      probes,
      order,
      ...(Object.fromEntries(within) as Record<string, number>),
      probesPerCall: result.probesPerCall,
      rejectedShare: result.rejectedShare,
      serverProbesMax: result.serverProbesMax,
      meanProbesMax: result.meanProbesMax,
      refused: result.refused,
      p99Ms: result.p99Ms,
    });
  }
  printTable(rows);
  rows.forEach((row) => printResult('overload', row));
}
