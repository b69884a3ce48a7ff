import { describe, expect, it } from 'vitest';
import { MUTATIONS } from './Mutations.js';
import { renderTrace, runFuzz } from './Runner.js';

const SEED = 7;
const RUNS = 150;
const MUTATION_RUNS = 200;

describe('fuzz', () => {
  it('finds no broken promise in the real decisions', () => {
    const result = runFuzz({ seed: SEED, runs: RUNS });
    expect(result.failed, renderTrace(result)).toBe(false);
  });

  it.each(MUTATIONS)('catches: $name', ({ apply, breaks, endsCutAnswersCleanly }) => {
    const applied = apply();
    try {
      const options = { seed: SEED, runs: MUTATION_RUNS, quick: true, endsCutAnswersCleanly };
      const result = runFuzz(options);
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
