import { PickPolicy } from '../src/gateway/DispatchTypes.js';
import { RoutedWorld, type LoadPhase } from '../standin/RoutedWorld.js';
import { readOption } from './Options.js';
import { printResult, printTable, type BenchRow } from './Table.js';

/** Load shapes: phases with their duration and their multiple of the configured rate. */
const SHAPES: Readonly<Record<string, readonly (readonly [phaseMs: number, factor: number])[]>> = {
  calm: [[10_000, 1]],
  burst: [
    [3_000, 1],
    [5_000, 2],
    [4_000, 1],
  ],
};

/**
 * Compares pick policies on simulated gateways and backend servers, in virtual time.
 *
 * Options, with Otaru's largest service as default: `--shape calm|burst`, `--policies`, `--rate`
 * (calls/s), `--gateways`, `--backends`, `--slots`, `--queue`, `--work` (ms), `--objective` (ms),
 * `--deadline` (ms), `--slow-share`, `--slow-times`, `--slow-spell` (ms), `--seed`.
 */
export async function benchPicks(args: readonly string[]): Promise<void> {
  const number = (name: string, fallback: number) =>
    Number(readOption(args, name, String(fallback)));
  const shape = readOption(args, '--shape', 'calm');
  const rate = number('--rate', 107);
  const phases: LoadPhase[] = (SHAPES[shape] ?? SHAPES.calm!).map(([durationMs, factor]) => ({
    durationMs,
    callsPerSecond: rate * factor,
  }));
  const policies = readOption(args, '--policies', Object.values(PickPolicy).join(',')).split(',');
  const rows: BenchRow[] = [];
  for (const policy of policies as PickPolicy[]) {
    const world = new RoutedWorld({
      policy,
      phases,
      seed: number('--seed', 7),
      gateways: number('--gateways', 20),
      backends: number('--backends', 19),
      slots: number('--slots', 3),
      queueMax: number('--queue', 12),
      workMs: number('--work', 90),
      objectiveMs: number('--objective', 250),
      deadlineMs: number('--deadline', 1_200),
      slowShare: number('--slow-share', 0.25),
      slowFactor: number('--slow-times', 7),
      slowPeriodMs: number('--slow-spell', 500),
    });
    // One simulation at a time, so that each has the processor to itself.
    // eslint-disable-next-line no-await-in-loop
    const { withinByPriority, ...result } = await world.run();
    rows.push({ policy, ...result });
  }
  printTable(rows);
  rows.forEach((row) => printResult('picks', { shape, ...row }));
}
