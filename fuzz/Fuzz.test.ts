import { describe, expect, it } from 'vitest';
import { MUTATIONS } from './Mutations.js';
import { renderTrace, runFuzz } from './Runner.js';

const SEED = 7;
const RUNS = 150;
const MUTATION_RUNS = 200;

/** Time for one run of worlds on a machine that is busy with other work. */
const TIMEOUT_MS = 180_000;

describe('fuzz', { timeout: TIMEOUT_MS }, () => {
  it('finds no broken promise in the real decisions', async () => {
    const result = await runFuzz({ seed: SEED, runs: RUNS });
    expect(result.failed, renderTrace(result)).toBe(false);
  });

  it.each(MUTATIONS)('catches: $name', async ({ apply, breaks, endsCutAnswersCleanly }) => {
    const applied = apply();
    try {
      const options = { seed: SEED, runs: MUTATION_RUNS, quick: true, endsCutAnswersCleanly };
      const result = await runFuzz(options);
      expect(result.failed).toBe(true);
      expect(
        breaks.some((promised) => result.message.includes(promised)),
        result.message,
      ).toBe(true);
    } finally {
      applied.dispose();
    }
  });
});
