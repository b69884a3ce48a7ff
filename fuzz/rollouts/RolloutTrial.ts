import { createRandom, type RandomSource } from '../../src/common/Random.js';
import { createRoute, createTable } from '../../src/common/routing/fixtures.js';
import type { RoutingView } from '../../src/common/routing/Types.js';
import { RolloutState, type Rollout } from '../../src/common/rollouts/Types.js';
import { CommandType } from '../../src/control/Commands.js';
import { applyOrder, applyVerdict, rolloutOf } from '../../src/control/rollouts/RolloutBook.js';
import { RolloutSteering } from '../../src/control/rollouts/RolloutSteering.js';
import { BackendView } from '../../src/gateway/BackendView.js';
import { createAnswer, createBackend } from '../../src/gateway/fixtures.js';
import { EvidenceRecorder } from '../../src/gateway/rollouts/EvidenceRecorder.js';
import { VersionChooser } from '../../src/gateway/rollouts/VersionChooser.js';
import { AttemptResultType, type AttemptResult, type Call } from '../../src/gateway/Types.js';
import { Timeline } from '../Timeline.js';
import { Disturbance, FaultKind, FaultOnset, type VersionFault } from './RolloutFaults.js';

/** Options of {@link runRolloutTrial}. */
export interface RolloutTrialOptions {
  readonly seed: number;
  readonly fault: VersionFault;
  readonly disturbance: Disturbance;
  /** Calls per second of the service. */
  readonly callsPerSecond: number;
  /** Servers of each version. */
  readonly servers: number;
  readonly gateways: number;
  readonly slots: number;
  readonly workMs: number;
  readonly durationMs: number;
}

/** What a rollout came to. */
export interface RolloutTrialResult {
  readonly state: RolloutState;
  readonly endedAfterMs: number;
  readonly calls: number;
  /** Attempts that the new version received between order and deadline. */
  readonly exposed: number;
  /** Calls that the requirement allows a bad version. */
  readonly allowed: number;
  /** Time from the 50th bad answer to the last call of the new version; 0 without so many. */
  readonly lastCallAfter50BadMs: number;
}

/** Server in virtual time. */
interface ModelServer {
  readonly view: BackendView;
  readonly isNew: boolean;
  coldUntilMs: number;
  downUntilMs: number;
  slowUntilMs: number;
  running: number;
  readonly queue: (() => void)[];
  /** Ends of the running calls, called with an error when the server crashes. */
  readonly ends: Set<(result: AttemptResult) => void>;
}

const COLD_MS = 3_000;
const COLD_FACTOR = 2;
const ROUTES = ['read', 'list'];
/** Share of the calls on the first route. */
const FIRST_ROUTE_SHARE = 0.75;
const REPORT_MS = 200;
const TICK_MS = 50;
/** Way of a report or of a routing between gateway and leader, with the write to the log. */
const LINK_MS = 20;
/** Relative spread of the work. */
const WORK_SPREAD = 0.33;
/** Share of calls of several times the usual work. */
const HEAVY_SHARE = 0.04;
const HEAVY_FACTOR = 4;
const DISTURBANCE_EVERY_MS = 700;
const DISTURBANCE_MS = 1_500;
const SLOW_SERVER_FACTOR = 5;
const LOST_SHARE = 0.03;
/** Step between which the results of attempts are passed on. */
const STEP_MS = 10;
/** Time after the deadline in which the leader ends a rollout without a verdict. */
const AFTER_DUE_MS = 200;
/** Time after which a caller's call counts as lost. */
const CALL_TIMEOUT_MS = 4_000;

/** One rollout in virtual time, with the product's steering, evidence and choice of versions. */
class RolloutTrial {
  private readonly timeline = new Timeline();

  private readonly random: RandomSource;

  private view: RoutingView;

  private index = 1;

  private readonly steering = new RolloutSteering();

  private readonly servers: ModelServer[] = [];

  private readonly gateways: { chooser: VersionChooser; recorder: EvidenceRecorder }[] = [];

  private calls = 0;

  private exposed = 0;

  private badAnswers = 0;

  private fiftiethBadAtMs = Infinity;

  private lastNewAtMs = 0;

  private endedAtMs = 0;

  constructor(private readonly options: RolloutTrialOptions) {
    this.random = createRandom(options.seed);
    const routes = ROUTES.map((name) => createRoute(name));
    this.view = { index: 1, version: 1, table: createTable(routes), closedZones: [] };
    for (let index = 0; index < options.servers * 2; index += 1) this.addServer(index);
    for (let index = 0; index < options.gateways; index += 1) this.addGateway(index);
  }

  async run(): Promise<RolloutTrialResult> {
    const { durationMs, callsPerSecond, disturbance } = this.options;
    const order = applyOrder(this.view, this.nextIndex(), {
      type: CommandType.RolloutOrder,
      service: 'alpha',
      toVersion: 'v2',
      durationMs,
      actor: 'trial',
      atMs: 0,
    });
    this.setView(order.view);
    const everyMs = 1_000 / callsPerSecond;
    const arrive = () => {
      this.startCall();
      this.timeline.after(-Math.log(1 - this.random.next()) * everyMs, arrive);
    };
    this.timeline.after(0, arrive);
    this.repeat(TICK_MS, () => this.tick());
    this.gateways.forEach(({ recorder }) =>
      this.timeline.after(this.random.next() * REPORT_MS, () =>
        this.repeat(REPORT_MS, () => this.report(recorder)),
      ),
    );
    if (disturbance !== Disturbance.None) this.repeat(DISTURBANCE_EVERY_MS, () => this.disturb());
    const steps = Math.ceil((durationMs + AFTER_DUE_MS) / STEP_MS);
    for (let step = 0; step < steps; step += 1) {
      this.timeline.advance(STEP_MS);
      // Results are promises, as in the product.
      // eslint-disable-next-line no-await-in-loop
      await Promise.resolve();
    }
    const { state } = this.rollout;
    return {
      state,
      endedAfterMs: this.endedAtMs || durationMs,
      calls: this.calls,
      exposed: this.exposed,
      allowed: this.calls * 0.1 + 50,
      lastCallAfter50BadMs: Math.max(0, this.lastNewAtMs - this.fiftiethBadAtMs),
    };
  }

  private get rollout(): Rollout {
    return rolloutOf(this.view, 'alpha')!;
  }

  private nextIndex(): number {
    this.index += 1;
    return this.index;
  }

  private repeat(everyMs: number, action: () => void): void {
    this.timeline.after(everyMs, () => {
      action();
      this.repeat(everyMs, action);
    });
  }

  private addServer(index: number): void {
    const isNew = index >= this.options.servers;
    const record = createBackend(`b-${index}`, { version: isNew ? 'v2' : 'v1' });
    const coldUntilMs = isNew ? COLD_MS + this.random.next() * 1_000 : 0;
    const view = new BackendView(record);
    view.coldUntilMs = coldUntilMs;
    const state = { coldUntilMs, downUntilMs: 0, slowUntilMs: 0, running: 0 };
    this.servers.push({ view, isNew, ...state, queue: [], ends: new Set() });
  }

  private addGateway(index: number): void {
    const chooser = new VersionChooser({ random: this.random });
    const recorder = new EvidenceRecorder({
      gatewayId: `g-${index}`,
      startId: 'first',
      versions: chooser,
      routingIndex: () => this.view.index,
      nowMs: () => this.timeline.nowMs,
    });
    this.gateways.push({ chooser, recorder });
  }

  private setView(view: RoutingView): void {
    this.view = view;
    this.timeline.after(LINK_MS, () =>
      this.gateways.forEach(({ chooser, recorder }) => {
        chooser.setRollouts(view.rollouts ?? []);
        recorder.track('alpha', this.rollout.orderIndex);
      }),
    );
  }

  private report(recorder: EvidenceRecorder): void {
    recorder
      .takeReports()
      .forEach((message) =>
        this.timeline.after(LINK_MS, () => this.steering.receive(message, this.timeline.nowMs)),
      );
  }

  private tick(): void {
    const { nowMs } = this.timeline;
    this.steering.tick(this.view, nowMs, nowMs).forEach((change) => {
      const command = { type: CommandType.RolloutVerdict, actor: 'system', atMs: nowMs } as const;
      this.setView(applyVerdict(this.view, this.nextIndex(), { ...command, ...change }));
      if (change.state !== RolloutState.Running) this.endedAtMs = nowMs;
    });
  }

  private startCall(): void {
    this.calls += 1;
    const route = ROUTES[this.random.next() < FIRST_ROUTE_SHARE ? 0 : 1]!;
    this.send(route, this.gateways[Math.floor(this.random.next() * this.gateways.length)]!, true);
  }

  private send(route: string, gateway: (typeof this.gateways)[number], isFirst: boolean): void {
    const { filters } = gateway.chooser.choose('alpha', isFirst);
    const filter = filters[0] ?? (() => true);
    const { nowMs } = this.timeline;
    const usable = this.servers.filter(
      (server) => filter(server.view.record.version) && nowMs >= server.downUntilMs,
    );
    if (usable.length === 0) return;
    const draw = () => usable[Math.floor(this.random.next() * usable.length)]!;
    // Picks look at a few servers, as the product's probes do.
    const chosen = [draw(), draw(), draw()].reduce((a, b) =>
      b.running + b.queue.length < a.running + a.queue.length ? b : a,
    );
    if (chosen.isNew) {
      this.exposed += 1;
      this.lastNewAtMs = nowMs;
    }
    let finish: (result: AttemptResult) => void = () => {};
    const result = new Promise<AttemptResult>((resolve) => {
      finish = resolve;
    });
    let ended = false;
    const end = (ending: AttemptResult) => {
      if (ended) return;
      ended = true;
      chosen.ends.delete(end);
      finish(ending);
      const isGood = ending.type === AttemptResultType.Answer && ending.answer.statusCode < 500;
      if (isGood) return;
      if (chosen.isNew) {
        this.badAnswers += 1;
        if (this.badAnswers === 50) this.fiftiethBadAtMs = this.timeline.nowMs;
      }
      if (isFirst) this.send(route, gateway, false);
    };
    const call = { service: 'alpha', route: { name: route } } as unknown as Call;
    gateway.recorder.observe(call, chosen.view, { result });
    chosen.ends.add(end);
    this.timeline.after(CALL_TIMEOUT_MS, () =>
      end({ type: AttemptResultType.Cancelled, reason: 'deadline' }),
    );
    this.enqueue(chosen, route, end);
  }

  private enqueue(server: ModelServer, route: string, end: (result: AttemptResult) => void): void {
    const start = () => {
      server.running += 1;
      this.timeline.after(this.workMs(server, route), () => {
        server.running = Math.max(0, server.running - 1);
        server.queue.shift()?.();
        const isLost =
          this.options.disturbance === Disturbance.LostAnswers && this.random.next() < LOST_SHARE;
        if (isLost) end({ type: AttemptResultType.Unknown, reason: 'lost' });
        else end(createAnswer({ statusCode: this.isFailure(server, route) ? 500 : 200 }));
      });
    };
    if (server.running < this.options.slots) start();
    else server.queue.push(start);
  }

  private isFaulty(server: ModelServer, route: string): boolean {
    const { onset, beginsAfterMs, loadPerServer, kind } = this.options.fault;
    if (!server.isNew || kind === FaultKind.None) return false;
    const load = () => {
      const fresh = this.servers.filter(({ isNew }) => isNew);
      return fresh.reduce((sum, { running }) => sum + running, 0) / fresh.length;
    };
    const shows: Record<FaultOnset, () => boolean> = {
      [FaultOnset.AtOnce]: () => true,
      [FaultOnset.Later]: () => this.timeline.nowMs >= beginsAfterMs,
      [FaultOnset.UnderLoad]: () => load() >= loadPerServer,
      [FaultOnset.OneRoute]: () => route === ROUTES[1],
    };
    return shows[onset]();
  }

  private isFailure(server: ModelServer, route: string): boolean {
    const { kind, failureShare } = this.options.fault;
    const faulty = kind === FaultKind.Failures && this.isFaulty(server, route);
    return faulty && this.random.next() < failureShare;
  }

  private workMs(server: ModelServer, route: string): number {
    const { nowMs } = this.timeline;
    const { workMs, fault } = this.options;
    const spread = 1 + (this.random.next() * 2 - 1) * WORK_SPREAD;
    const heavy = this.random.next() < HEAVY_SHARE ? HEAVY_FACTOR : 1;
    const cold = nowMs < server.coldUntilMs ? COLD_FACTOR : 1;
    const slow = nowMs < server.slowUntilMs ? SLOW_SERVER_FACTOR : 1;
    const isBad = fault.kind === FaultKind.Slow && this.isFaulty(server, route);
    return workMs * spread * heavy * cold * slow * (isBad ? fault.slowFactor : 1);
  }

  /** Disturbs a server of each version. */
  private disturb(): void {
    const { nowMs } = this.timeline;
    const { disturbance, servers } = this.options;
    [0, servers].forEach((offset) => {
      const server = this.servers[offset + Math.floor(this.random.next() * servers)]!;
      if (disturbance === Disturbance.SlowServers) server.slowUntilMs = nowMs + DISTURBANCE_MS;
      if (disturbance !== Disturbance.Crashes) return;
      server.downUntilMs = nowMs + DISTURBANCE_MS;
      server.coldUntilMs = server.downUntilMs + COLD_MS;
      server.view.coldUntilMs = server.coldUntilMs;
      server.running = 0;
      server.queue.length = 0;
      [...server.ends].forEach((end) => end({ type: AttemptResultType.Unknown, reason: 'crash' }));
    });
  }
}

/**
 * Runs one rollout in virtual time.
 *
 * @example
 * (await runRolloutTrial(options)).state; // 'completed'
 */
export function runRolloutTrial(options: RolloutTrialOptions): Promise<RolloutTrialResult> {
  return new RolloutTrial(options).run();
}
