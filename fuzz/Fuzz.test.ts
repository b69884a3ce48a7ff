import { describe, expect, it } from 'vitest';
import { MUTATIONS } from './Mutations.js';
import { renderTrace, runFuzz } from './Runner.js';

const SEED = 7;
const RUNS = 150;
const MUTATION_RUNS = 200;

/** Long enough for all worlds of one test on a busy machine. */
const TIMEOUT_MS = 180_000;

describe('fuzz', { timeout: TIMEOUT_MS }, () => {
  it('finds no invariant violation in the unmodified code', async () => {
    const result = await runFuzz({ seed: SEED, runs: RUNS });
    expect(result.failed, renderTrace(result)).toBe(false);
  });

  it.each(MUTATIONS)('detects: $name', async ({ apply, violates, endsTruncatedCleanly }) => {
    const applied = apply();
    try {
      const options = { seed: SEED, runs: MUTATION_RUNS, quick: true, endsTruncatedCleanly };
      const result = await runFuzz(options);
      expect(result.failed).toBe(true);
      expect(
        violates.some((invariant) => result.message.includes(invariant)),
        result.message,
      ).toBe(true);
    } finally {
      applied.dispose();
    }
  });
});
