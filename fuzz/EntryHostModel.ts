import type { Outcome } from '../src/common/Enums.js';
import type { EgretError } from '../src/common/Errors.js';
import type { EntryToControlMessage } from '../src/common/Messages.js';
import type { EntryHost } from '../src/common/Placement.js';
import type { RandomSource } from '../src/common/Random.js';
import { EntryReducer } from '../src/entry/EntryReducer.js';
import type { PeerMessage } from '../src/entry/PeerMessages.js';
import {
  AttemptResult,
  EntryEffectType,
  EntryEventType,
  TargetKind,
  type Announcement,
  type AnnouncementAnswer,
  type ArrivedCall,
  type EntryEffect,
  type EntryEvent,
  type PoolStatus,
  type StartAttemptEffect,
} from '../src/entry/Types.js';
import { RunEnd, type BackendHost } from './BackendHost.js';
import type { Network } from './Network.js';
import type { Timeline } from './Timeline.js';

/** Call of a caller, or of a peer, at one entry host. */
export interface ModelCall {
  readonly requestId: string;
  readonly key: string | null;
  readonly crashesBackend: boolean;
  readonly method: string;
  readonly service: string;
  readonly callerId: string;
  readonly forwarded: boolean;
  readonly timeoutMs: number | null;
  /** Called once with the result that the caller receives. */
  readonly onResult: (result: ModelResult) => void;
}

/** Result of a call as its sender receives it. */
export interface ModelResult {
  readonly outcome: Outcome | null;
  readonly statusCode: number;
  readonly answerOf: string | null;
  readonly complete: boolean;
  readonly endedCleanly: boolean;
  readonly error: EgretError | null;
}

/** Open call with the attempt whose answer is relayed. */
interface OpenCall {
  readonly call: ModelCall;
  answeringId: number | null;
  answerOf: string | null;
  done: boolean;
  readonly cancels: Map<number, () => void>;
}

/** End of an attempt. */
interface EndedAttempt {
  readonly callId: number;
  readonly attemptId: number;
  readonly result: AttemptResult;
  readonly statusCode: number;
  readonly peerRefusal: EgretError | null;
  /** Reported by a peer with its refusal. */
  readonly peerStatus: PoolStatus | null;
}

/** Idle connections to one process of a backend server. */
interface IdleConnections {
  readonly incarnation: number;
  count: number;
}

/** Options of an {@link EntryHostModel}. */
export interface EntryHostModelOptions {
  readonly id: string;
  readonly zone: string;
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly network: Network;
  readonly clockRate: number;
  readonly controlIds: readonly string[];
  readonly findBackend: (id: string) => BackendHost | undefined;
  readonly findEntry: (id: string) => EntryHostModel | undefined;
  readonly sendControl: (controlId: string, message: EntryToControlMessage) => void;
  readonly sendPeer: (peerId: string, message: PeerMessage) => void;
  /** Observes the revision under which a call is admitted. */
  readonly onAdmitted: (entryBoot: string, revision: number) => void;
  readonly onApplied: (entryBoot: string, revision: number) => void;
  /** Planted defect of the simulated server: a truncated answer ends like a complete one. */
  readonly endsTruncatedCleanly: boolean;
}

type EffectOf<T extends EntryEffectType> = Extract<EntryEffect, { type: T }>;
type Untimed<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

const TICK_MS = 5;
const PORT = 1;

/** Time for which a stopping host serves the callers that still know its address. */
const STOP_LINGER_MS = 800;

/** Time after which a planned stop ends with calls in progress. */
const STOP_LIMIT_MS = 2_000;

/** Time after which a cancelled attempt ends without a report of its target. */
const CANCEL_TIMEOUT_MS = 500;
const OK = 200;
const SERVER_ERROR = 500;

const RESULTS: Record<RunEnd, AttemptResult> = {
  [RunEnd.Answered]: AttemptResult.Completed,
  [RunEnd.Failed]: AttemptResult.Completed,
  [RunEnd.Shed]: AttemptResult.Shed,
  [RunEnd.Reset]: AttemptResult.Reset,
  [RunEnd.Truncated]: AttemptResult.Truncated,
};

/** Reports the result of a call, unless it was reported before. */
function finish(
  item: OpenCall,
  error: EgretError | null,
  complete: boolean,
  endedCleanly: boolean,
  statusCode = 200,
): void {
  if (item.done) return;
  item.done = true;
  item.call.onResult({
    outcome: error?.outcome ?? null,
    statusCode: error?.statusCode ?? statusCode,
    answerOf: item.answerOf,
    complete,
    endedCleanly,
    error,
  });
}

/** Entry reducer with a simulated server around it. */
export class EntryHostModel {
  reducer!: EntryReducer;

  alive = false;

  /** True from the start of a planned stop to the next start. */
  private stopping = false;

  boot = 0;

  readonly self: EntryHost;

  private readonly calls = new Map<number, OpenCall>();

  private readonly announcementCallbacks = new Map<
    number,
    (answer: AnnouncementAnswer | null) => void
  >();

  /** Idle connections by backend id, until this host detects that they were closed. */
  private readonly idleConnections = new Map<string, IdleConnections>();

  private nextId = 1;

  constructor(readonly options: EntryHostModelOptions) {
    const { id, zone } = options;
    this.self = {
      id,
      address: id,
      port: PORT,
      peerPort: PORT,
      adminAddress: id,
      adminPort: PORT,
      availabilityZone: zone,
      stopping: false,
    };
    this.start();
  }

  get bootName(): string {
    return `${this.options.id}/${this.boot}`;
  }

  start(): void {
    this.boot += 1;
    this.alive = true;
    this.stopping = false;
    this.calls.clear();
    this.idleConnections.clear();
    this.announcementCallbacks.clear();
    this.reducer = new EntryReducer({
      self: this.self,
      random: this.options.random,
      bootId: String(this.boot),
    });
    this.options.controlIds.forEach((controlHostId) =>
      this.handle({ type: EntryEventType.ControlConnected, controlHostId }),
    );
    this.tick(this.boot);
  }

  /** True unless the host is down or stopping. */
  get serving(): boolean {
    return this.alive && !this.stopping;
  }

  /** Starts a planned stop; the process ends after its calls, at the latest after a time limit. */
  stop(): void {
    if (!this.serving) return;
    const { timeline } = this.options;
    this.stopping = true;
    this.handle({ type: EntryEventType.Stop });
    const { boot } = this;
    const untilMs = timeline.nowMs + STOP_LIMIT_MS;
    const endIfDone = () => {
      if (boot !== this.boot || !this.alive) return;
      const { calls, unsettledClaims } = this.reducer.status();
      const done = calls === 0 && unsettledClaims === 0;
      if (done || timeline.nowMs >= untilMs) this.crash();
      else timeline.after(TICK_MS, endIfDone);
    };
    timeline.after(STOP_LINGER_MS, endIfDone);
  }

  /** Stops at once: connections of callers break, and those to backend servers are closed. */
  crash(): void {
    if (!this.alive) return;
    this.alive = false;
    const open = [...this.calls.values()];
    this.calls.clear();
    open.forEach((item) => {
      item.cancels.forEach((cancel) => this.options.network.exchange(cancel));
      finish(item, null, false, false);
    });
  }

  handle(event: Untimed<EntryEvent>): void {
    if (!this.alive) return;
    if (event.type === EntryEventType.TargetClosed) this.idleConnections.delete(event.targetId);
    const nowMs = this.options.timeline.nowMs * this.options.clockRate;
    const effects = this.reducer.reduce({ ...event, nowMs } as EntryEvent);
    this.options.onApplied(this.bootName, this.reducer.settings.revision);
    effects.forEach((effect) => {
      const handler = this.effectHandlers[effect.type] as (received: EntryEffect) => void;
      handler(effect);
    });
  }

  /** Receives a call. */
  receive(call: ModelCall): void {
    const callId = this.nextId;
    this.nextId += 1;
    const cancels = new Map<number, () => void>();
    this.calls.set(callId, { call, answeringId: null, answerOf: null, done: false, cancels });
    const arrived: ArrivedCall = {
      callId,
      service: call.service,
      method: call.method,
      idempotencyKey: call.key,
      fingerprint: call.crashesBackend ? 'GET /killer' : (call.key ?? `GET /${call.requestId}`),
      timeoutMs: call.timeoutMs,
      callerId: call.callerId,
      forwarded: call.forwarded,
      replayable: true,
    };
    this.handle({ type: EntryEventType.CallArrived, call: arrived });
  }

  announce(
    announcement: Announcement,
    tokenHash: string,
    onAnswer: (answer: AnnouncementAnswer | null) => void,
  ): void {
    const requestId = this.nextId;
    this.nextId += 1;
    this.announcementCallbacks.set(requestId, onAnswer);
    this.handle({ type: EntryEventType.Announcement, requestId, announcement, tokenHash });
  }

  private poolStatus(service: string): PoolStatus | null {
    const nowMs = this.options.timeline.nowMs * this.options.clockRate;
    return this.reducer.pools.get(service)?.status(nowMs) ?? null;
  }

  private tick(boot: number): void {
    if (boot !== this.boot || !this.alive) return;
    this.handle({ type: EntryEventType.Tick });
    this.options.timeline.after(TICK_MS, () => this.tick(boot));
  }

  private startAttempt(effect: StartAttemptEffect): void {
    const { callId, attemptId, target } = effect;
    const item = this.calls.get(callId);
    if (!item) return;
    const { boot } = this;
    const { network, timeline } = this.options;
    let ended = false;
    const end = (
      result: AttemptResult,
      statusCode = OK,
      peerRefusal: EgretError | null = null,
      peerStatus: PoolStatus | null = null,
    ) => {
      if (ended || boot !== this.boot || !this.alive) return;
      ended = true;
      item.cancels.delete(attemptId);
      const endedAttempt = { callId, attemptId, result, statusCode, peerRefusal, peerStatus };
      this.onAttemptEnded(item, endedAttempt);
    };
    if (target.kind === TargetKind.Backend) {
      this.sendToBackend(item, effect, end);
    } else this.sendToPeer(item, effect, end);
    const cancelTarget = item.cancels.get(attemptId);
    item.cancels.set(attemptId, () => {
      network.exchange(() => cancelTarget?.());
      timeline.after(CANCEL_TIMEOUT_MS, () => end(AttemptResult.Cancelled));
    });
  }

  private sendToBackend(
    item: OpenCall,
    effect: StartAttemptEffect,
    end: (result: AttemptResult, statusCode?: number) => void,
  ): void {
    const { network } = this.options;
    const { callId, attemptId, target } = effect;
    const connectedTo = this.takeConnection(target.id);
    let cancelled = false;
    let cancelRun: (() => void) | undefined;
    item.cancels.set(attemptId, () => {
      cancelled = true;
      if (cancelRun) cancelRun();
      network.exchange(() => end(AttemptResult.Cancelled));
    });
    network.exchange(() => {
      const backend = this.options.findBackend(target.id);
      const connected = backend?.alive && (connectedTo ?? backend.incarnation);
      if (!backend || connected !== backend.incarnation) {
        // A connection ends with the process that accepted it.
        const result = connectedTo === null ? AttemptResult.NotSent : AttemptResult.Reset;
        network.exchange(() => end(result));
        return;
      }
      if (cancelled) return;
      const { incarnation } = backend;
      const { requestId, key, crashesBackend } = item.call;
      cancelRun = backend.receive({
        requestId,
        key,
        crashesBackend,
        onEnd: (runEnd) =>
          network.exchange(() => {
            const hasHeaders = runEnd !== RunEnd.Shed && runEnd !== RunEnd.Reset;
            const statusCode = runEnd === RunEnd.Failed ? SERVER_ERROR : OK;
            const kept = runEnd !== RunEnd.Reset && runEnd !== RunEnd.Truncated;
            if (kept && !cancelled) this.returnConnection(target.id, incarnation);
            if (hasHeaders && !cancelled) {
              item.answerOf ??= requestId;
              this.handle({ type: EntryEventType.AttemptHeaders, callId, attemptId });
            }
            end(cancelled ? AttemptResult.Cancelled : RESULTS[runEnd], statusCode);
          }),
      });
    });
  }

  /** Takes an idle connection and returns its incarnation; null if a new one has to be opened. */
  private takeConnection(backendId: string): number | null {
    const idle = this.idleConnections.get(backendId);
    if (!idle || idle.count === 0) return null;
    idle.count -= 1;
    return idle.incarnation;
  }

  private returnConnection(backendId: string, incarnation: number): void {
    const idle = this.idleConnections.get(backendId);
    if (idle?.incarnation === incarnation) idle.count += 1;
    else this.idleConnections.set(backendId, { incarnation, count: 1 });
  }

  private sendToPeer(
    item: OpenCall,
    effect: StartAttemptEffect,
    end: (
      result: AttemptResult,
      statusCode?: number,
      peerRefusal?: EgretError | null,
      peerStatus?: PoolStatus | null,
    ) => void,
  ): void {
    const { network } = this.options;
    const { callId, attemptId, target } = effect;
    network.exchange(() => {
      const peer = this.options.findEntry(target.id);
      const reachable = peer?.alive && network.isConnected(this.options.id, target.id);
      if (!peer || !reachable) {
        network.exchange(() => {
          this.handle({ type: EntryEventType.PeerUnreachable, peerId: target.id });
          end(AttemptResult.NotSent);
        });
        return;
      }
      peer.receive({
        ...item.call,
        forwarded: true,
        timeoutMs: effect.timeoutMs,
        onResult: (result) => {
          const status = peer.poolStatus(item.call.service);
          network.exchange(() => {
            const notRun = result.outcome === 'not-run' && result.statusCode === 503;
            if (notRun) {
              end(AttemptResult.Shed, result.statusCode, result.error, status);
              return;
            }
            if (result.complete || result.answerOf !== null) {
              item.answerOf ??= result.answerOf;
              this.handle({ type: EntryEventType.AttemptHeaders, callId, attemptId });
              // A refusal by the peer itself is relayed unchanged.
              if (result.error) finish(item, result.error, true, true);
            }
            if (result.complete) end(AttemptResult.Completed);
            else end(result.answerOf ? AttemptResult.Truncated : AttemptResult.Reset);
          });
        },
      });
    });
  }

  private onAttemptEnded(item: OpenCall, ended: EndedAttempt): void {
    const { attemptId, result, statusCode } = ended;
    const answering = item.answeringId === attemptId;
    const completed = result === AttemptResult.Completed;
    if (answering && completed) finish(item, null, true, true, statusCode);
    if (answering && result === AttemptResult.Truncated && this.options.endsTruncatedCleanly) {
      finish(item, null, false, true);
    }
    const answer =
      completed && item.call.key !== null
        ? { statusCode: 201, rawHeaders: [], body: Buffer.from(item.call.requestId) }
        : null;
    const type = EntryEventType.AttemptEnded;
    this.handle({ type, ...ended, answer, resume: null });
  }

  private readonly effectHandlers = {
    [EntryEffectType.SendControl]: (effect: EffectOf<EntryEffectType.SendControl>) =>
      this.options.sendControl(effect.controlHostId, effect.message),
    [EntryEffectType.SendPeer]: (effect: EffectOf<EntryEffectType.SendPeer>) =>
      this.options.sendPeer(effect.peer.id, effect.message),
    [EntryEffectType.SyncControlHosts]: () => {},
    [EntryEffectType.AnswerAnnouncement]: (
      effect: EffectOf<EntryEffectType.AnswerAnnouncement>,
    ) => {
      this.announcementCallbacks.get(effect.requestId)?.(effect.answer);
      this.announcementCallbacks.delete(effect.requestId);
    },
    [EntryEffectType.AnswerDirectory]: () => {},
    [EntryEffectType.StartAttempt]: (effect: StartAttemptEffect) => {
      const current = this.reducer.settings.revision;
      this.options.onAdmitted(this.bootName, current);
      this.startAttempt(effect);
    },
    [EntryEffectType.CancelAttempt]: (effect: EffectOf<EntryEffectType.CancelAttempt>) =>
      this.calls.get(effect.callId)?.cancels.get(effect.attemptId)?.(),
    [EntryEffectType.UseAnswer]: (effect: EffectOf<EntryEffectType.UseAnswer>) => {
      const item = this.calls.get(effect.callId);
      if (item) item.answeringId = effect.attemptId;
    },
    [EntryEffectType.RefuseCall]: (effect: EffectOf<EntryEffectType.RefuseCall>) => {
      const item = this.calls.get(effect.callId);
      if (item) finish(item, effect.error, true, true);
    },
    [EntryEffectType.ReplayCall]: (effect: EffectOf<EntryEffectType.ReplayCall>) => {
      const item = this.calls.get(effect.callId);
      if (item) finish(item, null, true, true, effect.answer.statusCode);
    },
    [EntryEffectType.AbortAnswer]: (effect: EffectOf<EntryEffectType.AbortAnswer>) => {
      const item = this.calls.get(effect.callId);
      if (item) finish(item, null, false, false);
    },
    [EntryEffectType.CloseTarget]: () => {},
    [EntryEffectType.Log]: () => {},
    [EntryEffectType.Count]: () => {},
  };
}
