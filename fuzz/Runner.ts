import { setImmediate as nextTurn } from 'node:timers/promises';
import fc from 'fast-check';
import { stepsArbitrary, runSteps, type Step } from './Commands.js';
import { World } from './World.js';

/** Options of {@link runFuzz}. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  /** Stops at the first failure without shrinking it. */
  readonly quick?: boolean;
  /** Planted defect of the entry host model. */
  readonly endsTruncatedCleanly?: boolean;
}

/** Result of a fuzz run. */
export interface FuzzResult {
  readonly failed: boolean;
  readonly runs: number;
  /** Violated invariant and detail; empty if none was violated. */
  readonly message: string;
  /** Steps of the failing run, shrunk unless `quick` is set. */
  readonly steps: readonly Step[];
  readonly worldSeed: number;
}

const MAX_WORLD_SEED = 1_000_000;

/** Runs random steps in random worlds, and shrinks the first failure. */
export async function runFuzz(options: FuzzOptions): Promise<FuzzResult> {
  const details = await fc.check(
    fc.asyncProperty(fc.nat({ max: MAX_WORLD_SEED }), stepsArbitrary, async (seed, steps) => {
      // Yields: on a busy machine, a test runner treats a thread that blocks for a minute as hung.
      await nextTurn();
      const { endsTruncatedCleanly } = options;
      runSteps(new World({ seed, endsTruncatedCleanly }), steps);
    }),
    { seed: options.seed, numRuns: options.runs, endOnFailure: options.quick ?? false },
  );
  const [worldSeed = 0, steps = []] = details.counterexample ?? [];
  return {
    failed: details.failed,
    runs: details.numRuns,
    message: String(details.errorInstance ?? ''),
    steps,
    worldSeed,
  };
}

/** Renders a trace, one step per line. */
export function renderTrace(result: FuzzResult): string {
  const lines = result.steps.map((step, index) => `  ${index + 1}. ${step.kind} ${step.pick}`);
  return [`worldSeed=${result.worldSeed}`, result.message, ...lines].join('\n');
}
