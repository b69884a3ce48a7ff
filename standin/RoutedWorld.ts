import { setImmediate as nextTurn } from 'node:timers/promises';
import { Timeline } from '../fuzz/Timeline.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createRoute, createService } from '../src/common/routing/fixtures.js';
import { RouteKind } from '../src/common/routing/Types.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import {
  DispatchOutcomeType,
  type DispatchOutcome,
  type PeerSenderOptions,
  type PickPolicy,
  type SendAttempt,
} from '../src/gateway/DispatchTypes.js';
import { createAnswer, createEntryHost, createHealth } from '../src/gateway/fixtures.js';
import {
  AttemptResultType,
  LimitReadingType,
  type AttemptResult,
  type Call,
  ProbeMiss,
  type ProbeResult,
} from '../src/gateway/Types.js';
import { ConnectResult } from '../src/gateway/ReachMonitor.js';
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

/** How the links of a gateway that is cut off from the backend servers behave. */
export enum CutForm {
  /** Nothing is answered on open and new connections. */
  Silent = 'silent',
  /** Open connections are reset and new ones refused. */
  Refused = 'refused',
  /** Open connections live on and new ones are refused. */
  Live = 'live',
}

/** Gateways that are cut off from all backend servers for a time. */
export interface CutTrouble {
  /** The first gateways are cut off. */
  readonly gateways: number;
  readonly form: CutForm;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** First tries of callers from three seconds after the begin of a cut until its end. */
export interface FirstTries {
  readonly tries: number;
  readonly served: number;
}

/** Kind of calls with a priority of its own. */
export interface CallClass {
  readonly priority: number;
  /** Part of all calls. */
  readonly share: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
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
  /** Kinds of calls; by default all are alike. */
  readonly classes?: readonly CallClass[];
  /** Probe budget of each backend server; undefined for none. */
  readonly probesPerServerPerSecond?: number;
  /** True to schedule calls by urgency when capacity is short. */
  readonly overload?: boolean;
  readonly limit?: LimitTrouble;
  readonly restarts?: RestartTrouble;
  readonly cut?: CutTrouble;
  /** Share of calls that may not run twice; 0 by default. */
  readonly nonIdempotentShare?: number;
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
  /** Share of the attempts that a backend server rejected as not run. */
  readonly rejectedShare: number;
  /** Most probes that one backend server received within one second, by the clock's seconds. */
  readonly serverProbesMax: number;
  /** Mean number of probes per backend server in the busiest second. */
  readonly meanProbesMax: number;
  /** Share of the calls of each priority that were answered within the objective. */
  readonly withinByPriority: Readonly<Record<number, number>>;
}

const MS_PER_SECOND = 1_000;

const PEER_PORT = 7_002;

/** Longest wait of a gateway for the answer to a probe. */
const PROBE_TIMEOUT_MS = 60;

/** Time after the deadline of an attempt at which its connection is closed. */
const ATTEMPT_GRACE_MS = 200;

/** Time after the begin of a cut from which first tries count. */
const CONTACT_MS = 3_000;

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

  /** Number of the last list of gateways, and of the last one that each gateway received. */
  private lists = 0;

  private readonly received = new Map<SimulatedGateway, number>();

  /** Ids of the gateways that are cut off. */
  private readonly cutIds = new Set<string>();

  /** Pairs of gateway and backend server with an open connection. */
  private readonly connected = new Set<string>();

  private readonly firstTries = {
    cut: { tries: 0, served: 0 },
    others: { tries: 0, served: 0 },
  };

  /** Number of runs of each call, and the largest allowed one. */
  private readonly runs = new Map<string, { count: number; allowed: number }>();

  private readonly latencies = new Percentiles();

  private readonly counts = { calls: 0, within: 0, late: 0, refused: 0, failed: 0 };

  private probes = 0;

  private attempts = 0;

  private rejected = 0;

  /** Probes by second and backend server. */
  private readonly probesBySecond = new Map<number, Map<string, number>>();

  private readonly byPriority = new Map<number, { calls: number; within: number }>();

  constructor(private readonly options: RoutedWorldOptions) {
    this.random = createRandom(options.seed);
    this.backends = Array.from(
      { length: options.backends },
      () => new SimulatedBackend({ ...options, timeline: this.timeline, random: this.random }),
    );
    for (let index = 0; index < options.gateways; index += 1) this.startGateway(`e-${index}`);
    if (options.limit) this.scheduleLimit(options.limit);
    if (options.restarts) this.scheduleRestarts(options.restarts);
    if (options.cut) this.scheduleCut(options.cut);
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

  /** First tries at the gateways that were cut off. */
  get cutTries(): FirstTries {
    return this.firstTries.cut;
  }

  /** First tries at the other gateways in the same time. */
  get otherTries(): FirstTries {
    return this.firstTries.others;
  }

  /** Calls that ran more often than they may. */
  get repeatedCalls(): string[] {
    return [...this.runs].filter(([, { count, allowed }]) => count > allowed).map(([id]) => id);
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
      rejectedShare: this.rejected / Math.max(1, this.attempts),
      ...this.probePeaks(),
      withinByPriority: Object.fromEntries(
        [...this.byPriority]
          .sort(([a], [b]) => a - b)
          .map(([key, seen]) => [key, seen.within / seen.calls]),
      ),
    };
  }

  private probePeaks(): Pick<RoutedWorldResult, 'serverProbesMax' | 'meanProbesMax'> {
    const seconds = [...this.probesBySecond.values()].map((byServer) => [...byServer.values()]);
    const sums = seconds.map((counts) => counts.reduce((sum, count) => sum + count, 0));
    return {
      serverProbesMax: Math.max(0, ...seconds.flat()),
      meanProbesMax: Math.max(0, ...sums) / this.options.backends,
    };
  }

  private startGateway(id: string): void {
    const { policy, seed, backends } = this.options;
    const gateway = new SimulatedGateway({
      id,
      seed: seed + this.starts,
      policy,
      probesPerServerPerSecond: this.options.probesPerServerPerSecond,
      overload: this.options.overload,
      timeline: this.timeline,
      backends,
      probe: (from, view) => this.probe(from, view),
      broadcast: (from, report) => this.relay(from, report),
      tryConnect: (from, view, timeoutMs) => this.tryConnect(from, view, timeoutMs),
      onReachChanged: () => this.publishEntryHosts(),
    });
    this.starts += 1;
    this.gateways.set(id, gateway);
    this.publishEntryHosts();
  }

  /** Sends the list of gateways to each of them, with a delay of its own. */
  private publishEntryHosts(): void {
    const entryHosts = [...this.gateways.values()].map(({ id, reach }) => ({
      ...createEntryHost(id),
      peerPort: PEER_PORT,
      cutOff: reach.isCut,
    }));
    this.gateways.forEach((gateway) => {
      const delayMs = this.random.next() * (this.options.listDelayMaxMs ?? 0);
      // Lists arrive in order, as over one connection.
      this.lists += 1;
      const list = this.lists;
      this.timeline.after(delayMs, () => {
        if ((this.received.get(gateway) ?? 0) > list) return;
        this.received.set(gateway, list);
        gateway.setEntryHosts(entryHosts);
      });
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

  private scheduleCut({ gateways, fromMs, untilMs }: CutTrouble): void {
    this.timeline.after(fromMs, () => {
      [...this.gateways.keys()].slice(0, gateways).forEach((id) => this.cutIds.add(id));
    });
    this.timeline.after(untilMs, () => this.cutIds.clear());
  }

  /** How a request of a gateway to a backend server fails; undefined if it arrives. */
  private failureOf(gateway: SimulatedGateway, view: BackendView): CutForm | undefined {
    const { cut } = this.options;
    if (!cut || !this.cutIds.has(gateway.id)) return undefined;
    const isOpen = this.connected.has(`${gateway.id} ${view.record.id}`);
    return cut.form === CutForm.Live && isOpen ? undefined : cut.form;
  }

  /** Records a request that reaches its backend server, over a new connection if there is none. */
  private noteConnection(gateway: SimulatedGateway, view: BackendView): void {
    const pair = `${gateway.id} ${view.record.id}`;
    if (this.connected.has(pair)) return;
    this.connected.add(pair);
    gateway.reach.noteConnected();
  }

  private tryConnect(
    gateway: SimulatedGateway,
    view: BackendView,
    timeoutMs: number,
  ): Promise<ConnectResult> {
    const isCut = this.cutIds.has(gateway.id);
    const isSilent = isCut && this.options.cut!.form === CutForm.Silent;
    const failure = isSilent ? ConnectResult.TimedOut : ConnectResult.Refused;
    return new Promise((resolve) => {
      this.timeline.after(isSilent ? timeoutMs : 2 * HOP_MS, () =>
        resolve(isCut ? failure : ConnectResult.Connected),
      );
    });
  }

  private probe(gateway: SimulatedGateway, view: BackendView): Promise<ProbeResult> {
    this.probes += 1;
    const second = Math.floor(this.timeline.nowMs / MS_PER_SECOND);
    const counts = this.probesBySecond.get(second) ?? new Map<string, number>();
    counts.set(view.record.id, (counts.get(view.record.id) ?? 0) + 1);
    this.probesBySecond.set(second, counts);
    const failure = this.failureOf(gateway, view);
    const sentAtMs = this.timeline.nowMs;
    return new Promise((resolve) => {
      if (failure) {
        const delayMs = failure === CutForm.Silent ? PROBE_TIMEOUT_MS : 2 * HOP_MS;
        this.timeline.after(delayMs, () => {
          gateway.reach.noteFailed(view);
          resolve(failure === CutForm.Silent ? ProbeMiss.Late : ProbeMiss.Failed);
        });
        return;
      }
      const backend = this.noteRequest(gateway, view);
      this.noteConnection(gateway, view);
      this.timeline.after(2 * HOP_MS, () => {
        this.deliverLimit(gateway, view, sentAtMs, false);
        gateway.reach.noteAnswered(view);
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

  private sendFrom(gateway: SimulatedGateway, callId: string): SendAttempt {
    return (view, remainingMs) => {
      this.attempts += 1;
      const failure = this.failureOf(gateway, view);
      if (failure) return this.sendInVain(gateway, view, failure, remainingMs);
      const backend = this.noteRequest(gateway, view);
      this.noteConnection(gateway, view);
      const sentAtMs = this.timeline.nowMs;
      let cancel = () => {};
      const result = new Promise<AttemptResult>((resolve) => {
        this.timeline.after(HOP_MS, () => {
          cancel = backend.run((completed, load) => {
            if (completed) this.runs.get(callId)!.count += 1;
            else this.rejected += 1;
            this.timeline.after(HOP_MS, () => {
              this.deliverLimit(gateway, view, sentAtMs, completed);
              resolve(
                completed
                  ? createAnswer({ load, body: Buffer.alloc(0) })
                  : { type: AttemptResultType.NotRun, reason: 'full', load },
              );
            });
          });
        });
      });
      return { result, cancel: () => cancel() };
    };
  }

  /** Sends an attempt over a link that is cut. */
  private sendInVain(
    gateway: SimulatedGateway,
    view: BackendView,
    form: CutForm,
    remainingMs: number,
  ): ReturnType<SendAttempt> {
    const isSilent = form === CutForm.Silent;
    const isOpen = this.connected.has(`${gateway.id} ${view.record.id}`);
    const result = new Promise<AttemptResult>((resolve) => {
      this.timeline.after(isSilent ? remainingMs + ATTEMPT_GRACE_MS : 2 * HOP_MS, () => {
        if (isOpen) resolve({ type: AttemptResultType.Unknown, reason: 'cut' });
        else {
          gateway.reach.noteFailed(view);
          resolve({ type: AttemptResultType.NotSent, reason: 'cut' });
        }
      });
    });
    return { result, cancel: () => {} };
  }

  /** Forwards a call to another gateway, which dispatches it to backend servers. */
  private forwardTo(call: Call, { attemptsMax, isCounted }: PeerSenderOptions): SendAttempt {
    return (view) => {
      const peer = this.gateways.get(view.record.id);
      let abandon = () => {};
      const result = new Promise<AttemptResult>((resolve) => {
        this.timeline.after(HOP_MS, () => {
          if (!peer) {
            resolve({ type: AttemptResultType.NotSent, reason: 'gone' });
            return;
          }
          const route = { ...call.route, attemptsMax };
          const send = this.sendFrom(peer, call.callId);
          peer.local
            .run({ ...call, route, isCounted }, createService('alpha'), send, (leave) => {
              abandon = leave;
            })
            .then(
              (outcome) =>
                this.timeline.after(HOP_MS, () => resolve(RoutedWorld.toAttemptResult(outcome))),
              (error: unknown) =>
                resolve({ type: AttemptResultType.Unknown, reason: String(error) }),
            );
        });
      });
      return { result, cancel: () => abandon() };
    };
  }

  /** Result of a forwarded call as the forwarding gateway receives it. */
  private static toAttemptResult(outcome: DispatchOutcome): AttemptResult {
    switch (outcome.type) {
      case DispatchOutcomeType.Answer:
        return { type: AttemptResultType.Answer, answer: outcome.answer };
      case DispatchOutcomeType.Refused:
        return outcome.attempts === 0
          ? { type: AttemptResultType.NotRun, reason: outcome.reason }
          : createAnswer({ statusCode: 503 });
      default:
        return createAnswer({ statusCode: 502 });
    }
  }

  private call(): void {
    const { nonIdempotentShare = 0 } = this.options;
    const { objectiveMs, deadlineMs, priority } = this.drawClass();
    const { nowMs } = this.timeline;
    const isRepeatable = this.random.next() >= nonIdempotentShare;
    const kind = isRepeatable ? RouteKind.Idempotent : RouteKind.NonIdempotent;
    const route = createRoute('read', { objectiveMs, timeoutMs: deadlineMs, kind, priority });
    this.counts.calls += 1;
    const callId = `call-${this.counts.calls}`;
    this.runs.set(callId, { count: 0, allowed: isRepeatable ? route.attemptsMax : 1 });
    const call: Call = {
      callId,
      route,
      service: 'alpha',
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + deadlineMs,
      objectiveAtMs: nowMs + objectiveMs,
      fingerprint: () => '',
      isCallerConnected: () => true,
    };
    const gateways = [...this.gateways.values()];
    const gateway = gateways[pickIndex(this.random, gateways.length)]!;
    const senders = {
      send: this.sendFrom(gateway, callId),
      createPeerSender: (options: PeerSenderOptions) => this.forwardTo(call, options),
    };
    gateway.dispatcher
      .run(call, createService('alpha'), senders, () => {})
      .then(
        (outcome) => this.recordOutcome(gateway.id, outcome, call),
        () => this.recordOutcome(gateway.id, undefined, call),
      );
  }

  /** Draws the kind of a call; takes no random number without kinds, so that seeds keep their runs. */
  private drawClass(): Omit<CallClass, 'share'> {
    const { classes, objectiveMs, deadlineMs } = this.options;
    if (!classes) return { objectiveMs, deadlineMs, priority: 1 };
    let left = this.random.next();
    return (
      classes.find(({ share }) => {
        left -= share;
        return left < 0;
      }) ?? classes.at(-1)!
    );
  }

  private recordOutcome(
    gatewayId: string,
    outcome: DispatchOutcome | undefined,
    { arrivedAtMs, objectiveAtMs, route }: Call,
  ): void {
    const elapsedMs = this.timeline.nowMs - arrivedAtMs;
    const isServed =
      outcome?.type === DispatchOutcomeType.Answer && outcome.answer.statusCode === 200;
    this.recordFirstTry(gatewayId, arrivedAtMs, isServed);
    const seen = this.byPriority.get(route.priority) ?? { calls: 0, within: 0 };
    this.byPriority.set(route.priority, seen);
    seen.calls += 1;
    if (isServed) {
      this.latencies.add(elapsedMs);
      if (this.timeline.nowMs <= objectiveAtMs) {
        this.counts.within += 1;
        seen.within += 1;
      } else this.counts.late += 1;
    } else if (outcome?.type === DispatchOutcomeType.Refused) this.counts.refused += 1;
    else this.counts.failed += 1;
  }

  private recordFirstTry(gatewayId: string, arrivedAtMs: number, isServed: boolean): void {
    const { cut } = this.options;
    if (!cut || arrivedAtMs < cut.fromMs + CONTACT_MS || arrivedAtMs >= cut.untilMs) return;
    const isCut = Number(gatewayId.slice(2)) < cut.gateways;
    const counted = isCut ? this.firstTries.cut : this.firstTries.others;
    counted.tries += 1;
    if (isServed) counted.served += 1;
  }
}
