import type { RoutedService } from '../common/routing/Types.js';
import type { BackendPool } from './BackendPool.js';
import type { BackendView } from './BackendView.js';
import type { ColdLimiter } from './ColdLimiter.js';
import { NoPickReason, type DecisionLog, type Pick, type Picker } from './DispatchTypes.js';
import type { Call, HealthReport } from './Types.js';
import type { WorkEstimates } from './WorkEstimates.js';

/** Sends probes; null is a probe without an answer. */
export type ProbePort = (view: BackendView, service: RoutedService) => Promise<HealthReport | null>;

/** Options of a {@link BackendPicker}. */
export interface BackendPickerOptions {
  readonly pool: BackendPool;
  readonly cold: ColdLimiter;
  readonly work: WorkEstimates;
  readonly probe: ProbePort;
  readonly nowMs: () => number;
  readonly log: DecisionLog;
}

/** Search for a backend server under way. */
interface Search {
  readonly local: BackendView[];
  readonly remote: BackendView[];
  /** Those that answered. */
  readonly asked: BackendView[];
  round: number;
  probes: number;
}

/** Load of this age is used without a new probe; load changes many times a second. */
const LOAD_FRESH_MS = 12;

/** Backend servers that are probed at a time. */
const PROBES_LOCAL = 2;
const PROBES_REMOTE = 2;

/** Rounds of probes for one pick. */
const ROUNDS_MAX = 4;

/** Share of the time to the objective that an expected answer may take to be good at once. */
const GOOD_SHARE = 0.85;

/** A good backend server has a free slot and works at about its usual speed. */
const GOOD_WORK = 1.3;

/** Cost of missing the objective, in the unit of expected milliseconds. */
const LATE_COST_MS = 1_000;

/** Cost of bytes between availability zones, in expected milliseconds per kilobyte. */
const CROSS_ZONE_MS_PER_KB = 4;

/** Cost of another zone for an answer of any size. */
const CROSS_ZONE_MS = 3;

/**
 * Picks a backend server just in time: a few candidates are asked for their load right before the
 * call is sent, since a load that is older than a few milliseconds says little.
 */
export class BackendPicker implements Picker {
  constructor(private readonly options: BackendPickerOptions) {}

  pick(call: Call, service: RoutedService, tried: ReadonlySet<string>): Promise<Pick> {
    const { pool, nowMs } = this.options;
    const { local, remote } = pool.candidates({ service: service.name, nowMs: nowMs(), tried });
    if (local.length + remote.length === 0) {
      return Promise.resolve({ view: null, reason: NoPickReason.None, probes: 0, loads: '' });
    }
    return this.askInRounds(call, service, { local, remote, asked: [], round: 0, probes: 0 });
  }

  private async askInRounds(call: Call, service: RoutedService, search: Search): Promise<Pick> {
    const group = BackendPicker.nextGroup(search);
    const over = group.length === 0 || search.round >= ROUNDS_MAX || !call.isCallerConnected();
    if (over) return this.best(call, service, search.asked, search.probes);
    const good = await this.ask(call, service, group, search);
    if (good) return this.picked(good, call, search.probes);
    search.round += 1;
    return this.askInRounds(call, service, search);
  }

  /** Takes the next candidates off the lists: near ones first, far ones from the second round on. */
  private static nextGroup({ round, local, remote }: Search): BackendView[] {
    const group = local.splice(0, PROBES_LOCAL);
    if (round > 0 || group.length === 0) group.push(...remote.splice(0, PROBES_REMOTE));
    return group;
  }

  /** Asks candidates for their load; resolves with the first good one, or null after all. */
  private ask(
    call: Call,
    service: RoutedService,
    group: readonly BackendView[],
    search: Search,
  ): Promise<BackendView | null> {
    const { nowMs, probe } = this.options;
    return new Promise((resolve) => {
      let left = group.length;
      const take = (view: BackendView | null) => {
        left -= 1;
        if (view) search.asked.push(view);
        if (view && this.isGood(view, call, service)) resolve(view);
        else if (left === 0) resolve(null);
      };
      group.forEach((view) => {
        if (nowMs() - view.loadAtMs < LOAD_FRESH_MS) {
          take(view);
          return;
        }
        search.probes += 1;
        probe(view, service).then(
          (report) => take(this.noteProbe(view, report) ? view : null),
          () => take(null),
        );
      });
    });
  }

  /** Takes in a probe's answer; false where nothing may be sent there. */
  private noteProbe(view: BackendView, report: HealthReport | null): boolean {
    const { log } = this.options;
    const now = this.options.nowMs();
    const { id: backend, service } = view.record;
    if (!report) {
      view.avoid(now);
      log('probe_unanswered', { backend, service, pausedMs: view.avoidUntilMs - now });
      return false;
    }
    if (report.backendId !== undefined && report.backendId !== view.record.id) {
      // Another backend server has the address now.
      view.avoid(now);
      log('probe_misdirected', { backend, service, answeredBy: report.backendId });
      return false;
    }
    const wasCold = view.isCold(now);
    const wasUnwell = view.unwell;
    view.noteHealth(report, now);
    if (!wasCold && view.isCold(now)) {
      log('backend_cold', { backend, service, coldLeftMs: view.coldUntilMs - now });
    }
    if (wasUnwell !== view.unwell) {
      log('backend_health', { backend, service, healthy: report.healthy });
    }
    return this.options.pool.isUsable(view);
  }

  private mayTake(view: BackendView, service: RoutedService): boolean {
    const now = this.options.nowMs();
    const { pool, cold } = this.options;
    return pool.isUsable(view) && cold.mayTake(view, service.coldPerSecond, now);
  }

  private expectedMs(view: BackendView, call: Call): number {
    return view.expectedMs(this.options.work.workMs(call.service), this.options.nowMs());
  }

  private isGood(view: BackendView, call: Call, service: RoutedService): boolean {
    if (view.unwell || !this.mayTake(view, service) || !this.options.pool.isLocal(view)) {
      return false;
    }
    const leftMs = call.objectiveAtMs - this.options.nowMs();
    const workMs = this.options.work.workMs(call.service);
    return this.expectedMs(view, call) <= Math.min(leftMs * GOOD_SHARE, workMs * GOOD_WORK);
  }

  /** Best of all that answered, if it can finish in time. */
  private best(
    call: Call,
    service: RoutedService,
    asked: readonly BackendView[],
    probes: number,
  ): Pick {
    const none = (reason: NoPickReason): Pick => ({
      view: null,
      reason,
      probes,
      loads: asked.map((view) => this.describe(view, call)).join(','),
    });
    if (asked.length === 0) return none(NoPickReason.Silent);
    const open = asked.filter((view) => this.mayTake(view, service));
    if (open.length === 0) return none(NoPickReason.Cold);
    const leftMs = call.dueAtMs - this.options.nowMs();
    const inTime = open.filter((view) => this.expectedMs(view, call) < leftMs);
    const chosen = inTime.sort((a, b) => this.cost(a, call) - this.cost(b, call))[0];
    if (!chosen) return none(NoPickReason.Full);
    return this.picked(chosen, call, probes);
  }

  /** Load of a backend server as `running+waiting/slots*slowdown=expected`. */
  private describe(view: BackendView, call: Call): string {
    const { running = 0, waiting = 0, slots = 0, slowdown = 0 } = view.load ?? {};
    const expectedMs = Math.round(this.expectedMs(view, call));
    return `${running}+${waiting}/${slots}*${slowdown}=${expectedMs}`;
  }

  private cost(view: BackendView, call: Call): number {
    const { pool, work, nowMs } = this.options;
    const expectedMs = this.expectedMs(view, call);
    const late = expectedMs > call.objectiveAtMs - nowMs() ? LATE_COST_MS : 0;
    if (pool.isLocal(view)) return expectedMs + late;
    const bytesCost = work.answerKilobytes(call.route.name) * CROSS_ZONE_MS_PER_KB;
    return expectedMs + late + CROSS_ZONE_MS + bytesCost;
  }

  private picked(view: BackendView, call: Call, probes: number): Pick {
    const loadAgeMs = this.options.nowMs() - view.loadAtMs;
    return { view, expectedMs: this.expectedMs(view, call), probes, loadAgeMs };
  }
}
