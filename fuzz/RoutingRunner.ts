import { setImmediate as nextTurn } from 'node:timers/promises';
import { InvariantViolation } from './InvariantViolation.js';
import { RoutingWorld, type RoutingWorldCounts } from './RoutingWorld.js';

/** Number of faults and changes in one world. */
const STEPS = 40;

/** Options of {@link runRoutingWorlds}. */
export interface RoutingRunOptions {
  /** Number of violations after which the run ends. */
  readonly violationsMax?: number;
  /** Number of control hosts in each world; three or five by seed. */
  readonly controls?: number;
}

/** Result of {@link runRoutingWorlds}. */
export interface RoutingRun extends RoutingWorldCounts {
  readonly violations: InvariantViolation[];
  /** Virtual time of all worlds. */
  simulatedMs: number;
}

/**
 * Runs one {@link RoutingWorld} for each seed, and stops after a number of violations.
 *
 * @example
 * (await runRoutingWorlds(1, 25)).violations; // [] if no invariant was violated
 */
export async function runRoutingWorlds(
  first: number,
  runs: number,
  { violationsMax = 1, controls }: RoutingRunOptions = {},
): Promise<RoutingRun> {
  const run = { violations: [], simulatedMs: 0, confirmed: 0, checks: 0, refusing: 0, cutOff: 0 };
  const result: RoutingRun = run;
  for (let seed = first; seed < first + runs; seed += 1) {
    // Yields: a test runner treats a thread that blocks for a minute as hung.
    // eslint-disable-next-line no-await-in-loop
    await nextTurn();
    const world = new RoutingWorld({ seed, controls });
    try {
      world.run(STEPS);
    } catch (error) {
      if (!(error instanceof InvariantViolation)) throw error;
      result.violations.push(error);
    }
    result.simulatedMs += world.cluster.timeline.nowMs;
    const { confirmed, checks, refusing, cutOff } = world.counts;
    result.confirmed += confirmed;
    result.checks += checks;
    result.refusing += refusing;
    result.cutOff += cutOff;
    if (result.violations.length >= violationsMax) break;
  }
  return result;
}
