import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import type { LogEvent } from '../common/LogEvents.js';
import { ControlMessageType, type PongMessage } from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';
import { createRandom } from '../common/Random.js';
import { createRoute, createService } from '../common/routing/fixtures.js';
import type { Route, RoutedService } from '../common/routing/Types.js';
import { expectedFromKnown } from './admission/KnownLoad.js';
import type { ProbeAdmission } from './admission/ProbeAdmission.js';
import { BackendPicker } from './BackendPicker.js';
import { BackendPool } from './BackendPool.js';
import type { BackendView } from './BackendView.js';
import { ColdLimiter } from './ColdLimiter.js';
import { Dispatcher } from './Dispatcher.js';
import type { DecisionLog, DispatchOutcome } from './DispatchTypes.js';
import { RequestLimiter, type RequestLimiterOptions } from './RequestLimiter.js';
import { RetryBudget } from './RetryBudget.js';
import {
  AttemptResultType,
  LimitReadingType,
  NO_NOTICE,
  ProbeMiss,
  type AttemptResult,
  type BackendAnswer,
  type Call,
  type HealthReport,
  type ProbeResult,
} from './Types.js';
import { WorkEstimates } from './WorkEstimates.js';
import type { CrossingPrices } from './zones/CrossingDecision.js';

/** Creates the record of a ready backend server, for tests. */
export function createBackend(id: string, changes: Partial<BackendRecord> = {}): BackendRecord {
  return {
    id,
    service: 'alpha',
    address: '10.0.0.1',
    port: 1_000 + Number(id.replace(/\D/g, '') || 0),
    availabilityZone: 'perth',
    slots: 3,
    state: BackendState.Ready,
    bornMs: 1,
    sequence: 1,
    coldLeftMs: 0,
    ...changes,
  };
}

/** Creates an entry host, for tests. */
export function createEntryHost(id: string, availabilityZone = 'perth'): EntryHost {
  return {
    id,
    address: '10.1.0.1',
    port: 80,
    peerPort: 0,
    adminAddress: '10.1.0.1',
    adminPort: 81,
    availabilityZone,
    stopping: false,
  };
}

/** Creates an answer to a probe, for tests. */
export function createHealth(id: string, changes: Partial<HealthReport> = {}): HealthReport {
  return {
    healthy: true,
    backendId: id,
    coldLeftMs: undefined,
    load: { running: 0, waiting: 0, slots: 3, slowdown: 1 },
    limit: { type: LimitReadingType.Unknown },
    notice: NO_NOTICE,
    ...changes,
  };
}

/** Creates an answer to an attempt, for tests. */
export function createAnswer(changes: Partial<BackendAnswer> = {}): AttemptResult {
  return {
    type: AttemptResultType.Answer,
    answer: {
      statusCode: 200,
      statusMessage: 'OK',
      rawHeaders: [],
      authentic: true,
      load: undefined,
      body: Buffer.from('answer'),
      longBody: null,
      receivedBytes: 6,
      ...changes,
    },
  };
}

/** Creates a limiter whose reports go nowhere, for tests. */
export function createLimiter(changes: Partial<RequestLimiterOptions> = {}): RequestLimiter {
  return new RequestLimiter({
    selfId: 'entry-1',
    broadcast: () => {},
    isKnown: () => true,
    log: () => {},
    ...changes,
  });
}

/** Scripted result of an attempt at a simulated backend server, and the time until it. */
export interface ScriptedAttempt {
  readonly afterMs: number;
  readonly result: AttemptResult;
}

/** Options of {@link createDispatchWorld}. */
export interface DispatchWorldOptions {
  readonly backends: readonly BackendRecord[];
  /** Probe results by backend server; without an entry it is idle, with a miss not usable. */
  readonly health?: Readonly<Record<string, ProbeResult>>;
  /** Backend servers for which the request of an attempt can't be created. */
  readonly unsendableIds?: readonly string[];
  /** Results of the attempts in order; the last one repeats. */
  readonly attempts: readonly ScriptedAttempt[];
  readonly route?: Partial<Route>;
  readonly service?: Partial<RoutedService>;
  readonly budgetMs?: number;
  readonly retryRatio?: number;
  /** Whether the routing leads the call to its service at a time; always by default. */
  readonly isRouted?: (nowMs: number) => boolean;
  readonly selfId?: string;
  readonly entryHosts?: readonly EntryHost[];
  readonly zoneCrossing?: CrossingPrices;
  /** Last time at which a planned stop leaves enough time for the call; none by default. */
  readonly sendableUntilMs?: number;
  /** False for servers whose share of probes is used up; all may be probed by default. */
  readonly mayProbe?: (view: BackendView) => boolean;
}

/** Admission that lets some servers be probed, and else follows the last known loads. */
function createAdmission(
  mayProbe: (view: BackendView) => boolean,
  nowMs: () => number,
): Pick<ProbeAdmission, 'tryProbe' | 'noteProbed' | 'expectedMs'> {
  return {
    tryProbe: mayProbe,
    noteProbed: () => {},
    expectedMs: (view, workMs, fullFactor) =>
      expectedFromKnown({ view, workMs, nowMs: nowMs(), fullFactor, usualWork: 1 }),
  };
}

const PROBE_MS = 1;

const LATE_PROBE_MS = 60;

/** Creates the dispatch of one entry host with simulated backend servers, in virtual time. */
export function createDispatchWorld(options: DispatchWorldOptions) {
  let nowMs = 0;
  const timers: { atMs: number; fire: () => void }[] = [];
  const setTimer = (delayMs: number, fire: () => void) => {
    const timer = { atMs: nowMs + delayMs, fire };
    timers.push(timer);
    return () => {
      const index = timers.indexOf(timer);
      if (index >= 0) timers.splice(index, 1);
    };
  };
  const pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(7) });
  pool.apply(options.backends, nowMs);
  const cold = new ColdLimiter({ selfId: options.selfId ?? 'entry-1' });
  cold.setEntryHosts(options.entryHosts ?? [createEntryHost('entry-1')]);
  const limits = createLimiter({ selfId: options.selfId ?? 'entry-1' });
  limits.setEntryHosts(options.entryHosts ?? [createEntryHost('entry-1')]);
  const budget = new RetryBudget({
    ratio: options.retryRatio ?? 2,
    windowMs: 10_000,
    slack: 0,
    startedAtMs: 0,
  });
  const work = new WorkEstimates();
  const logged: { event: LogEvent; fields: Readonly<Record<string, unknown>> }[] = [];
  const log: DecisionLog = (event, fields) => logged.push({ event, fields });
  const probes: string[] = [];
  const lostConnections: string[] = [];
  const probe = (view: BackendView): Promise<ProbeResult> => {
    const { id } = view.record;
    probes.push(id);
    limits.noteSent(view, nowMs);
    const report = options.health?.[id];
    return new Promise((resolve) => {
      const delayMs = report === ProbeMiss.Late ? LATE_PROBE_MS : PROBE_MS;
      setTimer(delayMs, () => resolve(report ?? createHealth(id)));
    });
  };
  const { zoneCrossing, mayProbe } = options;
  const admission = mayProbe && createAdmission(mayProbe, () => nowMs);
  const picker = new BackendPicker({
    pool,
    cold,
    limits,
    work,
    probe,
    nowMs: () => nowMs,
    setTimer,
    log,
    zoneCrossing,
    admission,
  });
  const dispatcher = new Dispatcher({
    picker,
    cold,
    budget,
    work,
    crashes: {
      noteConnectionLost: (view) => lostConnections.push(view.record.id),
      noteCompleted: () => {},
    },
    nowMs: () => nowMs,
    setTimer,
    log,
  });
  const sent: string[] = [];
  const cancelled: string[] = [];
  let connected = true;
  let abandon = () => {};
  const route = createRoute('read', options.route);
  const createCall = (): Call => ({
    callId: 'call-1',
    route,
    service: 'alpha',
    arrivedAtMs: nowMs,
    dueAtMs: nowMs + (options.budgetMs ?? 1_200),
    objectiveAtMs: nowMs + route.objectiveMs,
    fingerprint: () => 'GET /read/x',
    isRouted: () => options.isRouted?.(nowMs) ?? true,
    isCallerConnected: () => connected,
    mayBeSent: () => nowMs <= (options.sendableUntilMs ?? Number.POSITIVE_INFINITY),
  });
  const send = (view: BackendView) => {
    if (options.unsendableIds?.includes(view.record.id)) throw new Error('invalid header');
    const { id } = view.record;
    const script = options.attempts[Math.min(sent.length, options.attempts.length - 1)]!;
    sent.push(id);
    limits.noteSent(view, nowMs);
    const result = new Promise<AttemptResult>((resolve) => {
      setTimer(script.afterMs, () => resolve(script.result));
    });
    return { result, cancel: () => cancelled.push(id) };
  };
  const flushMicrotasks = async () => {
    for (let turn = 0; turn < 20; turn += 1) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.resolve();
    }
  };
  /** Advances virtual time. */
  const advanceTo = async (untilMs: number): Promise<void> => {
    await flushMicrotasks();
    timers.sort((a, b) => a.atMs - b.atMs);
    const next = timers[0];
    if (!next || next.atMs > untilMs) {
      nowMs = untilMs;
      return;
    }
    timers.shift();
    nowMs = Math.max(nowMs, next.atMs);
    next.fire();
    await advanceTo(untilMs);
  };
  return {
    pool,
    cold,
    limits,
    budget,
    logged,
    probes,
    lostConnections,
    sent,
    cancelled,
    advanceTo,
    nowMs: () => nowMs,
    disconnectCaller: () => {
      connected = false;
      abandon();
    },
    /** Runs one call to its end; returns its outcome and the time at which it ended. */
    async run(untilMs = 3_000): Promise<{ outcome: DispatchOutcome; endedAtMs: number }> {
      let ended: { outcome: DispatchOutcome; endedAtMs: number } | undefined;
      dispatcher
        .run(createCall(), createService('alpha', options.service), send, (disconnect) => {
          abandon = disconnect;
        })
        .then(
          (outcome) => {
            ended = { outcome, endedAtMs: nowMs };
          },
          () => {},
        );
      await advanceTo(nowMs + untilMs);
      if (!ended) throw new Error('The call has not ended.');
      return ended;
    },
  };
}

/** Answer of a control host to a heartbeat; without changes, of a version that reports no routing. */
export function createPong(pingId: number, changes: Partial<PongMessage> = {}): PongMessage {
  return {
    type: ControlMessageType.Pong,
    pingId,
    newestSettingsIndex: 0,
    leaderId: null,
    membershipIndex: 1,
    voters: [],
    isVoter: true,
    ...changes,
  };
}
