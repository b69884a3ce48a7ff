import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['crowds/**/*.test.ts'],
    // Each test has the machine's processor and memory to itself.
    fileParallelism: false,
    maxWorkers: 1,
    minWorkers: 1,
    testTimeout: 120_000,
    hookTimeout: 60_000,
  },
});
