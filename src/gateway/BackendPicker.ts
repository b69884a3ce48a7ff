import type { RoutedService } from '../common/routing/Types.js';
import type { ProbeAdmission } from './admission/ProbeAdmission.js';
import { ProbeEvidence } from './admission/ProbeEvidence.js';
import { ProbePurpose, type ProbeMeter } from './admission/ProbeMeter.js';
import type { BackendPool } from './BackendPool.js';
import type { BackendView } from './BackendView.js';
import type { ColdLimiter } from './ColdLimiter.js';
import { NoPickReason, type DecisionLog, type PickResult, type Picker } from './DispatchTypes.js';
import { PickEstimates } from './PickEstimates.js';
import { ProbeMiss, isMiss, type Call, type ProbeResult } from './Types.js';
import type { RequestLimiter } from './RequestLimiter.js';
import { findAcceptable } from './StaggeredSearch.js';
import type { VersionFilter } from './rollouts/VersionChooser.js';
import type { WorkEstimates } from './WorkEstimates.js';
import type { CrossingPrices } from './zones/CrossingDecision.js';
import { LeaveShare } from './zones/LeaveShare.js';
import { ZoneSearch, type EvaluatedCandidate } from './zones/ZoneSearch.js';

/** Probes a backend server. */
export type SendProbe = (view: BackendView, service: RoutedService) => Promise<ProbeResult>;

/** Options of a {@link BackendPicker}. */
export interface BackendPickerOptions {
  readonly pool: BackendPool;
  readonly cold: ColdLimiter;
  readonly limits: RequestLimiter;
  readonly work: WorkEstimates;
  readonly probe: SendProbe;
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
  readonly log: DecisionLog;
  /** Prices of calls to other zones; without them, remote candidates are probed from round two on. */
  readonly zoneCrossing?: CrossingPrices;
  /** Bounds the probes; without it, every round probes all of its candidates. */
  readonly admission?: Pick<ProbeAdmission, 'tryProbe' | 'noteProbed' | 'expectedMs'>;
  /** Counts the probes. */
  readonly meter?: ProbeMeter;
}

/** Probe that was not answered in time. */
interface LateProbe {
  readonly view: BackendView;
  readonly sentAtMs: number;
}

/** State of a search for a backend server. */
interface Search {
  readonly local: BackendView[];
  readonly remote: BackendView[];
  /** Candidates that answered a probe, or whose load is recent enough without one. */
  readonly evaluated: BackendView[];
  /** Candidates whose probes were not answered in time. */
  readonly late: LateProbe[];
  /** Order of the zones and what is taken from each; undefined without prices. */
  readonly zones: ZoneSearch<BackendView> | undefined;
  readonly isFirst: boolean;
  readonly estimates: PickEstimates;
  round: number;
  probes: number;
}

/** Load younger than this is used without a new probe; load changes many times a second. */
const LOAD_FRESH_MS = 12;

/** Load older than this is not used for a backend server that is not probed. */
const UNPROBED_LOAD_MAX_AGE_MS = 500;

/** Load younger than this was found by the search in progress: rounds take some milliseconds each. */
const SEARCH_LOAD_MAX_AGE_MS = 60;

/** Load older than this is not used for a backend server whose probe is late for an unclear reason. */
const LATE_LOAD_MAX_AGE_MS = 1_000;

/** Candidates of one round, of the own zone and of others. */
const PROBES_LOCAL = 2;
const PROBES_REMOTE = 2;

/**
 * Time after which the next candidate is probed although the last one has not answered: over an open
 * or a new connection within a region, answers take one to three milliseconds.
 */
const PROBE_STAGGER_MS = 5;

/** Maximum number of probe rounds for one pick. */
const ROUNDS_MAX = 4;

const purposeOf = ({ isFirst }: Pick<Search, 'isFirst'>) =>
  isFirst ? ProbePurpose.FirstPick : ProbePurpose.FurtherPick;

/**
 * Picks a backend server just in time: a few candidates are probed for their load right before the
 * call is sent, since a load that is older than a few milliseconds predicts little.
 */
export class BackendPicker implements Picker {
  private readonly leaveShares = new LeaveShare();

  private readonly evidence = new ProbeEvidence();

  constructor(private readonly options: BackendPickerOptions) {}

  async pick(
    call: Call,
    service: RoutedService,
    tried: ReadonlySet<string>,
    versions?: readonly VersionFilter[],
  ): Promise<PickResult> {
    const { pool, limits, meter } = this.options;
    const nowMs = this.options.nowMs();
    const candidates = pool.candidates({ service: service.name, nowMs, tried, versions });
    const isWithinLimit = (view: BackendView) => limits.maySend(view, nowMs);
    const local = candidates.local.filter(isWithinLimit);
    const remote = candidates.remote.filter(isWithinLimit);
    if (local.length + remote.length === 0) {
      const known = candidates.local.length + candidates.remote.length > 0;
      const reason = known ? NoPickReason.Limited : NoPickReason.NoBackend;
      return { view: null, reason, probes: 0, loads: '' };
    }
    const isFirst = tried.size === 0;
    const zones = this.createZoneSearch(service, isFirst, local, remote);
    const search: Search = {
      local,
      remote,
      evaluated: [],
      late: [],
      zones,
      isFirst,
      estimates: new PickEstimates({
        ...this.options,
        call,
        isFirst,
        candidates: [...local, ...remote],
      }),
      round: 0,
      probes: 0,
    };
    const result = await this.runSearch(call, service, search);
    this.settleLate(search);
    const { probes, round: rounds } = search;
    meter?.notePick(purposeOf(search), { probes, rounds, isFound: result.view !== null });
    return result;
  }

  private async runSearch(call: Call, service: RoutedService, search: Search): Promise<PickResult> {
    if (search.round > 0 && this.isHostSlow(search)) {
      this.useKnownLoads(search);
      return this.selectLowestCost(call, service, search);
    }
    const group = BackendPicker.nextGroup(search);
    const done = group.length === 0 || search.round >= ROUNDS_MAX || !call.isCallerConnected();
    if (done) return this.selectLowestCost(call, service, search);
    const accepted = await this.probeGroup(service, group, search);
    const taken = accepted ?? this.takenAfterRound(service, search);
    if (taken) return this.toPickResult(taken, search);
    search.round += 1;
    return this.runSearch(call, service, search);
  }

  /** Removes the next group from the lists: local candidates, and remote ones from round two on. */
  private static nextGroup({ round, local, remote, zones }: Search): BackendView[] {
    if (zones) return zones.nextGroup();
    const group = local.splice(0, PROBES_LOCAL);
    if (round > 0 || group.length === 0) group.push(...remote.splice(0, PROBES_REMOTE));
    return group;
  }

  /** Probes candidates in turn; resolves with the first acceptable one, or null. */
  private probeGroup(
    service: RoutedService,
    group: readonly BackendView[],
    search: Search,
  ): Promise<BackendView | null> {
    const { nowMs, setTimer, admission } = this.options;
    return findAcceptable({
      candidates: group,
      staggerMs: PROBE_STAGGER_MS,
      setTimer,
      evaluate: (view) => {
        if (nowMs() - view.loadAtMs < LOAD_FRESH_MS || this.isUsedUnprobed(view)) {
          return this.isAcceptable(view, service, search);
        }
        if (admission?.tryProbe(view, purposeOf(search)) === false) {
          // A load that is not current is compared with the others but never accepted at once.
          search.evaluated.push(view);
          return false;
        }
        return this.probeCandidate(view, service, search);
      },
    });
  }

  /** Probes a candidate; resolves with true if it is acceptable. */
  private async probeCandidate(
    view: BackendView,
    service: RoutedService,
    search: Search,
  ): Promise<boolean> {
    const { nowMs, probe, meter } = this.options;
    const sentAtMs = nowMs();
    search.probes += 1;
    meter?.noteProbe(purposeOf(search));
    const result = await probe(view, service).catch(() => ProbeMiss.Failed);
    if (result === ProbeMiss.Late) {
      this.evidence.noteLate(view.record.availabilityZone);
      search.late.push({ view, sentAtMs });
      return false;
    }
    if (!isMiss(result)) this.evidence.noteAnswered(sentAtMs);
    return this.noteProbe(view, result) && this.isAcceptable(view, service, search);
  }

  /**
   * True if a call is sent without a probe, which would count against the limit that the backend
   * server names. Its last load is dropped once it is old: without requests it would never change.
   */
  private isUsedUnprobed(view: BackendView): boolean {
    const { limits, nowMs } = this.options;
    if (!limits.isLimited(view) || view.unhealthy) return false;
    if (nowMs() - view.loadAtMs > UNPROBED_LOAD_MAX_AGE_MS) view.load = undefined;
    return true;
  }

  /**
   * Judges the late probes of a search at its end: servers whose probes alone are late are paused, the
   * others are compared as last known.
   */
  private settleLate({ late, evaluated }: Search): void {
    late.splice(0).forEach(({ view, sentAtMs }) => {
      if (this.evidence.isAnsweredSince(sentAtMs)) {
        this.noteProbe(view, ProbeMiss.Late);
        return;
      }
      const { id: backend, service } = view.record;
      this.options.meter?.noteUnanswered();
      this.options.log('probe_late', { backend, service, hostSlow: this.evidence.isHostSlow });
      if (this.isKnownLately(view)) evaluated.push(view);
    });
  }

  /** True if further probes would be late too; one to another zone shows whether the own one is lost. */
  private isHostSlow({ remote }: Search): boolean {
    return remote.length > 0 ? this.evidence.isSlowAcrossZones : this.evidence.isHostSlow;
  }

  /** True if the load is from this search. */
  private isCurrent(view: BackendView): boolean {
    return this.options.nowMs() - view.loadAtMs <= SEARCH_LOAD_MAX_AGE_MS;
  }

  private isKnownLately(view: BackendView): boolean {
    return this.options.nowMs() - view.loadAtMs <= LATE_LOAD_MAX_AGE_MS;
  }

  /** Compares all candidates that are left as last known, since no probe would be answered in time. */
  private useKnownLoads({ local, remote, evaluated }: Search): void {
    evaluated.push(...[...local, ...remote].filter((view) => this.isKnownLately(view)));
  }

  /** Records a probe's result; returns false if the backend server may not receive calls. */
  private noteProbe(view: BackendView, report: ProbeResult): boolean {
    const { log } = this.options;
    const now = this.options.nowMs();
    const { id: backend, service } = view.record;
    if (isMiss(report)) {
      this.options.meter?.noteUnanswered();
      view.startBackoff(now);
      log('probe_unanswered', { backend, service, pausedMs: view.backoffUntilMs - now });
      return false;
    }
    if (report.backendId !== undefined && report.backendId !== view.record.id) {
      // Another backend server has the address now.
      view.startBackoff(now);
      log('probe_misdirected', { backend, service, answeredBy: report.backendId });
      return false;
    }
    const wasCold = view.isCold(now);
    const wasUnhealthy = view.unhealthy;
    view.noteHealth(report, now);
    this.options.admission?.noteProbed(view);
    if (!wasCold && view.isCold(now)) {
      log('backend_cold', { backend, service, coldLeftMs: view.coldUntilMs - now });
    }
    if (wasUnhealthy !== view.unhealthy) {
      log('backend_health', { backend, service, healthy: report.healthy });
    }
    return this.options.pool.isUsable(view);
  }

  private maySend(view: BackendView, service: RoutedService): boolean {
    const now = this.options.nowMs();
    const { pool, cold, limits } = this.options;
    const isCold = !cold.maySend(view, service.coldPerSecond, now);
    const isOpen = pool.isUsable(view) && !view.isQuiet(now);
    return isOpen && !isCold && limits.maySend(view, now);
  }

  /** Adds a candidate to the evaluated ones; returns true if it ends the search at once. */
  private isAcceptable(
    view: BackendView,
    service: RoutedService,
    { zones, evaluated, estimates }: Search,
  ): boolean {
    evaluated.push(view);
    if (view.unhealthy || !this.maySend(view, service)) return false;
    if (zones) {
      const others = this.toCandidates(evaluated, service, estimates);
      return zones.isTakenAtOnce(estimates.toCandidate(view), others, estimates.needs());
    }
    return this.options.pool.isLocal(view) && estimates.isSufficient(view);
  }

  /** Returns the candidate of lowest cost that can finish before the deadline. */
  private selectLowestCost(call: Call, service: RoutedService, search: Search): PickResult {
    this.settleLate(search);
    const { evaluated, probes, zones, estimates } = search;
    const noPick = (reason: NoPickReason): PickResult => ({
      view: null,
      reason,
      probes,
      loads: evaluated.map((view) => estimates.describeLoad(view)).join(','),
    });
    if (evaluated.length === 0) return noPick(NoPickReason.Unreachable);
    const eligible = evaluated.filter((view) => this.maySend(view, service));
    if (eligible.length === 0) {
      const limited = evaluated.some((view) => this.options.limits.isLimited(view));
      return noPick(limited ? NoPickReason.Limited : NoPickReason.Cold);
    }
    const leftMs = call.dueAtMs - this.options.nowMs();
    const inTime = eligible.filter((view) => estimates.expectedMs(view) < leftMs);
    const chosen = zones
      ? zones.cheapestOf(this.toCandidates(inTime, service, estimates), estimates.needs())?.view
      : inTime.sort((a, b) => estimates.cost(a) - estimates.cost(b))[0];
    if (!chosen) return noPick(NoPickReason.Overloaded);
    return this.toPickResult(chosen, search);
  }

  private createZoneSearch(
    { name }: RoutedService,
    isFirst: boolean,
    local: BackendView[],
    remote: BackendView[],
  ): ZoneSearch<BackendView> | undefined {
    const { zoneCrossing: prices, nowMs } = this.options;
    if (!prices) return undefined;
    const shares = this.leaveShares;
    return new ZoneSearch({ prices, shares, service: name, isFirst, nowMs, local, remote });
  }

  /** Candidate that ends the search after a round: with its price, an idle one of another zone. */
  private takenAfterRound(
    service: RoutedService,
    { zones, evaluated, estimates }: Search,
  ): BackendView | undefined {
    const healthy = evaluated.filter((view) => !view.unhealthy);
    if (zones) {
      const candidates = this.toCandidates(healthy, service, estimates);
      return zones.takenAfterRound(candidates, estimates.needs())?.view;
    }
    const probed = healthy.filter((view) => this.isCurrent(view));
    return probed
      .filter((view) => this.maySend(view, service) && estimates.isSufficient(view))
      .sort((a, b) => estimates.cost(a) - estimates.cost(b))[0];
  }

  /** Candidates of the search that may receive the call. */
  private toCandidates(
    views: readonly BackendView[],
    service: RoutedService,
    estimates: PickEstimates,
  ): EvaluatedCandidate<BackendView>[] {
    return views
      .filter((view) => this.maySend(view, service))
      .map((view) => estimates.toCandidate(view));
  }

  private toPickResult(view: BackendView, { estimates, probes }: Search): PickResult {
    const loadAgeMs = this.options.nowMs() - view.loadAtMs;
    return { view, expectedMs: estimates.expectedMs(view), probes, loadAgeMs };
  }
}
