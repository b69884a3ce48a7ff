import { setImmediate as nextTurn } from 'node:timers/promises';
import { Timeline } from '../fuzz/Timeline.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createRoute, createService } from '../src/common/routing/fixtures.js';
import { BackendPool } from '../src/gateway/BackendPool.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import { ColdLimiter } from '../src/gateway/ColdLimiter.js';
import { Dispatcher } from '../src/gateway/Dispatcher.js';
import {
  DispatchOutcomeType,
  type SendAttempt,
  type PickPolicy,
} from '../src/gateway/DispatchTypes.js';
import {
  createAnswer,
  createBackend,
  createEntryHost,
  createHealth,
} from '../src/gateway/fixtures.js';
import { createPicker } from '../src/gateway/Pickers.js';
import { RetryBudget } from '../src/gateway/RetryBudget.js';
import { AttemptResultType, type AttemptResult } from '../src/gateway/Types.js';
import { WorkEstimates } from '../src/gateway/WorkEstimates.js';
import { Percentiles } from './Percentiles.js';
import { SimulatedBackend } from './SimulatedBackend.js';

/** Length of one phase of the simulation, and the rate of calls in it. */
export interface LoadPhase {
  readonly durationMs: number;
  readonly callsPerSecond: number;
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

/** Retry budget that the provider's deployments configure. */
const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 68 };

/** Simulates gateways, backend servers and callers in virtual time, without a network. */
export class RoutedWorld {
  private readonly timeline = new Timeline();

  private readonly random: RandomSource;

  private readonly backends: SimulatedBackend[];

  private readonly dispatchers: Dispatcher[];

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
    this.dispatchers = Array.from({ length: options.gateways }, (unused, index) =>
      this.createGateway(index),
    );
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

  private createGateway(index: number): Dispatcher {
    const { policy, gateways, seed } = this.options;
    const nowMs = () => this.timeline.nowMs;
    const pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(seed + index) });
    const records = this.backends.map((unused, backendIndex) => createBackend(`b-${backendIndex}`));
    pool.apply(records, 0);
    const hosts = Array.from({ length: gateways }, (unused, hostIndex) =>
      createEntryHost(`e-${hostIndex}`),
    );
    const cold = new ColdLimiter({ selfId: `e-${index}` });
    cold.setEntryHosts(hosts);
    const budget = new RetryBudget({ ...BUDGET, startedAtMs: -BUDGET.windowMs });
    budget.setEntryHosts(gateways);
    const work = new WorkEstimates();
    const probe = (view: BackendView) => this.probe(view);
    const log = () => {};
    return new Dispatcher({
      picker: createPicker(policy, { pool, cold, work, probe, nowMs, log }),
      cold,
      budget,
      work,
      crashes: { noteConnectionLost: () => {}, noteCompleted: () => {} },
      nowMs,
      setTimer: (delayMs, fire) => {
        let active = true;
        this.timeline.after(delayMs, () => active && fire());
        return () => {
          active = false;
        };
      },
      log,
    });
  }

  private probe(view: BackendView) {
    this.probes += 1;
    return new Promise<ReturnType<typeof createHealth>>((resolve) => {
      this.timeline.after(2 * HOP_MS, () => {
        const { load } = this.backendOf(view);
        resolve(createHealth(view.record.id, { load }));
      });
    });
  }

  private backendOf(view: BackendView): SimulatedBackend {
    return this.backends[Number(view.record.id.slice(2))]!;
  }

  private readonly send: SendAttempt = (view) => {
    this.attempts += 1;
    let cancel = () => {};
    const result = new Promise<AttemptResult>((resolve) => {
      this.timeline.after(HOP_MS, () => {
        cancel = this.backendOf(view).run((completed, load) =>
          this.timeline.after(HOP_MS, () =>
            resolve(
              completed
                ? createAnswer({ load, body: Buffer.alloc(0) })
                : { type: AttemptResultType.NotRun, reason: 'full', load },
            ),
          ),
        );
      });
    });
    return { result, cancel: () => cancel() };
  };

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
    const dispatcher = this.dispatchers[pickIndex(this.random, this.dispatchers.length)]!;
    dispatcher
      .run(call, createService('alpha'), this.send, () => {})
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
