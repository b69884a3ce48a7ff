import type { RandomSource } from '../../common/Random.js';
import { RolloutArm } from '../../common/rollouts/Evidence.js';
import { RolloutState, type Rollout } from '../../common/rollouts/Types.js';
import type { VersionHold } from './VersionHold.js';

/** True if backend servers of the version may receive an attempt. */
export type VersionFilter = (version: string | undefined) => boolean;

/** Versions for one attempt. */
export interface VersionChoice {
  /** The first one that any untried backend server passes applies; all servers if empty. */
  readonly filters: readonly VersionFilter[];
  /** Filters if none of these servers can take the call now; omitted if no other may. */
  readonly alternative?: readonly VersionFilter[];
}

const ANY_VERSION: VersionChoice = { filters: [] };

/** Options of a {@link VersionChooser}. */
export interface VersionChooserOptions {
  readonly random: RandomSource;
  /** Omitted in deployments without rollouts. */
  readonly hold?: VersionHold;
}

/** Share from which the old servers may stop soon, so that no attempt should go to them. */
const FULL_SHARE = 1;

/** Group of a version in a running rollout; undefined for versions that get no calls. */
export function armOf(rollout: Rollout, version: string | undefined): RolloutArm | undefined {
  if (version === rollout.toVersion) return RolloutArm.Candidate;
  const { fromVersion, rejectedVersions } = rollout;
  if (version !== undefined && rejectedVersions?.includes(version)) return undefined;
  return fromVersion === undefined || version === fromVersion ? RolloutArm.Baseline : undefined;
}

/** Chooses the version of each attempt before backend servers are ranked. */
export class VersionChooser {
  private rollouts: readonly Rollout[] = [];

  constructor(private readonly options: VersionChooserOptions) {}

  setRollouts(rollouts: readonly Rollout[]): void {
    this.rollouts = rollouts;
  }

  /** Rollout of a service that is running. */
  running(service: string): Rollout | undefined {
    const rollout = this.rollouts.find((item) => item.service === service);
    return rollout?.state === RolloutState.Running ? rollout : undefined;
  }

  /**
   * Chooses the versions for an attempt.
   *
   * @param isFirst False for retries and hedges, which go to the old version while it has calls.
   */
  choose(service: string, isFirst: boolean): VersionChoice {
    const rollout = this.rollouts.find((item) => item.service === service);
    if (!rollout) return this.withoutHeld(service);
    const candidate: VersionFilter = (version) => version === rollout.toVersion;
    const baseline: VersionFilter = (version) => armOf(rollout, version) === RolloutArm.Baseline;
    switch (rollout.state) {
      case RolloutState.Completed:
        return { filters: [candidate] };
      case RolloutState.RolledBack:
        return { filters: [baseline] };
      default: {
        const { share } = rollout;
        const isExposed = share >= FULL_SHARE || (isFirst && this.options.random.next() < share);
        // The new version gets no call for lack of old servers as long as any of these is announced.
        return isExposed
          ? { filters: [candidate, baseline], alternative: [baseline] }
          : { filters: [baseline, candidate] };
      }
    }
  }

  private withoutHeld(service: string): VersionChoice {
    const held = this.options.hold?.heldVersions(service);
    if (!held || held.size === 0) return ANY_VERSION;
    const any: VersionFilter = () => true;
    return { filters: [(version) => !held.has(version), any], alternative: [any] };
  }
}
