import type { Disposable } from '../../common/Disposable.js';
import { ControlMessageType, type UsageReportMessage } from '../../common/Messages.js';
import type { DecisionLog } from '../DispatchTypes.js';
import type { UsageCaps } from './UsageCaps.js';

/** Options of a {@link CapReporter}. */
export interface CapReporterOptions {
  readonly caps: Pick<UsageCaps, 'hasLimits' | 'takeReport' | 'isCurrent'>;
  /** Start of the process on its monotonic clock; the totals count from it. */
  readonly startedAtMs: number;
  readonly nowMs: () => number;
  /** Sends the report to a control host, if one can be reached. */
  readonly send: (takeReport: (isFirst: boolean) => UsageReportMessage | undefined) => void;
  readonly log: DecisionLog;
}

/** Interval of the reports while counts change; part of the age of every level. */
export const REPORT_INTERVAL_MS = 100;

/** Interval of reports without counts, which keep the updates coming. */
export const REPORT_IDLE_MS = 800;

const NO_USAGE = {
  customers: [],
  admitted: [],
  refused: [],
  admittedDelta: [],
  refusedDelta: [],
} as const;

/** Reports the usage that one gateway counted to a control host. */
export class CapReporter implements Disposable {
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  private wasCurrent = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CapReporterOptions) {}

  start(): void {
    this.timer = setInterval(() => this.tick(), REPORT_INTERVAL_MS);
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  /** Sends a report if one is due. */
  tick(): void {
    const { caps, nowMs, send } = this.options;
    if (!caps.hasLimits) return;
    send((isFirst) => this.takeReport(isFirst));
    const isCurrent = caps.isCurrent(nowMs());
    if (isCurrent !== this.wasCurrent) {
      this.wasCurrent = isCurrent;
      this.options.log(isCurrent ? 'caps_current' : 'caps_alone', {});
    }
  }

  private takeReport(isFirst: boolean): UsageReportMessage | undefined {
    const { caps, nowMs, startedAtMs } = this.options;
    const usage = caps.takeReport();
    const isDue = isFirst || nowMs() - this.reportedAtMs >= REPORT_IDLE_MS;
    if (!usage && !isDue) return undefined;
    this.reportedAtMs = nowMs();
    return { type: ControlMessageType.UsageReport, startedAtMs, usage: usage ?? NO_USAGE };
  }
}
