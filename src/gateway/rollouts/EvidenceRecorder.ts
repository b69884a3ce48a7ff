import {
  BUCKET_COUNT,
  bucketOf,
  toSparse,
  type EvidenceRow,
  type RolloutArm,
} from '../../common/rollouts/Evidence.js';
import { ControlMessageType, type RolloutEvidenceMessage } from '../../common/Messages.js';
import type { BackendView } from '../BackendView.js';
import { AttemptResultType, type AttemptHandle, type AttemptResult, type Call } from '../Types.js';
import { armOf, type VersionChooser } from './VersionChooser.js';

/** Options of an {@link EvidenceRecorder}. */
export interface EvidenceRecorderOptions {
  readonly gatewayId: string;
  /** Id of this process start. */
  readonly startId: string;
  readonly versions: Pick<VersionChooser, 'running'>;
  readonly routingIndex: () => number;
  readonly nowMs: () => number;
}

/** Attempt in progress. */
interface ObservedAttempt {
  readonly sentAtMs: number;
  readonly wasCold: boolean;
}

/** Counts of one route and arm. */
interface Tally {
  readonly route: string;
  readonly arm: RolloutArm;
  sent: number;
  failed: number;
  coldAnswered: number;
  readonly answered: number[];
  readonly cancelled: number[];
  readonly lost: Record<string, number>;
  readonly running: Set<ObservedAttempt>;
}

/** Counts of one rollout. */
interface RolloutTallies {
  readonly orderIndex: number;
  readonly tallies: Map<string, Tally>;
  sequence: number;
  reportedAtMs: number;
  changed: boolean;
}

/** Interval of reports of a gateway that has nothing new; it shows that the gateway is linked. */
const KEEP_ALIVE_MS = 1_000;

/** Status codes from which an answer is a failure of the backend server. */
const FAILURE_STATUS_FROM = 500;

/** Status codes up to which an answer must have the mark of a genuine one. */
const SUCCESS_STATUS_BELOW = 300;

function emptyCounts(): number[] {
  return new Array<number>(BUCKET_COUNT).fill(0);
}

/** Counts the attempts of services with a running rollout, by route and version. */
export class EvidenceRecorder {
  private readonly rollouts = new Map<string, RolloutTallies>();

  constructor(private readonly options: EvidenceRecorderOptions) {}

  /** Observes an attempt; without effect if its service has no running rollout. */
  observe(call: Call, view: BackendView, { result }: Pick<AttemptHandle, 'result'>): void {
    const rollout = this.options.versions.running(call.service);
    const arm = rollout && armOf(rollout, view.record.version);
    if (!rollout || !arm) return;
    const nowMs = this.options.nowMs();
    const rolloutTallies = this.talliesOf(call.service, rollout.orderIndex);
    const tally = EvidenceRecorder.tallyOf(rolloutTallies, call.route.name, arm);
    const attempt = { sentAtMs: nowMs, wasCold: view.isCold(nowMs) };
    tally.sent += 1;
    tally.running.add(attempt);
    const backendId = view.record.id;
    const end = (ended: AttemptResult) => {
      tally.running.delete(attempt);
      rolloutTallies.changed = true;
      this.noteResult(tally, attempt, ended, backendId);
    };
    result.then(end, (error: unknown) =>
      end({ type: AttemptResultType.Unknown, reason: String(error) }),
    );
  }

  /** Returns the reports that are due. */
  takeReports(): RolloutEvidenceMessage[] {
    const nowMs = this.options.nowMs();
    return [...this.rollouts].flatMap(([service, item]) => {
      if (this.options.versions.running(service)?.orderIndex !== item.orderIndex) {
        this.rollouts.delete(service);
        return [];
      }
      const isRunning = [...item.tallies.values()].some(({ running }) => running.size > 0);
      const isDue = item.changed || isRunning || nowMs - item.reportedAtMs >= KEEP_ALIVE_MS;
      return isDue ? [this.createReport(service, item, nowMs)] : [];
    });
  }

  /** Starts to report on a rollout, also before the first attempt. */
  track(service: string, orderIndex: number): void {
    this.talliesOf(service, orderIndex);
  }

  private createReport(
    service: string,
    item: RolloutTallies,
    nowMs: number,
  ): RolloutEvidenceMessage {
    item.changed = false;
    item.reportedAtMs = nowMs;
    item.sequence += 1;
    const { gatewayId, startId, routingIndex } = this.options;
    return {
      type: ControlMessageType.RolloutEvidence,
      gatewayId,
      startId,
      sequence: item.sequence,
      service,
      orderIndex: item.orderIndex,
      routingIndex: routingIndex(),
      rows: [...item.tallies.values()].map((tally) => EvidenceRecorder.toRow(tally, nowMs)),
    };
  }

  private static toRow(tally: Tally, nowMs: number): EvidenceRow {
    const running = emptyCounts();
    tally.running.forEach(({ sentAtMs, wasCold }) => {
      if (!wasCold) running[bucketOf(nowMs - sentAtMs)]! += 1;
    });
    return {
      route: tally.route,
      arm: tally.arm,
      sent: tally.sent,
      failed: tally.failed,
      coldAnswered: tally.coldAnswered,
      answered: toSparse(tally.answered),
      cancelled: toSparse(tally.cancelled),
      running: toSparse(running),
      lost: { ...tally.lost },
    };
  }

  private noteResult(
    tally: Tally,
    attempt: ObservedAttempt,
    result: AttemptResult,
    backendId: string,
  ): void {
    const bucket = bucketOf(this.options.nowMs() - attempt.sentAtMs);
    switch (result.type) {
      case AttemptResultType.Answer: {
        const { statusCode, authentic } = result.answer;
        const isGenuine = statusCode >= SUCCESS_STATUS_BELOW || authentic;
        if (statusCode >= FAILURE_STATUS_FROM || !isGenuine) tally.failed += 1;
        else if (attempt.wasCold) tally.coldAnswered += 1;
        else tally.answered[bucket]! += 1;
        return;
      }
      case AttemptResultType.NotRun: {
        // A server that rejects calls while it has free slots is failing, not full.
        const { load } = result;
        if (!load || load.running < load.slots) tally.failed += 1;
        return;
      }
      case AttemptResultType.Cancelled:
        if (!attempt.wasCold) tally.cancelled[bucket]! += 1;
        return;
      default:
        tally.lost[backendId] = (tally.lost[backendId] ?? 0) + 1;
    }
  }

  private talliesOf(service: string, orderIndex: number): RolloutTallies {
    const known = this.rollouts.get(service);
    if (known?.orderIndex === orderIndex) return known;
    const reportedAtMs = Number.NEGATIVE_INFINITY;
    const tallies = new Map<string, Tally>();
    const created = { orderIndex, tallies, sequence: 0, reportedAtMs, changed: true };
    this.rollouts.set(service, created);
    return created;
  }

  private static tallyOf({ tallies }: RolloutTallies, route: string, arm: RolloutArm): Tally {
    const key = `${arm} ${route}`;
    const known = tallies.get(key);
    if (known) return known;
    const created: Tally = {
      route,
      arm,
      sent: 0,
      failed: 0,
      coldAnswered: 0,
      answered: emptyCounts(),
      cancelled: emptyCounts(),
      lost: {},
      running: new Set(),
    };
    tallies.set(key, created);
    return created;
  }
}
