import type { BackendRecord } from '../../common/backends/Types.js';
import type { Disposable } from '../../common/Disposable.js';
import type { RolloutEvidenceMessage } from '../../common/Messages.js';
import type { RandomSource } from '../../common/Random.js';
import { RolloutState, type Rollout } from '../../common/rollouts/Types.js';
import type { DecisionLog, Picker } from '../DispatchTypes.js';
import { EvidenceRecorder } from './EvidenceRecorder.js';
import { VersionChooser } from './VersionChooser.js';
import { VersionedPicker } from './VersionedPicker.js';
import { VersionHold } from './VersionHold.js';

/** Options of {@link GatewayRollouts}. */
export interface GatewayRolloutsOptions {
  readonly gatewayId: string;
  /** Id of this process start. */
  readonly startId: string;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** True to hold back new versions until the order of their rollout arrives. */
  readonly holdsNewVersions?: boolean;
  readonly routingIndex: () => number;
  readonly report: (evidence: RolloutEvidenceMessage) => void;
  readonly log: DecisionLog;
}

/**
 * Interval of reports while a rollout runs: a bad version at full share must be found within about
 * a second (exposure limit), most of which its answers themselves take.
 */
const REPORT_INTERVAL_MS = 200;

/** Rollouts at one gateway: versions of attempts, evidence and its reports. */
export class GatewayRollouts implements Disposable {
  readonly evidence: EvidenceRecorder;

  private readonly versions: VersionChooser;

  private readonly hold: VersionHold | undefined;

  private known: readonly Rollout[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GatewayRolloutsOptions) {
    const { random, nowMs, holdsNewVersions } = options;
    this.hold = holdsNewVersions ? new VersionHold({ nowMs }) : undefined;
    this.versions = new VersionChooser({ random, hold: this.hold });
    this.evidence = new EvidenceRecorder({ ...options, versions: this.versions });
  }

  /** Wraps a picker, so that it picks among the servers of the chosen version. */
  picker(picker: Picker): Picker {
    return new VersionedPicker({ picker, versions: this.versions });
  }

  /** Records the versions of announced backend servers. */
  noteRecords(records: readonly BackendRecord[]): void {
    this.hold?.note(records);
  }

  /** Applies the rollouts of a newer routing. */
  apply(rollouts: readonly Rollout[]): void {
    this.versions.setRollouts(rollouts);
    rollouts
      .filter((rollout) => !this.known.some((old) => GatewayRollouts.isEqual(old, rollout)))
      .forEach(({ service, toVersion, state, share }) =>
        this.options.log('rollout_applied', { service, toVersion, state, share }),
      );
    this.known = rollouts;
    const running = rollouts.filter(({ state }) => state === RolloutState.Running);
    running.forEach(({ service, orderIndex }) => this.evidence.track(service, orderIndex));
    if (running.length === 0) this.dispose();
    else this.timer ??= setInterval(() => this.sendReports(), REPORT_INTERVAL_MS);
  }

  dispose(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private static isEqual(a: Rollout, b: Rollout): boolean {
    return a.orderIndex === b.orderIndex && a.state === b.state && a.share === b.share;
  }

  private sendReports(): void {
    this.evidence.takeReports().forEach((report) => this.options.report(report));
  }
}
