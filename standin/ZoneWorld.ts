import { setImmediate as nextTurn } from 'node:timers/promises';
import { Timeline } from '../fuzz/Timeline.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createRoute, createService } from '../src/common/routing/fixtures.js';
import { BackendPool } from '../src/gateway/BackendPool.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import { ColdLimiter } from '../src/gateway/ColdLimiter.js';
import { Dispatcher } from '../src/gateway/Dispatcher.js';
import { DispatchOutcomeType, PickPolicy, type SendAttempt } from '../src/gateway/DispatchTypes.js';
import {
  createAnswer,
  createBackend,
  createHealth,
  createLimiter,
} from '../src/gateway/fixtures.js';
import { createPicker } from '../src/gateway/Pickers.js';
import { RetryBudget } from '../src/gateway/RetryBudget.js';
import {
  AttemptResultType,
  type AttemptResult,
  type Call,
  ProbeMiss,
  type ProbeResult,
} from '../src/gateway/Types.js';
import { WorkEstimates } from '../src/gateway/WorkEstimates.js';
import type { CrossingPrices } from '../src/gateway/zones/CrossingDecision.js';
import { Percentiles } from './Percentiles.js';
import { SimulatedBackend } from './SimulatedBackend.js';

/** Zone with its gateways and backend servers. */
export interface SimulatedZone {
  readonly gateways: number;
  readonly backends: number;
}

/** Calls that arrive in one zone for a time. */
export interface ZoneLoad {
  readonly zone: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly callsPerSecond: number;
}

/** Options of a {@link ZoneWorld}; times are in milliseconds of virtual time. */
export interface ZoneWorldOptions {
  readonly seed: number;
  readonly zones: readonly SimulatedZone[];
  readonly loads: readonly ZoneLoad[];
  readonly slots: number;
  readonly queueMax: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly answerBytes: number;
  /** Prices of calls to other zones; omitted for decisions by expected time alone. */
  readonly zoneCrossing?: CrossingPrices;
  readonly slowShare?: number;
  /** Zone whose backend servers answer nothing for a time. */
  readonly lost?: { readonly zone: number; readonly fromMs: number; readonly untilMs: number };
}

/** Result of a simulation; shares are of the calls. */
export interface ZoneWorldResult {
  readonly calls: number;
  readonly inTime: number;
  /** Share of the zone whose callers were served worst. */
  readonly worstZone: number;
  /** Share in the second of arrival that was served worst, of all zones. */
  readonly worstSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Share of the attempts that left their zone. */
  readonly crossed: number;
  readonly crossedKilobytes: number;
  readonly probesPerCall: number;
}

const MS_PER_SECOND = 1_000;

const BYTES_PER_KB = 1_000;

/** One-way delays within a zone and between zones, of the larger deployment. */
const LOCAL_HOP_MS = 0.2;
const REMOTE_HOP_MS = 0.5;

/** Time until a probe without an answer is given up. */
const PROBE_TIMEOUT_MS = 60;

/** Bytes of a probe and of a request with its headers, both directions, without the body. */
const PROBE_BYTES = 400;
const REQUEST_BYTES = 700;

/** Slow periods of backend servers: five times slower for half a second. */
const SLOW_FACTOR = 5;
const SLOW_PERIOD_MS = 500;

const RETRY_BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 68 };

interface Counts {
  calls: number;
  inTime: number;
}

function shareOf({ calls, inTime }: Counts): number {
  return calls === 0 ? 1 : inTime / calls;
}

/** Simulates the gateways, backend servers and callers of several zones in virtual time. */
export class ZoneWorld {
  private readonly timeline = new Timeline();

  private readonly random: RandomSource;

  private readonly backends: { readonly zone: number; readonly server: SimulatedBackend }[] = [];

  private readonly gateways: { readonly zone: number; readonly dispatcher: Dispatcher }[] = [];

  private readonly byZone = new Map<number, Counts>();

  private readonly bySecond = new Map<number, Counts>();

  private readonly latencies = new Percentiles();

  private readonly totals = { attempts: 0, crossed: 0, crossedBytes: 0, probes: 0, calls: 0 };

  private readonly answerBody: Buffer;

  constructor(private readonly options: ZoneWorldOptions) {
    const { seed, zones, slowShare = 0.1 } = options;
    this.random = createRandom(seed);
    this.answerBody = Buffer.alloc(options.answerBytes);
    zones.forEach(({ backends }, zone) => {
      for (let index = 0; index < backends; index += 1) {
        const server = new SimulatedBackend({
          ...options,
          timeline: this.timeline,
          random: this.random,
          slowShare,
          slowFactor: SLOW_FACTOR,
          slowPeriodMs: SLOW_PERIOD_MS,
        });
        this.backends.push({ zone, server });
      }
    });
    zones.forEach(({ gateways }, zone) => {
      for (let index = 0; index < gateways; index += 1) {
        this.gateways.push({ zone, dispatcher: this.createGateway(zone, this.gateways.length) });
      }
    });
  }

  /** Runs all loads, then waits until the last calls have ended. */
  async run(): Promise<ZoneWorldResult> {
    let endMs = 0;
    this.options.loads.forEach(({ zone, fromMs, untilMs, callsPerSecond }) => {
      const count = Math.round(((untilMs - fromMs) / MS_PER_SECOND) * callsPerSecond);
      for (let index = 0; index < count; index += 1) {
        const atMs = fromMs + this.random.next() * (untilMs - fromMs);
        this.timeline.after(atMs, () => this.call(zone));
      }
      endMs = Math.max(endMs, untilMs);
    });
    for (let elapsedMs = 0; elapsedMs < endMs + 2 * this.options.deadlineMs; elapsedMs += 1) {
      this.timeline.advance(1);
      // Lets the promises of the dispatchers settle between two steps.
      // eslint-disable-next-line no-await-in-loop
      await nextTurn();
    }
    return this.result();
  }

  private result(): ZoneWorldResult {
    const { attempts, crossed, crossedBytes, probes, calls } = this.totals;
    const all = [...this.byZone.values()];
    const inTime = all.reduce((sum, counts) => sum + counts.inTime, 0);
    return {
      calls,
      inTime: inTime / calls,
      worstZone: Math.min(...all.map(shareOf)),
      worstSecond: Math.min(...[...this.bySecond.values()].map(shareOf)),
      p50Ms: this.latencies.quantile(0.5),
      p99Ms: this.latencies.quantile(0.99),
      crossed: crossed / attempts,
      crossedKilobytes: crossedBytes / BYTES_PER_KB,
      probesPerCall: probes / calls,
    };
  }

  private createGateway(zone: number, index: number): Dispatcher {
    const { timeline } = this;
    const nowMs = () => timeline.nowMs;
    const log = () => {};
    const selfId = `e-${index}`;
    const random = createRandom(this.options.seed + index);
    const pool = new BackendPool({ availabilityZone: `zone-${zone}`, random, selfId });
    pool.apply(
      this.backends.map((backend, number) =>
        createBackend(`b-${number}`, {
          availabilityZone: `zone-${backend.zone}`,
          slots: this.options.slots,
        }),
      ),
      0,
    );
    const cold = new ColdLimiter({ selfId });
    const work = new WorkEstimates();
    const setTimer = (delayMs: number, fire: () => void) => {
      let active = true;
      timeline.after(delayMs, () => active && fire());
      return () => {
        active = false;
      };
    };
    const picker = createPicker(PickPolicy.JustInTime, {
      pool,
      cold,
      limits: createLimiter({ selfId }),
      work,
      probe: (view) => this.probe(zone, view),
      nowMs,
      setTimer,
      log,
      zoneCrossing: this.options.zoneCrossing,
    });
    return new Dispatcher({
      picker,
      cold,
      budget: new RetryBudget({ ...RETRY_BUDGET, startedAtMs: -RETRY_BUDGET.windowMs }),
      work,
      crashes: { noteConnectionLost: () => {}, noteCompleted: () => {} },
      nowMs,
      setTimer,
      log,
    });
  }

  /** Notes bytes if they pass between zones; returns the one-way delay. */
  private hop(zone: number, view: BackendView, bytes: number): number {
    const isLocal = view.record.availabilityZone === `zone-${zone}`;
    if (isLocal) return LOCAL_HOP_MS;
    this.totals.crossedBytes += bytes;
    return REMOTE_HOP_MS;
  }

  private backendOf(view: BackendView) {
    const backend = this.backends[Number(view.record.id.slice(2))]!;
    const { lost } = this.options;
    const { nowMs } = this.timeline;
    const isLost = lost?.zone === backend.zone && nowMs >= lost.fromMs && nowMs < lost.untilMs;
    return { server: backend.server, isLost };
  }

  private probe(zone: number, view: BackendView): Promise<ProbeResult> {
    this.totals.probes += 1;
    const hopMs = this.hop(zone, view, PROBE_BYTES);
    const { server, isLost } = this.backendOf(view);
    return new Promise((resolve) => {
      if (isLost) this.timeline.after(PROBE_TIMEOUT_MS, () => resolve(ProbeMiss.Late));
      else {
        this.timeline.after(2 * hopMs, () =>
          resolve(createHealth(view.record.id, { load: server.load })),
        );
      }
    });
  }

  private sendFrom(zone: number): SendAttempt {
    return (view, remainingMs) => {
      const hopMs = this.hop(zone, view, REQUEST_BYTES);
      this.totals.attempts += 1;
      if (hopMs === REMOTE_HOP_MS) this.totals.crossed += 1;
      const { server, isLost } = this.backendOf(view);
      let cancel = () => {};
      const result = new Promise<AttemptResult>((resolve) => {
        if (isLost) {
          const lost = { type: AttemptResultType.Unknown, reason: 'lost' } as const;
          this.timeline.after(remainingMs, () => resolve(lost));
          return;
        }
        this.timeline.after(hopMs, () => {
          cancel = server.run((completed, load) => {
            if (completed) this.hop(zone, view, this.answerBody.length);
            const answer = completed
              ? createAnswer({ load, body: this.answerBody })
              : ({ type: AttemptResultType.NotRun, reason: 'full', load } as const);
            this.timeline.after(hopMs, () => resolve(answer));
          });
        });
      });
      return { result, cancel: () => cancel() };
    };
  }

  private call(zone: number): void {
    const { objectiveMs, deadlineMs } = this.options;
    const { nowMs } = this.timeline;
    this.totals.calls += 1;
    const call: Call = {
      callId: `call-${this.totals.calls}`,
      route: createRoute('read', { objectiveMs, timeoutMs: deadlineMs }),
      service: 'alpha',
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + deadlineMs,
      objectiveAtMs: nowMs + objectiveMs,
      fingerprint: () => '',
      isCallerConnected: () => true,
    };
    const gateways = this.gateways.filter((gateway) => gateway.zone === zone);
    const { dispatcher } = gateways[pickIndex(this.random, gateways.length)]!;
    dispatcher
      .run(call, createService('alpha'), this.sendFrom(zone), () => {})
      .then(
        ({ type }) => this.record(zone, nowMs, type === DispatchOutcomeType.Answer),
        () => this.record(zone, nowMs, false),
      );
  }

  private record(zone: number, arrivedAtMs: number, isAnswered: boolean): void {
    const elapsedMs = this.timeline.nowMs - arrivedAtMs;
    if (isAnswered) this.latencies.add(elapsedMs);
    const isInTime = isAnswered && elapsedMs <= this.options.objectiveMs;
    const second = Math.floor(arrivedAtMs / MS_PER_SECOND);
    const add = (groups: Map<number, Counts>, key: number) => {
      const counts = groups.get(key) ?? { calls: 0, inTime: 0 };
      counts.calls += 1;
      if (isInTime) counts.inTime += 1;
      groups.set(key, counts);
    };
    add(this.byZone, zone);
    add(this.bySecond, second);
  }
}
