import { describe, expect, it } from 'vitest';
import { RolloutArm, toSparse, type EvidenceRow } from '../../common/rollouts/Evidence.js';
import { ControlMessageType, type RolloutEvidenceMessage } from '../../common/Messages.js';
import { RolloutState, type Rollout } from '../../common/rollouts/Types.js';
import type { RoutingView } from '../../common/routing/Types.js';
import { RolloutSteering } from './RolloutSteering.js';

const DURATION_MS = 12_000;
const TICK_MS = 50;

/** Counts of one arm that grow by a rate. */
interface ArmRate {
  readonly perTick: number;
  readonly failedPerTick?: number;
  readonly lostPerTick?: number;
}

/** What happens to the gateway's reports. */
interface RunOptions {
  /** True if none arrive. */
  readonly silent?: boolean;
  /** Routing that the gateway applies; the newest by default. */
  readonly appliedIndex?: number;
}

/** Creates a rollout whose evidence comes from one gateway at constant rates. */
function createSteered(candidate: ArmRate, baseline: ArmRate = { perTick: 10 }) {
  const steering = new RolloutSteering();
  let rollout: Rollout = {
    service: 'alpha',
    toVersion: 'v2',
    state: RolloutState.Running,
    share: 0,
    dueAtMs: DURATION_MS,
    orderedAtMs: 0,
    orderIndex: 7,
    shareSinceMs: 0,
  };
  let routingIndex = 7;
  let ticks = 0;
  const row = (arm: RolloutArm, { perTick, failedPerTick = 0, lostPerTick = 0 }: ArmRate) => {
    const counts = [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    counts[18] = Math.floor(ticks * (perTick - failedPerTick));
    const created: EvidenceRow = {
      route: 'read',
      arm,
      sent: Math.floor(ticks * perTick),
      failed: Math.floor(ticks * failedPerTick),
      answered: toSparse(counts),
      coldAnswered: 0,
      cancelled: [],
      running: [],
      lost: { 'b-1': Math.floor(ticks * lostPerTick) },
    };
    return created;
  };
  const report = (changes: Partial<RolloutEvidenceMessage> = {}): RolloutEvidenceMessage => ({
    type: ControlMessageType.RolloutEvidence,
    gatewayId: 'g-1',
    startId: 'first',
    sequence: ticks,
    service: 'alpha',
    orderIndex: 7,
    routingIndex,
    rows: [row(RolloutArm.Candidate, candidate), row(RolloutArm.Baseline, baseline)],
    ...changes,
  });
  const shares: number[] = [];
  const step = (nowMs: number, { silent, appliedIndex = routingIndex }: RunOptions) => {
    if (!silent) steering.receive(report({ routingIndex: appliedIndex }), nowMs);
    const view: RoutingView = {
      index: routingIndex,
      version: 1,
      table: null,
      closedZones: [],
      rollouts: [rollout],
    };
    steering.tick(view, nowMs, nowMs).forEach(({ state, share }) => {
      rollout = { ...rollout, state, share, shareSinceMs: nowMs };
      routingIndex += 1;
      shares.push(share);
    });
  };
  const runUntil = (untilMs: number, options: RunOptions = {}) => {
    while (ticks * TICK_MS < untilMs && rollout.state === RolloutState.Running) {
      ticks += 1;
      step(ticks * TICK_MS, options);
    }
    return { rollout, endedAtMs: ticks * TICK_MS };
  };
  return { runUntil, shares };
}

describe('RolloutSteering', () => {
  it('completes a good version before the deadline, by way of the canary and ramp shares', () => {
    const { runUntil, shares } = createSteered({ perTick: 2 });
    const { rollout, endedAtMs } = runUntil(DURATION_MS);
    expect(rollout.state).toBe(RolloutState.Completed);
    expect(endedAtMs).toBeLessThan(DURATION_MS - 1_000);
    expect(shares.at(0)).toBeLessThan(0.1);
    expect(shares.slice(-3)).toEqual([0.25, 1, 1]);
  });

  it('rolls back a version of whose answers a fifth fail', () => {
    const { rollout, endedAtMs } = createSteered({ perTick: 1, failedPerTick: 0.2 }).runUntil(
      DURATION_MS,
    );
    expect(rollout.state).toBe(RolloutState.RolledBack);
    expect(endedAtMs).toBeLessThan(5_000);
  });

  it('does not reject a version for failures that the old one has too', () => {
    const both = { perTick: 2, failedPerTick: 0.6 };
    const { rollout } = createSteered(both, { perTick: 10, failedPerTick: 3 }).runUntil(
      DURATION_MS,
    );
    expect(rollout.state).toBe(RolloutState.Completed);
  });

  it('counts the calls that one crashed server loses at once as one failure', () => {
    const { rollout } = createSteered({ perTick: 2, lostPerTick: 1 }).runUntil(6_000);
    expect(rollout.state).toBe(RolloutState.Running);
  });

  it('keeps the share without evidence, and rolls back at the deadline', () => {
    const { runUntil, shares } = createSteered({ perTick: 2 });
    runUntil(6_000);
    const before = shares.length;
    const { rollout } = runUntil(DURATION_MS + 100, { silent: true });
    expect(shares.slice(before)).toEqual([0]);
    expect(rollout.state).toBe(RolloutState.RolledBack);
  });

  it('does not complete while a gateway may still send to old servers, which stop at once', () => {
    const { runUntil } = createSteered({ perTick: 2 });
    const { rollout } = runUntil(DURATION_MS + 100, { appliedIndex: 9 });
    expect(rollout.state).toBe(RolloutState.RolledBack);
  });
});
