import { describe, expect, it } from 'vitest';
import { RolloutState } from '../../src/common/rollouts/Types.js';
import { Disturbance, FaultKind, FaultOnset, type VersionFault } from './RolloutFaults.js';
import { runRolloutTrial, type RolloutTrialOptions } from './RolloutTrial.js';

function createFault(changes: Partial<VersionFault> = {}): VersionFault {
  return {
    kind: FaultKind.None,
    onset: FaultOnset.AtOnce,
    failureShare: 0.3,
    slowFactor: 4,
    beginsAfterMs: 6_000,
    loadPerServer: 0.2,
    ...changes,
  };
}

/** Runs a rollout of 12 s of a service with 135 calls per second. */
function runTrial(fault: VersionFault, changes: Partial<RolloutTrialOptions> = {}) {
  return runRolloutTrial({
    seed: 11,
    fault,
    disturbance: Disturbance.None,
    callsPerSecond: 135,
    servers: 20,
    gateways: 10,
    slots: 4,
    workMs: 200,
    durationMs: 12_000,
    ...changes,
  });
}

describe('a rollout in virtual time', () => {
  it.each([FaultOnset.AtOnce, FaultOnset.Later, FaultOnset.UnderLoad, FaultOnset.OneRoute])(
    'keeps the calls of a version that fails %s within the exposure limit',
    async (onset) => {
      const result = await runTrial(createFault({ kind: FaultKind.Failures, onset }));
      expect(result.state).toBe(RolloutState.RolledBack);
      expect(result.exposed).toBeLessThanOrEqual(result.allowed);
      expect(result.lastCallAfter50BadMs).toBeLessThan(5_000);
    },
  );

  it.each([FaultOnset.AtOnce, FaultOnset.Later, FaultOnset.UnderLoad, FaultOnset.OneRoute])(
    'keeps the calls of a version that is four times slower %s within the exposure limit',
    async (onset) => {
      const result = await runTrial(createFault({ kind: FaultKind.Slow, onset }));
      expect(result.state).toBe(RolloutState.RolledBack);
      expect(result.exposed).toBeLessThanOrEqual(result.allowed);
    },
  );

  it.each(Object.values(Disturbance))(
    'completes a good version in time with servers of both versions disturbed by: %s',
    async (disturbance) => {
      const result = await runTrial(createFault(), { disturbance });
      expect(result.state).toBe(RolloutState.Completed);
      expect(result.endedAfterMs).toBeLessThan(12_000);
    },
  );
});
