import { setImmediate as nextTurn } from 'node:timers/promises';
import { Timeline } from '../fuzz/Timeline.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createRoute, createService } from '../src/common/routing/fixtures.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import {
  DispatchOutcomeType,
  type SendAttempt,
  type PickPolicy,
} from '../src/gateway/DispatchTypes.js';
import { createAnswer, createEntryHost, createHealth } from '../src/gateway/fixtures.js';
import {
  AttemptResultType,
  LimitReadingType,
  type AttemptResult,
  type HealthReport,
} from '../src/gateway/Types.js';
import type { LimitReport } from '../src/gateway/RequestLimiter.js';
import { LimitAudit, type LimitExcess } from './LimitAudit.js';
import { Percentiles } from './Percentiles.js';
import { SimulatedBackend } from './SimulatedBackend.js';
import { SimulatedGateway } from './SimulatedGateway.js';

/** Length of one phase of the simulation, and the rate of calls in it. */
export interface LoadPhase {
  readonly durationMs: number;
  readonly callsPerSecond: number;
}

/** Backend servers that name a limit of requests for a time. */
export interface LimitTrouble {
  /** The first backend servers name the limit. */
  readonly backends: number;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Gateways that are restarted one after the other. */
export interface RestartTrouble {
  readonly fromMs: number;
  readonly intervalMs: number;
  readonly count: number;
  /** Time for which each gateway is down. */
  readonly downMs: number;
}

/** Options of a {@link RoutedWorld}; times are in milliseconds of virtual time. */
export interface RoutedWorldOptions {
  readonly policy: PickPolicy;
  readonly seed: number;
  readonly gateways: number;
  readonly backends: number;
  readonly slots: number;
  readonly queueMax: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly phases: readonly LoadPhase[];
  /** Probability that a backend server is slow in a period. */
  readonly slowShare: number;
  /** Factor on the work in a slow period. */
  readonly slowFactor: number;
  /** Mean length of a period. */
  readonly slowPeriodMs: number;
  readonly limit?: LimitTrouble;
  readonly restarts?: RestartTrouble;
  /** Longest time until a gateway receives a change of the list of gateways; 0 by default. */
  readonly listDelayMaxMs?: number;
}

/** Result of a simulation; outcomes are shares of all calls. */
export interface RoutedWorldResult {
  readonly calls: number;
  readonly withinObjective: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly probesPerCall: number;
  readonly attemptsPerCall: number;
}

const MS_PER_SECOND = 1_000;

/** One-way delay between a gateway and a backend server. */
const HOP_MS = 0.3;

/** Simulates gateways, backend servers and callers in virtual time, without a network. */
export class RoutedWorld {
  private readonly timeline = new Timeline();

  private readonly random: RandomSource;

  private readonly backends: SimulatedBackend[];

  /** Running gateways by id. */
  private readonly gateways = new Map<string, SimulatedGateway>();

  /** Audits of the backend servers that name a limit, by their index. */
  private readonly audits = new Map<number, LimitAudit>();

  private starts = 0;

  private readonly latencies = new Percentiles();

  private readonly counts = { calls: 0, within: 0, late: 0, refused: 0, failed: 0 };

  private probes = 0;

  private attempts = 0;

  constructor(private readonly options: RoutedWorldOptions) {
    this.random = createRandom(options.seed);
    this.backends = Array.from(
      { length: options.backends },
      () => new SimulatedBackend({ ...options, timeline: this.timeline, random: this.random }),
    );
    for (let index = 0; index < options.gateways; index += 1) this.startGateway(`e-${index}`);
    if (options.limit) this.scheduleLimit(options.limit);
    if (options.restarts) this.scheduleRestarts(options.restarts);
  }

  /** Runs every phase, then waits until the last calls have ended. */
  async run(): Promise<RoutedWorldResult> {
    let startMs = 0;
    this.options.phases.forEach(({ durationMs, callsPerSecond }) => {
      const count = Math.round((durationMs * callsPerSecond) / MS_PER_SECOND);
      Array.from({ length: count }).forEach(() =>
        this.timeline.after(startMs + this.random.next() * durationMs, () => this.call()),
      );
      startMs += durationMs;
    });
    await this.advance(startMs + 2 * this.options.deadlineMs);
    return this.result();
  }

  /** Worst window of each backend server that got more requests than its limit allows. */
  get limitExcesses(): LimitExcess[] {
    return [...this.audits.values()].flatMap((audit) => audit.worstExcess() ?? []);
  }

  /** Requests that count for limits, to show that a run tests anything. */
  get limitedRequests(): number {
    return [...this.audits.values()].reduce((sum, audit) => sum + audit.size, 0);
  }

  private async advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1) {
      this.timeline.advance(1);
      // Lets the promises of the dispatchers settle between two steps.
      // eslint-disable-next-line no-await-in-loop
      await nextTurn();
    }
  }

  private result(): RoutedWorldResult {
    const { calls, within, late, refused, failed } = this.counts;
    return {
      calls,
      withinObjective: within / calls,
      late: late / calls,
      refused: refused / calls,
      failed: failed / calls,
      p50Ms: this.latencies.quantile(0.5),
      p99Ms: this.latencies.quantile(0.99),
      probesPerCall: this.probes / calls,
      attemptsPerCall: this.attempts / calls,
    };
  }

  private startGateway(id: string): void {
    const { policy, seed, backends } = this.options;
    const gateway = new SimulatedGateway({
      id,
      seed: seed + this.starts,
      policy,
      timeline: this.timeline,
      backends,
      probe: (from, view) => this.probe(from, view),
      broadcast: (from, report) => this.relay(from, report),
    });
    this.starts += 1;
    this.gateways.set(id, gateway);
    this.publishEntryHosts();
  }

  /** Sends the list of gateways to each of them, with a delay of its own. */
  private publishEntryHosts(): void {
    const entryHosts = [...this.gateways.keys()].map((id) => createEntryHost(id));
    this.gateways.forEach((gateway) => {
      const delayMs = this.random.next() * (this.options.listDelayMaxMs ?? 0);
      this.timeline.after(delayMs, () => gateway.setEntryHosts(entryHosts));
    });
  }

  /** Relays a report to the other gateways through a control host. */
  private relay(from: SimulatedGateway, report: LimitReport): void {
    this.gateways.forEach((gateway) => {
      if (gateway === from) return;
      this.timeline.after(2 * HOP_MS + this.random.next(), () => gateway.receive(report));
    });
  }

  private scheduleLimit({ backends, perSecond, fromMs, untilMs }: LimitTrouble): void {
    for (let index = 0; index < backends; index += 1) {
      const audit = new LimitAudit();
      this.audits.set(index, audit);
      this.timeline.after(fromMs, () => {
        this.backends[index]!.limitPerSecond = perSecond;
        audit.noteNamed(perSecond, this.timeline.nowMs);
      });
      this.timeline.after(untilMs, () => {
        this.backends[index]!.limitPerSecond = undefined;
        audit.noteEnded(this.timeline.nowMs);
      });
    }
  }

  private scheduleRestarts({ fromMs, intervalMs, count, downMs }: RestartTrouble): void {
    for (let turn = 0; turn < count; turn += 1) {
      this.timeline.after(fromMs + turn * intervalMs, () => {
        const ids = [...this.gateways.keys()];
        if (ids.length < 2) return;
        const id = ids[pickIndex(this.random, ids.length)]!;
        this.gateways.delete(id);
        this.audits.forEach((audit) => audit.noteDisturbed(id));
        this.publishEntryHosts();
        this.timeline.after(downMs, () => this.startGateway(id));
      });
    }
  }

  private probe(gateway: SimulatedGateway, view: BackendView): Promise<HealthReport> {
    this.probes += 1;
    const backend = this.noteRequest(gateway, view);
    const sentAtMs = this.timeline.nowMs;
    return new Promise((resolve) => {
      this.timeline.after(2 * HOP_MS, () => {
        this.deliverLimit(gateway, view, sentAtMs, false);
        resolve(createHealth(view.record.id, { load: backend.load }));
      });
    });
  }

  private noteRequest(gateway: SimulatedGateway, view: BackendView): SimulatedBackend {
    const index = Number(view.record.id.slice(2));
    gateway.noteSent(view);
    this.audits.get(index)?.noteRequest(gateway.id, this.timeline.nowMs);
    return this.backends[index]!;
  }

  /** Delivers the limit in an answer; only the answer to a call that ran shows that there is none. */
  private deliverLimit(
    gateway: SimulatedGateway,
    view: BackendView,
    sentAtMs: number,
    hasRun: boolean,
  ): void {
    const index = Number(view.record.id.slice(2));
    const { limitPerSecond: perSecond } = this.backends[index]!;
    if (perSecond !== undefined) {
      this.audits.get(index)?.noteReceived(gateway.id, this.timeline.nowMs);
      gateway.noteLimit(view, { type: LimitReadingType.Named, perSecond }, sentAtMs);
    } else if (hasRun) gateway.noteLimit(view, { type: LimitReadingType.None }, sentAtMs);
  }

  private sendFrom(gateway: SimulatedGateway): SendAttempt {
    return (view) => {
      this.attempts += 1;
      const backend = this.noteRequest(gateway, view);
      const sentAtMs = this.timeline.nowMs;
      let cancel = () => {};
      const result = new Promise<AttemptResult>((resolve) => {
        this.timeline.after(HOP_MS, () => {
          cancel = backend.run((completed, load) =>
            this.timeline.after(HOP_MS, () => {
              this.deliverLimit(gateway, view, sentAtMs, completed);
              resolve(
                completed
                  ? createAnswer({ load, body: Buffer.alloc(0) })
                  : { type: AttemptResultType.NotRun, reason: 'full', load },
              );
            }),
          );
        });
      });
      return { result, cancel: () => cancel() };
    };
  }

  private call(): void {
    const { objectiveMs, deadlineMs } = this.options;
    const { nowMs } = this.timeline;
    const route = createRoute('read', { objectiveMs, timeoutMs: deadlineMs });
    this.counts.calls += 1;
    const call = {
      callId: `call-${this.counts.calls}`,
      route,
      service: 'alpha',
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + deadlineMs,
      objectiveAtMs: nowMs + objectiveMs,
      fingerprint: () => '',
      isCallerConnected: () => true,
      acceptsUnframedAnswer: () => true,
    };
    const gateways = [...this.gateways.values()];
    const gateway = gateways[pickIndex(this.random, gateways.length)]!;
    gateway.dispatcher
      .run(call, createService('alpha'), this.sendFrom(gateway), () => {})
      .then(
        (outcome) => this.recordOutcome(outcome.type, this.timeline.nowMs - nowMs),
        () => this.recordOutcome(DispatchOutcomeType.Failed, 0),
      );
  }

  private recordOutcome(type: DispatchOutcomeType, elapsedMs: number): void {
    if (type === DispatchOutcomeType.Answer) {
      this.latencies.add(elapsedMs);
      if (elapsedMs <= this.options.objectiveMs) this.counts.within += 1;
      else this.counts.late += 1;
    } else if (type === DispatchOutcomeType.Refused) this.counts.refused += 1;
    else this.counts.failed += 1;
  }
}
