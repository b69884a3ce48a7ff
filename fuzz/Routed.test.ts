import { describe, expect, it } from 'vitest';
import { RegistryFlow } from '../src/control/RegistryFlow.js';
import type { RoutingChangeCommand } from '../src/control/RoutingCommands.js';
import { RoutingState } from '../src/control/RoutingState.js';
import { RaftLog } from '../src/control/raft/RaftLog.js';
import { BackendPool } from '../src/gateway/BackendPool.js';
import { Promised } from './BrokenPromise.js';
import { patch } from './Mutations.js';
import { firstBroken } from './RoutedRunner.js';

const FIRST_SEED = 1;
const SEEDS = 25;

/** Wrong decisions that the oracle must notice. */
const DEFECTS: readonly {
  readonly name: string;
  readonly breaks: readonly Promised[];
  readonly apply: () => { dispose(): void };
}[] = [
  {
    name: 'a quorum of one',
    breaks: [Promised.InForce, Promised.Leaving],
    apply: () => patch(RaftLog, 'quorum', () => 1),
  },
  {
    name: 'a change that looks at no base version',
    breaks: [Promised.InForce],
    apply: () => {
      const { change } = RoutingState.prototype;
      return patch(
        RoutingState,
        'change',
        function baseless(this: RoutingState, index: number, command: RoutingChangeCommand) {
          return change.call(this, index, { ...command, baseVersion: this.view.version });
        },
      );
    },
  },
  {
    name: 'departures that are not relayed',
    breaks: [Promised.Leaving],
    apply: () => patch(RegistryFlow, 'isMajority', () => true),
  },
  {
    name: 'provisional records that are kept',
    breaks: [Promised.Leaving],
    apply: () => patch(BackendPool, 'dropProvisional', () => []),
  },
];

describe('routed services under faults', { timeout: 180_000 }, () => {
  it('keep every promise', async () => {
    expect((await firstBroken(FIRST_SEED, SEEDS))?.message).toBeUndefined();
  });

  it.each(DEFECTS)('catches: $name', async ({ apply, breaks }) => {
    const applied = apply();
    try {
      const broken = await firstBroken(FIRST_SEED, SEEDS * 3);
      expect(broken && breaks.includes(broken.promised), broken?.message ?? 'nothing').toBe(true);
    } finally {
      applied.dispose();
    }
  });
});
