import type { BackendView } from './BackendView.js';
import type { DecisionLog } from './DispatchTypes.js';
import { LimitReadingType, type LimitReading } from './Types.js';

/** Limit that one incarnation of a backend server named. */
export interface NamedLimit {
  readonly bornMs: number;
  /** Requests per second that it accepts from all entry hosts together. */
  perSecond: number;
  /** Time of the last answer or report that named it. */
  confirmedAtMs: number;
}

/** Options of {@link NamedLimits}. */
export interface NamedLimitsOptions {
  readonly log: DecisionLog;
}

/** Request limits that backend servers name in their answers. */
export class NamedLimits {
  private readonly limits = new Map<string, NamedLimit>();

  constructor(private readonly options: NamedLimitsOptions) {}

  /** Limit of the current incarnation; undefined if it names none. */
  get(view: BackendView): NamedLimit | undefined {
    const limit = this.limits.get(view.record.id);
    return limit?.bornMs === view.record.bornMs ? limit : undefined;
  }

  /** Applies the reading of an answer; returns true if the limit changed. */
  noteReading(view: BackendView, reading: LimitReading, sentAtMs: number, nowMs: number): boolean {
    switch (reading.type) {
      case LimitReadingType.Named:
        return this.set(view, reading.perSecond, nowMs);
      case LimitReadingType.None: {
        // An answer to an earlier request may have been sent before the limit was named.
        const limit = this.get(view);
        return limit !== undefined && sentAtMs >= limit.confirmedAtMs && this.end(view);
      }
      case LimitReadingType.Unreadable: {
        const { id: backend, service } = view.record;
        this.options.log('limit_unreadable', { backend, service, value: reading.text });
        return false;
      }
      default:
        return false;
    }
  }

  /** Sets the limit of the current incarnation; returns true if it changed. */
  set(view: BackendView, perSecond: number, nowMs: number): boolean {
    const existing = this.get(view);
    const { id, bornMs } = view.record;
    if (existing) existing.confirmedAtMs = nowMs;
    if (existing?.perSecond === perSecond) return false;
    this.logChange(view, existing?.perSecond, perSecond);
    if (existing) existing.perSecond = perSecond;
    else this.limits.set(id, { bornMs, perSecond, confirmedAtMs: nowMs });
    return true;
  }

  /** Ends the limit; returns false if there was none. */
  end(view: BackendView): boolean {
    const existing = this.get(view);
    if (!existing) return false;
    this.limits.delete(view.record.id);
    this.logChange(view, existing.perSecond, undefined);
    return true;
  }

  private logChange(
    view: BackendView,
    before: number | undefined,
    perSecond: number | undefined,
  ): void {
    const { id: backend, service } = view.record;
    this.options.log('backend_limit', { backend, service, before, perSecond });
  }
}
