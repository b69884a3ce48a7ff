import type { RolloutEvidenceMessage } from '../../common/Messages.js';
import { RolloutArm } from '../../common/rollouts/Evidence.js';
import {
  DEFAULT_ROLLOUT_SETTINGS,
  RolloutState,
  type Rollout,
  type RolloutSettings,
} from '../../common/rollouts/Types.js';
import type { RoutingView } from '../../common/routing/Types.js';
import { REJECT_RATIO, RolloutJudge } from './RolloutJudge.js';

/** Change of a rollout that the leader should propose. */
export interface RolloutChange {
  readonly service: string;
  readonly orderIndex: number;
  readonly state: RolloutState;
  readonly share: number;
  readonly reason: string;
}

/** Options of {@link RolloutSteering}. */
export interface RolloutSteeringOptions {
  readonly settings?: RolloutSettings;
}

/** Interval of evaluations; shorter than that of the gateways' reports. */
const EVALUATE_EVERY_MS = 50;

/** Evidence collected before the first share, to know the rate of calls. */
const WARM_UP_MS = 500;

/** Time in which a new leader has a report of every gateway; they report at least every second. */
const COLLECTION_MS = 1_200;

/** Part of the exposure limit that the canary phase may use; the rest is for the full share. */
const CANARY_EXPOSURE = 0.3;

/** Bounds of the canary share: the upper one holds at a few calls per second. */
const CANARY_SHARE_MIN = 0.01;
const CANARY_SHARE_MAX = 0.3;

/** Share of the ramp phase: load of the new servers that shows faults under load. */
const RAMP_SHARE = 0.25;

/** Shortest ramp phase: answers take up to a second, and their reports 0.2 s. */
const RAMP_MS = 900;

/** Longest ramp phase, which leaves most of a rollout of 12 s to the canary phase. */
const RAMP_MAX_MS = 2_500;

/** Part of the exposure limit that a longer ramp phase may use, for routes of few calls. */
const RAMP_EXPOSURE = 0.15;

/** Shortest time at full share before the old servers may stop: their last calls end meanwhile. */
const FULL_MS = 2_000;

/** Time left for the verdict and its way to the operator before the deadline. */
const FINISH_MARGIN_MS = 1_500;

/** Latest time of a phase change before the deadline, which an election of a leader may delay. */
const LATEST_MARGIN_MS = 300;

/** Share of the duration before which the canary phase does not end, for short rollouts. */
const CANARY_DURATION_MIN = 0.4;

/** Good answers of the new version without which the share does not grow. */
const CANARY_ANSWERS_MIN = 10;
const RAMP_ANSWERS_MIN = 5;

/**
 * Parts of the rejection threshold above which the share does not grow, and above which a rollout is
 * not completed. More doubt is allowed at the end, because the deadline would reject the version.
 */
const DOUBT = 0.4;
const FINAL_DOUBT = 0.55;

/** A change that is not applied after this time is proposed again. */
const PROPOSAL_TIMEOUT_MS = 1_000;

/** Smallest relative change of the canary share that is worth a log entry. */
const SHARE_CHANGE_MIN = 0.5;

const FULL_SHARE = 1;

/** Phases of a rollout. */
interface Plan {
  /** Rate of the service's calls; 0 until it is known. */
  readonly callsPerMs: number;
  /** Calls that may reach a bad version. */
  readonly limit: number;
  readonly rampMs: number;
  /** Unix time at which the canary phase ends. */
  readonly rampAtMs: number;
}

/** Evidence and progress of one rollout at the leader. */
interface Steered {
  readonly judge: RolloutJudge;
  readonly sinceMs: number;
  answersAtPhase: number;
  phaseShare: number;
  proposedAtMs: number;
}

/** Steers the shares of the running rollouts at the leader, and decides on their end. */
export class RolloutSteering {
  private readonly steered = new Map<number, Steered>();

  private readonly settings: RolloutSettings;

  private evaluatedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RolloutSteeringOptions = {}) {
    this.settings = options.settings ?? DEFAULT_ROLLOUT_SETTINGS;
  }

  /** Attempts sent to servers of new versions, as far as this host knows. */
  get exposedCalls(): number {
    return [...this.steered.values()].reduce(
      (sum, { judge }) => sum + judge.sent(RolloutArm.Candidate),
      0,
    );
  }

  /** Adds a gateway's report; one on an unknown or ended rollout is ignored at the next tick. */
  receive(message: RolloutEvidenceMessage, nowMs: number): void {
    this.steeredOf(message.orderIndex, nowMs).judge.receive(message, nowMs);
  }

  /** Drops all evidence when this host is no longer the leader; the next leader collects its own. */
  reset(): void {
    this.steered.clear();
  }

  /** Returns the changes that the leader should propose now. */
  tick(view: RoutingView, nowMs: number, wallMs: number): RolloutChange[] {
    if (nowMs - this.evaluatedAtMs < EVALUATE_EVERY_MS) return [];
    this.evaluatedAtMs = nowMs;
    const running = (view.rollouts ?? []).filter(({ state }) => state === RolloutState.Running);
    const indexes = new Set(running.map(({ orderIndex }) => orderIndex));
    [...this.steered.keys()]
      .filter((index) => !indexes.has(index))
      .forEach((index) => this.steered.delete(index));
    return running.flatMap((rollout) => {
      const steered = this.steeredOf(rollout.orderIndex, nowMs);
      if (steered.phaseShare !== rollout.share) {
        steered.phaseShare = rollout.share;
        steered.answersAtPhase = steered.judge.candidateAnswers;
        steered.proposedAtMs = Number.NEGATIVE_INFINITY;
      }
      const change = this.decide(rollout, steered, view.index, nowMs, wallMs);
      if (!change || nowMs - steered.proposedAtMs < PROPOSAL_TIMEOUT_MS) return [];
      steered.proposedAtMs = nowMs;
      return [change];
    });
  }

  private decide(
    rollout: Rollout,
    steered: Steered,
    routingIndex: number,
    nowMs: number,
    wallMs: number,
  ): RolloutChange | null {
    const { service, orderIndex, share, dueAtMs } = rollout;
    const { judge } = steered;
    const change = (state: RolloutState, next: number, reason: string): RolloutChange => ({
      service,
      orderIndex,
      state,
      share: next,
      reason,
    });
    const fault = judge.evaluate(nowMs);
    if (fault) {
      return change(RolloutState.RolledBack, 0, `${fault.signal} on route ${fault.route}`);
    }
    if (wallMs >= dueAtMs) return change(RolloutState.RolledBack, 0, 'no verdict by the deadline');
    const doubt = share === FULL_SHARE ? FINAL_DOUBT : DOUBT;
    if (judge.currentGateways(nowMs) === 0 || judge.ratio > REJECT_RATIO * doubt) return null;
    const phaseMs = wallMs - rollout.shareSinceMs;
    const answers = judge.candidateAnswers - steered.answersAtPhase;
    const plan = this.plan(rollout, steered, wallMs);
    const { rampAtMs, rampMs } = plan;
    if (share === FULL_SHARE) {
      // The old servers stop at once when the rollout is completed, with the calls that they run.
      const isDrained =
        judge.running(RolloutArm.Baseline) === 0 || wallMs >= dueAtMs - LATEST_MARGIN_MS;
      const isDone = phaseMs >= FULL_MS && answers >= RAMP_ANSWERS_MIN && isDrained;
      if (!isDone || !judge.isApplied(routingIndex, nowMs)) return null;
      return change(RolloutState.Completed, FULL_SHARE, 'as good as the old version');
    }
    const latestFullAtMs = dueAtMs - FULL_MS - LATEST_MARGIN_MS;
    if (share === RAMP_SHARE) {
      if (phaseMs < rampMs || answers < RAMP_ANSWERS_MIN || wallMs > latestFullAtMs) return null;
      return change(RolloutState.Running, FULL_SHARE, 'no fault at the ramp share');
    }
    const mayRamp = wallMs >= rampAtMs && judge.candidateAnswers >= CANARY_ANSWERS_MIN;
    if (mayRamp && wallMs <= latestFullAtMs - RAMP_MS) {
      return change(RolloutState.Running, RAMP_SHARE, 'no fault at the canary share');
    }
    const collectedMs = nowMs - steered.sinceMs;
    return collectedMs < (share === 0 ? WARM_UP_MS : COLLECTION_MS)
      ? null
      : RolloutSteering.adjustCanary(rollout, plan, change);
  }

  /** Sets the canary share so that its calls use the planned part of the exposure limit. */
  private static adjustCanary(
    rollout: Rollout,
    { callsPerMs, rampAtMs, limit }: Plan,
    change: (state: RolloutState, share: number, reason: string) => RolloutChange,
  ): RolloutChange | null {
    if (callsPerMs === 0) return null;
    const canaryMs = rampAtMs - rollout.orderedAtMs;
    const exact = (CANARY_EXPOSURE * limit) / (callsPerMs * canaryMs);
    // The ramp share has a phase of its own.
    const bounded = Math.min(CANARY_SHARE_MAX, Math.max(CANARY_SHARE_MIN, exact));
    const share = bounded === RAMP_SHARE ? CANARY_SHARE_MAX : bounded;
    const isClose = Math.abs(share - rollout.share) <= rollout.share * SHARE_CHANGE_MIN;
    return isClose ? null : change(RolloutState.Running, share, 'canary share');
  }

  /** Plans the phases; the canary phase ends as late as the deadline allows, to see late faults. */
  private plan({ orderedAtMs, dueAtMs }: Rollout, { judge }: Steered, wallMs: number): Plan {
    // Gateways count from the order on, also for a leader that is new.
    const observedMs = wallMs - orderedAtMs;
    const calls = judge.sent(RolloutArm.Baseline) + judge.sent(RolloutArm.Candidate);
    const callsPerMs = observedMs < WARM_UP_MS ? 0 : calls / observedMs;
    const durationMs = dueAtMs - orderedAtMs;
    const { exposureShare, exposureSlack } = this.settings;
    const limit = exposureShare * callsPerMs * durationMs + exposureSlack;
    const longRampMs = callsPerMs > 0 ? (RAMP_EXPOSURE * limit) / (callsPerMs * RAMP_SHARE) : 0;
    const rampMs = Math.min(RAMP_MAX_MS, Math.max(RAMP_MS, longRampMs));
    const latest = dueAtMs - FINISH_MARGIN_MS - FULL_MS - rampMs;
    const earliest = orderedAtMs + durationMs * CANARY_DURATION_MIN;
    return { callsPerMs, limit, rampMs, rampAtMs: Math.max(earliest, latest) };
  }

  private steeredOf(orderIndex: number, nowMs: number): Steered {
    const known = this.steered.get(orderIndex);
    if (known) return known;
    const created: Steered = {
      judge: new RolloutJudge(),
      sinceMs: nowMs,
      answersAtPhase: 0,
      phaseShare: 0,
      proposedAtMs: Number.NEGATIVE_INFINITY,
    };
    this.steered.set(orderIndex, created);
    return created;
  }
}
