import type { RolloutEvidenceMessage } from '../../common/Messages.js';
import { RolloutArm, type EvidenceRow } from '../../common/rollouts/Evidence.js';
import { RouteEvidence } from './RouteEvidence.js';
import { SequentialTest, type Trials } from './SequentialTest.js';

/** Properties of answers that are compared. */
export enum EvidenceSignal {
  Failures = 'failures',
  Latency = 'latency',
}

/** Fault of the new version. */
export interface RolloutFault {
  readonly signal: EvidenceSignal;
  /** Route, or `all` for the routes together. */
  readonly route: string;
}

/** Last report of one gateway. */
interface GatewayReport {
  readonly message: RolloutEvidenceMessage;
  readonly receivedAtMs: number;
}

/**
 * Rate at which a good version may be rejected, for each test. The cumulative sum starts again
 * whenever it is 0, and there are two tests for each route and two over all routes, so that the rate
 * of wrong rejections in a rollout is some tens of times as high; the trials in
 * docs/design/rollouts.md state it.
 */
const ERROR_RATE = 0.001;

/** Log-likelihood ratio at which the new version is rejected. */
export const REJECT_RATIO = Math.log(1 / ERROR_RATE);

/**
 * Smallest increase that is a fault: bad versions fail in 20 to 60 % of their answers, or most of
 * their answers take at least three times as long (requirements of operators).
 */
const MIN_INCREASE: Record<EvidenceSignal, number> = {
  [EvidenceSignal.Failures]: 0.17,
  [EvidenceSignal.Latency]: 0.3,
};

/** Added to the old version's rates, which are themselves only estimates. */
const MARGIN: Record<EvidenceSignal, number> = {
  [EvidenceSignal.Failures]: 0.02,
  [EvidenceSignal.Latency]: 0.05,
};

/** Answers of the old version that its median latency needs. */
const BASELINE_ANSWERS_MIN = 20;

/** Age at which a gateway's report no longer counts as current; gateways report every second. */
const REPORT_CURRENT_MS = 1_500;

/**
 * Silence after which a gateway counts as gone. Until then it may be paused and go on with an older
 * routing, so that the old servers must not stop.
 */
const GATEWAY_GONE_MS = 2_500;

/** Name of the tests over all routes. */
const ALL_ROUTES = 'all';

/** Collects the evidence on one rollout and compares both versions over the same period. */
export class RolloutJudge {
  fault: RolloutFault | null = null;

  private readonly reports = new Map<string, GatewayReport>();

  private readonly arms = new Map<string, RouteEvidence>();

  private readonly tests = new Map<string, SequentialTest>();

  private readonly routes = new Set<string>();

  private highestRatio = 0;

  /** Highest log-likelihood ratio of all tests at the last evaluation. */
  get ratio(): number {
    return this.highestRatio;
  }

  /** Attempts sent to an arm since the order. */
  sent(arm: RolloutArm): number {
    return [...this.routes].reduce((sum, route) => sum + this.evidence(route, arm).sent, 0);
  }

  /** Good answers of warm servers of the new version. */
  get candidateAnswers(): number {
    const warm = (route: string) => this.evidence(route, RolloutArm.Candidate).warmAnswers;
    return [...this.routes].reduce((sum, route) => sum + warm(route), 0);
  }

  /** Gateways that reported lately. */
  currentGateways(nowMs: number): number {
    return this.current(nowMs).length;
  }

  /** True if every gateway that is not gone applies the routing of this log index. */
  isApplied(routingIndex: number, nowMs: number): boolean {
    return [...this.reports.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= GATEWAY_GONE_MS)
      .every(({ message }) => message.routingIndex >= routingIndex);
  }

  /** Attempts in progress at warm servers of an arm. */
  running(arm: RolloutArm): number {
    return [...this.routes].reduce((sum, route) => sum + this.evidence(route, arm).running, 0);
  }

  /** Adds a report; ignores one that is older than another one of the same process. */
  receive(message: RolloutEvidenceMessage, nowMs: number): void {
    const { gatewayId, startId, sequence } = message;
    const before = this.reports.get(gatewayId);
    const isSameStart = before?.message.startId === startId;
    if (isSameStart && before.message.sequence >= sequence) return;
    if (before && !isSameStart) this.forgetRunning(before.message.rows);
    const known = new Map(
      isSameStart ? before.message.rows.map((row) => [`${row.arm} ${row.route}`, row]) : [],
    );
    message.rows.forEach((row) => {
      this.routes.add(row.route);
      this.evidence(row.route, row.arm).add(row, known.get(`${row.arm} ${row.route}`), nowMs);
    });
    this.reports.set(gatewayId, { message, receivedAtMs: nowMs });
  }

  /** Updates all tests; returns the fault once there is one. */
  evaluate(nowMs: number): RolloutFault | null {
    this.dropStale(nowMs);
    this.highestRatio = 0;
    this.routes.forEach((route) => {
      const baseline = this.evidence(route, RolloutArm.Baseline);
      const candidate = this.evidence(route, RolloutArm.Candidate);
      const failureRate = baseline.failureRate();
      this.update(EvidenceSignal.Failures, route, candidate.takeFailures(), failureRate);
      const slowBucket = baseline.slowBucket(BASELINE_ANSWERS_MIN);
      if (slowBucket !== undefined) {
        const slow = candidate.takeSlow(slowBucket);
        baseline.takeSlow(slowBucket);
        this.update(EvidenceSignal.Latency, route, slow, baseline.slowRate(slowBucket));
      }
      baseline.decay(nowMs);
      candidate.decay(nowMs);
    });
    return this.fault;
  }

  private update(signal: EvidenceSignal, route: string, trials: Trials, rate: number): void {
    const baseRate = rate + MARGIN[signal];
    this.note(signal, route, this.test(signal, route).add(trials, baseRate));
    this.note(signal, ALL_ROUTES, this.test(signal, ALL_ROUTES).add(trials, baseRate));
  }

  private note(signal: EvidenceSignal, route: string, ratio: number): void {
    this.highestRatio = Math.max(this.highestRatio, ratio);
    if (ratio >= REJECT_RATIO) this.fault ??= { signal, route };
  }

  /** Attempts in progress at a gateway that is gone say nothing any more. */
  private dropStale(nowMs: number): void {
    this.reports.forEach((report, gatewayId) => {
      if (nowMs - report.receivedAtMs <= REPORT_CURRENT_MS) return;
      const { rows } = report.message;
      if (rows.every(({ running }) => running.length === 0)) return;
      this.forgetRunning(rows);
      const cleared = rows.map((row) => ({ ...row, running: [] }));
      const message = { ...report.message, rows: cleared };
      this.reports.set(gatewayId, { ...report, message });
    });
  }

  private forgetRunning(rows: readonly EvidenceRow[]): void {
    rows.forEach((row) => this.evidence(row.route, row.arm).forget(row));
  }

  private current(nowMs: number): GatewayReport[] {
    return [...this.reports.values()].filter(
      ({ receivedAtMs }) => nowMs - receivedAtMs <= REPORT_CURRENT_MS,
    );
  }

  private evidence(route: string, arm: RolloutArm): RouteEvidence {
    const key = `${arm} ${route}`;
    const known = this.arms.get(key) ?? new RouteEvidence();
    this.arms.set(key, known);
    return known;
  }

  private test(signal: EvidenceSignal, route: string): SequentialTest {
    const key = `${signal} ${route}`;
    const known = this.tests.get(key) ?? new SequentialTest({ minIncrease: MIN_INCREASE[signal] });
    this.tests.set(key, known);
    return known;
  }
}
