import { createRandom } from '../../src/common/Random.js';
import { RolloutState } from '../../src/common/rollouts/Types.js';
import { Disturbance, drawFault, drawValue, FaultKind, FaultOnset } from './RolloutFaults.js';
import {
  runRolloutTrial,
  type RolloutTrialOptions,
  type RolloutTrialResult,
} from './RolloutTrial.js';

/** Loads like those of the deployments: many short calls, fewer longer ones, and few. */
const LOADS = [
  { callsPerSecond: 373, servers: 60, gateways: 40, slots: 4, workMs: 180 },
  { callsPerSecond: 135, servers: 40, gateways: 40, slots: 4, workMs: 250 },
  { callsPerSecond: 43, servers: 20, gateways: 20, slots: 2, workMs: 200 },
  { callsPerSecond: 90, servers: 40, gateways: 20, slots: 2, workMs: 220 },
];

/** Trial and its result. */
export interface Trial {
  readonly options: RolloutTrialOptions;
  readonly result: RolloutTrialResult;
  readonly isBad: boolean;
}

/** Draws a trial; half of the versions are good. */
export function drawTrial(seed: number): RolloutTrialOptions {
  const random = createRandom(seed * 7_919 + 17);
  const durationMs = 12_000 + Math.floor(random.next() * 6_000);
  const isBad = seed % 2 === 1;
  const kind = random.next() < 0.5 ? FaultKind.Failures : FaultKind.Slow;
  const onset = drawValue(random, FaultOnset);
  const load = LOADS[Math.floor(random.next() * LOADS.length)]!;
  return {
    seed,
    fault: drawFault(random, isBad ? kind : FaultKind.None, onset, durationMs),
    disturbance: drawValue(random, Disturbance),
    durationMs,
    ...load,
  };
}

/** Runs trials one after the other. */
export async function runTrials(firstSeed: number, count: number): Promise<Trial[]> {
  const trials: Trial[] = [];
  for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
    const options = drawTrial(seed);
    // eslint-disable-next-line no-await-in-loop
    const result = await runRolloutTrial(options);
    trials.push({ options, result, isBad: options.fault.kind !== FaultKind.None });
  }
  return trials;
}

/** True if the trial ended as the requirement says. */
export function isRight({ result, isBad }: Trial): boolean {
  return result.state === (isBad ? RolloutState.RolledBack : RolloutState.Completed);
}

/** True if a bad version got more calls than allowed, or got them for too long. */
export function isOverexposed({ result, isBad }: Trial): boolean {
  return isBad && (result.exposed > result.allowed || result.lastCallAfter50BadMs > 5_000);
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Formats one row of the table in docs/design/rollouts.md for each group of trials. */
export function renderTrials(trials: readonly Trial[]): string[] {
  const groups = new Map<string, Trial[]>();
  trials.forEach((trial) => {
    const { fault, disturbance } = trial.options;
    const group = trial.isBad ? `bad: ${fault.kind}, ${fault.onset}` : `good: ${disturbance}`;
    groups.set(group, [...(groups.get(group) ?? []), trial]);
  });
  return [...groups].sort().map(([group, members]) => {
    const wrong = members.filter((trial) => !isRight(trial)).length;
    const over = members.filter(isOverexposed).length;
    const used = members.map(({ result }) => result.exposed / result.allowed);
    const times = members.map(({ result }) => result.endedAfterMs / 1_000);
    const p = (values: readonly number[], share: number) => quantile(values, share).toFixed(2);
    return (
      `| ${group} | ${members.length} | ${wrong} | ${over} | ` +
      `${p(used, 0.5)} / ${p(used, 0.9)} / ${p(used, 1)} | ` +
      `${p(times, 0.5)} / ${p(times, 0.9)} |`
    );
  });
}
