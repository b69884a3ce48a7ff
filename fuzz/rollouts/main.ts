import { isRight, isOverexposed, renderTrials, runTrials } from './Trials.js';

/** Trials and first seed if the command line names none. */
const DEFAULT_COUNT = '1000';
const DEFAULT_SEED = '1';

const [count = DEFAULT_COUNT, seed = DEFAULT_SEED] = process.argv.slice(2);
const trials = await runTrials(Number(seed), Number(count));
const write = (line: string) => process.stdout.write(`${line}\n`);
renderTrials(trials).forEach(write);
trials
  .filter((trial) => !isRight(trial) || isOverexposed(trial))
  .forEach(({ options, result }) => {
    const { seed: number, fault, disturbance, callsPerSecond } = options;
    const { state, exposed, allowed, endedAfterMs } = result;
    write(
      `seed=${number} ${fault.kind} ${fault.onset} ${disturbance} rate=${callsPerSecond} ` +
        `failures=${fault.failureShare.toFixed(2)} factor=${fault.slowFactor.toFixed(1)} ` +
        `begins=${Math.round(fault.beginsAfterMs)} state=${state} exposed=${exposed} ` +
        `allowed=${Math.round(allowed)} endedMs=${Math.round(endedAfterMs)}`,
    );
  });
