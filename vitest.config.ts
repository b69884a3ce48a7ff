import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'soak/**/*.test.ts', 'fuzz/**/*.test.ts', 'standin/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
