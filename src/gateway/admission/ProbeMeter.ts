import type { DecisionLog } from '../DispatchTypes.js';

/** What a probe is sent for. */
export enum ProbePurpose {
  /** First pick of a call. */
  FirstPick = 'first-pick',
  /** Pick of a retry or a hedged attempt. */
  FurtherPick = 'further-pick',
  /** Check whether a backend server crashed. */
  CrashCheck = 'crash-check',
}

/** How a pick ended. */
export interface PickReport {
  readonly probes: number;
  /** Rounds in which candidates were evaluated. */
  readonly rounds: number;
  readonly isFound: boolean;
}

/** Options of a {@link ProbeMeter}. */
export interface ProbeMeterOptions {
  readonly nowMs: () => number;
  /** Number of backend servers that may be probed. */
  readonly servers: () => number;
  /** Receives each probe, for a counter. */
  readonly onProbe?: (purpose: ProbePurpose) => void;
  /** Receives each pick, for a histogram. */
  readonly onPick?: (report: PickReport) => void;
  readonly log: DecisionLog;
}

interface ProbeWindow {
  readonly startedAtMs: number;
  probes: number;
  unanswered: number;
  crashChecks: number;
  picks: number;
  furtherPicks: number;
  picksWithoutServer: number;
  probesMax: number;
  roundsSum: number;
}

/** Length of a window; shorter than the bursts of a few seconds that it must show. */
const WINDOW_MS = 2_000;

const MS_PER_SECOND = 1_000;

function createWindow(startedAtMs: number): ProbeWindow {
  return {
    startedAtMs,
    probes: 0,
    unanswered: 0,
    crashChecks: 0,
    picks: 0,
    furtherPicks: 0,
    picksWithoutServer: 0,
    probesMax: 0,
    roundsSum: 0,
  };
}

/**
 * Counts the probes of one gateway by purpose and pick, and logs each window with any. Each window
 * also has an estimate for all gateways, since a limit of probes is stated for their sum.
 *
 * @example
 * const meter = new ProbeMeter({ nowMs, servers: () => pool.usable().length, log });
 * meter.noteProbe(ProbePurpose.CrashCheck);
 * meter.perServerPerSecond; // of the last window, if all gateways probe like this one
 */
export class ProbeMeter {
  private window: ProbeWindow;

  private gateways = 0;

  private lastPerServerPerSecond = 0;

  constructor(private readonly options: ProbeMeterOptions) {
    this.window = createWindow(options.nowMs());
  }

  /** Sets the number of live gateways. */
  setGateways(count: number): void {
    this.gateways = count;
  }

  /**
   * Mean number of probes that one backend server receives per second from all gateways, if they
   * send as many as this one did in the last complete window. It is 0 without a list of gateways.
   */
  get perServerPerSecond(): number {
    this.closeWindow();
    return this.lastPerServerPerSecond;
  }

  noteProbe(purpose: ProbePurpose): void {
    this.closeWindow();
    this.window.probes += 1;
    if (purpose === ProbePurpose.CrashCheck) this.window.crashChecks += 1;
    this.options.onProbe?.(purpose);
  }

  noteUnanswered(): void {
    this.window.unanswered += 1;
  }

  notePick(purpose: ProbePurpose, report: PickReport): void {
    this.closeWindow();
    const { window } = this;
    window.picks += 1;
    if (purpose === ProbePurpose.FurtherPick) window.furtherPicks += 1;
    if (!report.isFound) window.picksWithoutServer += 1;
    window.probesMax = Math.max(window.probesMax, report.probes);
    window.roundsSum += report.rounds;
    this.options.onPick?.(report);
  }

  /** Ends the window once it is over; windows without probes and picks are not logged. */
  private closeWindow(): void {
    const nowMs = this.options.nowMs();
    const { startedAtMs, probes, picks, roundsSum, ...counts } = this.window;
    const elapsedMs = nowMs - startedAtMs;
    if (elapsedMs < WINDOW_MS) return;
    const servers = this.options.servers();
    const perSecond = (probes * MS_PER_SECOND) / elapsedMs;
    this.lastPerServerPerSecond = (perSecond * this.gateways) / Math.max(1, servers);
    this.window = createWindow(nowMs);
    if (probes + picks === 0) return;
    this.options.log('probe_rate', {
      elapsedMs,
      probes,
      picks,
      ...counts,
      probesPerPick: probes / Math.max(1, picks),
      roundsPerPick: roundsSum / Math.max(1, picks),
      gateways: this.gateways,
      servers,
      perServerPerSecond: this.lastPerServerPerSecond,
    });
  }
}
