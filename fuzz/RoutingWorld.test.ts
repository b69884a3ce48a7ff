import { describe, expect, it } from 'vitest';
import { RoutingProgress } from '../src/control/RoutingProgress.js';
import { FreshnessState, RoutingFreshness } from '../src/gateway/RoutingFreshness.js';
import { patch } from './Mutations.js';
import { runRoutingWorlds } from './RoutingRunner.js';

const FIRST_SEED = 1;
const SEEDS = 25;

/** Seeds in which at least one violation shows each planted defect. */
const DEFECT_SEEDS = 150;

/** Planted defects that the worlds must detect. */
const DEFECTS: readonly {
  readonly name: string;
  readonly apply: () => { dispose(): void };
}[] = [
  {
    name: 'gateways that never doubt their routing, and confirmations that wait for none',
    apply: () => {
      const patches = [
        patch(RoutingFreshness, 'stateAt', () => FreshnessState.Current),
        patch(RoutingProgress, 'missing', () => ({
          gatewayIds: [],
          awareIds: [],
          controlHostIds: [],
        })),
      ];
      return { dispose: () => patches.forEach((item) => item.dispose()) };
    },
  },
];

describe('changes of the routing under faults', { timeout: 180_000 }, () => {
  it('are in force at gateways in touch', async () => {
    const { violations, checks } = await runRoutingWorlds(FIRST_SEED, SEEDS);
    expect(violations[0]?.message).toBeUndefined();
    expect(checks).toBeGreaterThan(1_000);
  });

  it.each(DEFECTS)('are found late with $name', async ({ apply }) => {
    const applied = apply();
    try {
      const { violations } = await runRoutingWorlds(FIRST_SEED, DEFECT_SEEDS);
      expect(violations).toHaveLength(1);
    } finally {
      applied.dispose();
    }
  });
});
