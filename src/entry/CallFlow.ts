import { MAX_ATTEMPTS, MAX_CLOCK_DRIFT_RATIO } from '../common/Constants.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { parseKeyTimeMs } from '../common/IdempotencyKey.js';
import { ClaimOutcome, ClaimReplyVerdict, type ClaimReplyMessage } from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';
import { CallAnswers } from './CallAnswers.js';
import type { ClaimFlow } from './ClaimFlow.js';
import { AttemptOutcomes, finalError, isUnservedAtPeer } from './dispatch/AttemptOutcomes.js';
import { CallPhase, type Attempt, type CallRecord } from './dispatch/CallRecord.js';
import { chooseHedge } from './dispatch/Hedging.js';
import { Standing } from './dispatch/Quarantine.js';
import type { BackendRecord } from './dispatch/BackendRecord.js';
import type { ServicePool } from './dispatch/ServicePool.js';
import type { EntryContext } from './EntryContext.js';
import type { EntryRoster } from './EntryRoster.js';
import { PausedCalls } from './PausedCalls.js';
import type { PeerCapacity } from './PeerCapacity.js';
import type { Pools } from './Pools.js';
import type { SettingsView } from './SettingsView.js';
import { endsTooLate } from './StopTimes.js';
import {
  CounterName,
  EntryEffectType,
  TargetKind,
  type ArrivedCall,
  type AttemptEndedEvent,
  type AttemptTarget,
} from './Types.js';

/** Dependencies of a {@link CallFlow}. */
export interface CallFlowOptions {
  readonly context: EntryContext;
  readonly settings: SettingsView;
  readonly roster: EntryRoster;
  readonly pools: Pools;
  readonly capacity: PeerCapacity;
  readonly claims: ClaimFlow;
  /** True while the settings are known to be current, or stale ones are allowed. */
  readonly mayDispatch: () => boolean;
  readonly onReleasedAttemptEnded: (record: BackendRecord) => void;
  readonly onSuspicion: (call: CallRecord, attempt: Attempt, confirmed: boolean) => void;
}

/** Time reserved for returning the answer of a forwarded call. */
const FORWARD_MARGIN_MS = 50;

/** Attempts after which a call is no longer forwarded. */
const MAX_FORWARDS = 4;

/** Lease durations within which a lease has moved: the old one expires, the new one is verified. */
const LEASES_PER_MOVE = 2;

/** Claimed calls may run for this many timeouts of their service, to record their answers. */
const CLAIMED_GRACE_TIMEOUTS = 2;

/** Detail of a refusal because the call might outlast a planned stop. */
const STOPPING = 'The entry host is stopping; the call could end too late.';

/** Returns the error kind of a missing or malformed idempotency key; null for a valid one. */
function checkKey(key: string | null): ErrorKind | null {
  if (key === null) return ErrorKind.KeyRequired;
  return parseKeyTimeMs(key).isErr ? ErrorKind.KeyInvalid : null;
}

/** True if no backend server has the call now, and none may have run it. */
function isUnsent(record: CallRecord): boolean {
  const waits = record.phase === CallPhase.Queued || record.phase === CallPhase.Claiming;
  return waits && record.attempts.size === 0 && !record.mayHaveRun && record.answeringId === null;
}

/** Handles every call at this entry host, from its arrival to the end of its last attempt. */
export class CallFlow {
  private readonly calls = new Map<number, CallRecord>();

  private readonly paused = new PausedCalls();

  private readonly answers: CallAnswers;

  private nextAttemptId = 1;

  private readonly outcomes: AttemptOutcomes;

  constructor(private readonly options: CallFlowOptions) {
    this.answers = new CallAnswers({
      context: options.context,
      claims: options.claims,
      removeIfDone: (record) => this.removeIfDone(record),
    });
    this.outcomes = new AttemptOutcomes({
      context: options.context,
      onSuspicion: options.onSuspicion,
    });
  }

  /** Calls whose caller still waits, or whose attempts have not ended. */
  get size(): number {
    return this.calls.size;
  }

  /** Admits, forwards or refuses a call. */
  onCallArrived(call: ArrivedCall): void {
    const { context, settings, pools } = this.options;
    context.count(CounterName.Calls, call.service);
    const entry = settings.catalog.services.get(call.service);
    if (!entry) {
      this.answers.refuseOnArrival(call, ErrorKind.UnknownService, `No service ${call.service}.`);
      return;
    }
    if (!this.options.mayDispatch()) {
      this.answers.refuseOnArrival(call, ErrorKind.NotCurrent, 'The settings may be out of date.');
      return;
    }
    const pool = pools.getOrCreate(entry);
    const idempotent = (pool.settings.idempotentMethods as string[]).includes(call.method);
    const keyError = idempotent ? null : checkKey(call.idempotencyKey);
    if (keyError) {
      this.answers.refuseOnArrival(call, keyError, `Method ${call.method} is not idempotent.`);
      return;
    }
    const record = this.createRecord(call, pool, idempotent);
    if (endsTooLate(record.deadlineMs, context.answerByMs)) {
      this.answers.refuseOnArrival(call, ErrorKind.Stopping, STOPPING);
      return;
    }
    pool.retryBudget.deposit(pool.settings.retryBudgetRatio);
    pool.hedgeBudget.deposit(pool.settings.hedgeBudgetRatio);
    this.calls.set(call.callId, record);
    this.route(record);
  }

  /** Continues a call whose claim was answered. */
  onClaimReply(callId: number, reply: ClaimReplyMessage): void {
    const record = this.calls.get(callId);
    if (!record || record.phase !== CallPhase.Claiming) {
      return;
    }
    this.claimVerdicts[reply.verdict](record, reply);
  }

  /** Relays an answer that has begun to the caller and cancels the other attempts. */
  onHeaders(callId: number, attemptId: number): void {
    const { context } = this.options;
    const record = this.calls.get(callId);
    const attempt = record?.attempts.get(attemptId);
    if (!record || !attempt) return;
    // After a truncation the answering attempt has ended, and another one continues the answer.
    const answering = record.answeringId !== null && record.attempts.has(record.answeringId);
    // A claimed call runs on after its caller disconnected, to record its answer for a resend.
    const unwanted = record.phase === CallPhase.Answered && record.claimId === null;
    if (answering || unwanted) {
      this.answers.cancelAttempt(record, attempt);
      return;
    }
    record.answeringId = attemptId;
    context.emit({ type: EntryEffectType.UseAnswer, callId, attemptId });
    record.attempts.forEach((other) => {
      if (other.attemptId !== attemptId) this.answers.cancelAttempt(record, other);
    });
  }

  /** Updates statistics and slots when an attempt ends, and takes the call's next step. */
  onAttemptEnded(event: AttemptEndedEvent): void {
    const record = this.calls.get(event.callId);
    const attempt = record?.attempts.get(event.attemptId);
    if (!record || !attempt) return;
    record.attempts.delete(event.attemptId);
    this.releaseTarget(record, attempt, event);
    const next = this.outcomes.decide(record, attempt, event);
    if (next.settle) this.answers.settle(record, next.settle, event.answer);
    if (next.finished) this.answers.finish(record);
    else if (next.aborted) this.answers.abortAnswer(record);
    else if (next.error) this.answers.refuse(record, next.error);
    else if (next.retry) this.retry(record, event);
    this.removeIfDone(record);
    this.dispatchQueued(record.pool);
  }

  /** Cancels a disconnected caller's attempts; a claimed call runs on to record its answer. */
  onCallerDisconnected(callId: number): void {
    const record = this.calls.get(callId);
    if (!record) return;
    this.removeWaiting(record);
    if (record.claimId !== null && record.attempts.size === 0) {
      this.answers.settle(record, ClaimOutcome.NotRun, null);
    }
    if (record.claimId === null || record.phase !== CallPhase.Running) {
      this.answers.cancelAll(record);
    }
    record.phase = CallPhase.Answered;
    this.removeIfDone(record);
  }

  /** Enforces deadlines and starts hedges. */
  tick(): void {
    const { nowMs } = this.options.context;
    this.options.pools.forEach((pool) => {
      pool.latency.refresh(nowMs);
      if (!pool.isServing(nowMs)) this.rerouteQueued(pool);
      pool.queue.takeExpired(nowMs).forEach((record) => {
        const detail = 'No slot became free before the deadline.';
        this.answers.refuseNotRun(record, new EgretError(ErrorKind.Overloaded, detail));
      });
      this.dispatchQueued(pool);
    });
    this.reroutePaused();
    this.calls.forEach((record) => {
      if (record.phase === CallPhase.Claiming && nowMs >= record.deadlineMs) {
        this.answers.refuseNotRun(
          record,
          new EgretError(ErrorKind.NoQuorum, 'The claim timed out.'),
        );
      } else if (record.phase !== CallPhase.Queued) {
        this.checkRunning(record);
      }
    });
  }

  /** Refuses the calls that wait for a slot, because the settings may be out of date. */
  refuseQueued(error: () => EgretError): void {
    this.options.pools.forEach((pool) => {
      for (let record = pool.queue.shift(); record; record = pool.queue.shift()) {
        this.answers.refuseNotRun(record, error());
      }
    });
  }

  /** Refuses the calls that were not sent yet and could outlast the planned stop that begins. */
  refuseTooLate(): void {
    this.calls.forEach((record) => {
      if (isUnsent(record) && this.mayOutlastStop(record)) this.refuseStopping(record);
    });
  }

  /** Answers every call whose answer has not begun, at the end of a planned stop. */
  answerOpen(): void {
    this.calls.forEach((record) => {
      if (record.phase === CallPhase.Answered || record.answeringId !== null) return;
      if (isUnsent(record)) {
        this.refuseStopping(record);
        return;
      }
      this.removeWaiting(record);
      // A claimed call runs on to record its answer while the host still runs.
      if (record.claimId === null) this.answers.cancelAll(record);
      const detail = 'The entry host stopped before an answer began; the request may have run.';
      this.answers.refuse(record, new EgretError(ErrorKind.OutcomeUnknown, detail));
    });
  }

  /** Dispatches queued calls while slots are free; runs for every call. */
  dispatchQueued(pool: ServicePool): void {
    for (let record = pool.queue.peek(); record; record = pool.queue.peek()) {
      const backend = this.choose(record);
      if (!backend) return;
      pool.queue.shift();
      this.start(record, backend.target, backend, false);
    }
  }

  private mayOutlastStop(record: CallRecord): boolean {
    return endsTooLate(record.deadlineMs, this.options.context.answerByMs);
  }

  private removeWaiting(record: CallRecord): void {
    record.pool.queue.remove(record);
    this.paused.delete(record);
  }

  private refuseStopping(record: CallRecord): void {
    this.removeWaiting(record);
    this.answers.refuseNotRun(record, new EgretError(ErrorKind.Stopping, STOPPING));
  }

  private readonly claimVerdicts: Record<
    ClaimReplyVerdict,
    (record: CallRecord, reply: ClaimReplyMessage) => void
  > = {
    [ClaimReplyVerdict.Granted]: (record) => this.enqueue(record),
    [ClaimReplyVerdict.InProgress]: (record) =>
      this.answers.refuseClaim(record, ErrorKind.InProgress, 'The same request is running.'),
    [ClaimReplyVerdict.Unknown]: (record) =>
      this.answers.refuseClaim(record, ErrorKind.OutcomeUnknown, 'The first attempt may have run.'),
    [ClaimReplyVerdict.Refused]: (record, reply) =>
      this.answers.refuseClaim(
        record,
        reply.refusal ?? ErrorKind.KeyInvalid,
        'The key was refused.',
      ),
    [ClaimReplyVerdict.Unavailable]: (record) => this.options.claims.retryLater(record),
    [ClaimReplyVerdict.Replay]: (record, reply) => {
      if (reply.answer) this.answers.replay(record, reply.answer);
    },
  };

  private createRecord(call: ArrivedCall, pool: ServicePool, idempotent: boolean): CallRecord {
    const { nowMs } = this.options.context;
    const timeoutMs = Math.min(call.timeoutMs ?? pool.settings.timeoutMs, pool.settings.timeoutMs);
    return {
      call,
      pool,
      callerId: call.callerId,
      arrivedAtMs: nowMs,
      deadlineMs: nowMs + timeoutMs,
      idempotent,
      phase: CallPhase.Queued,
      attempts: new Map(),
      attemptsMade: 0,
      tried: [],
      answeringId: null,
      claimId: null,
      resume: null,
      mayHaveRun: false,
    };
  }

  /** Admits a call for this host's own backend servers, or forwards it to a peer. */
  private route(record: CallRecord): void {
    const { context } = this.options;
    const { pool, call } = record;
    if (call.forwarded || pool.policy.leaseless) {
      this.admit(record);
      return;
    }
    const serving = pool.isServing(context.nowMs);
    if (serving && pool.queue.length === 0 && pool.freeSlots(context.nowMs) > 0) {
      this.admit(record);
      return;
    }
    const peer = this.choosePeer(record, serving);
    if (peer) this.forward(record, peer);
    else if (serving) this.admit(record);
    else if (this.isUnserved(record.call.service)) this.refuseForNoBackend(record);
    else this.pauseOrRefuse(record);
  }

  /** Leaseholder to forward to; one with known free slots if this host serves calls itself. */
  private choosePeer(record: CallRecord, serving: boolean): EntryHost | undefined {
    const { context, capacity } = this.options;
    const { service } = record.call;
    if (record.attemptsMade >= MAX_FORWARDS) return undefined;
    // A call that can't be paused takes its chance with a peer that had no backend server.
    const mayWait = record.answeringId === null && !record.mayHaveRun;
    const peers = this.otherLeaseholders(service)
      .filter((peer) => !record.tried.includes(peer.id))
      .filter((peer) =>
        serving
          ? capacity.hasFreeSlots(peer.id, service, context.nowMs)
          : !mayWait || capacity.mayServe(peer.id, service, context.nowMs),
      );
    return capacity.pick(peers, service, context.random);
  }

  private otherLeaseholders(service: string): EntryHost[] {
    const { context, roster, settings } = this.options;
    const entry = settings.catalog.services.get(service);
    if (!entry) return [];
    return roster.leaseholders(entry).filter((peer) => peer.id !== context.self.id);
  }

  /** True if the leases of backend servers may be moving to other entry hosts. */
  private mayLeasesMove(): boolean {
    const { context, roster, settings } = this.options;
    const { leaseMs, announcementIntervalMs } = settings.catalog.system;
    const moveMs = announcementIntervalMs + LEASES_PER_MOVE * leaseMs;
    return roster.hasChangedWithin(moveMs, context.nowMs);
  }

  /** True if no other leaseholder has a usable backend server and none will get one by a move. */
  private isUnserved(service: string): boolean {
    const { context, capacity } = this.options;
    const peers = this.otherLeaseholders(service);
    if (peers.length === 0 || this.mayLeasesMove()) return false;
    return !peers.some((peer) => capacity.mayServe(peer.id, service, context.nowMs));
  }

  private forward(record: CallRecord, peer: EntryHost): void {
    const { context, capacity } = this.options;
    context.count(CounterName.Forwards, record.call.service);
    capacity.onForward(peer.id, record.call.service);
    const target: AttemptTarget = {
      kind: TargetKind.Peer,
      id: peer.id,
      address: peer.address,
      port: peer.peerPort,
      connectionsMax: Number.POSITIVE_INFINITY,
    };
    this.start(record, target, null, false);
  }

  /** Admits a call for this host's own backend servers. */
  private admit(record: CallRecord): void {
    const { context, claims } = this.options;
    const standing = record.pool.quarantine.standingOf(record.call.fingerprint, context.nowMs);
    if (standing === Standing.Quarantined) {
      context.count(CounterName.Quarantined, record.call.service);
      const detail = 'The request was in flight when several backend servers crashed.';
      this.answers.refuse(record, new EgretError(ErrorKind.Quarantined, detail));
      return;
    }
    if (standing === Standing.Doubtful) {
      const detail = 'The request is under suspicion after backend servers seemed to crash.';
      this.answers.refuseNotRun(record, new EgretError(ErrorKind.Overloaded, detail));
      return;
    }
    if (record.idempotent) {
      this.enqueue(record);
      return;
    }
    record.phase = CallPhase.Claiming;
    claims.request(record);
  }

  /** Dispatches at once if a slot is free, queues otherwise. */
  private enqueue(record: CallRecord): void {
    const { context } = this.options;
    const { pool } = record;
    record.phase = CallPhase.Queued;
    if (pool.queue.length === 0) {
      const backend = this.choose(record);
      if (backend) {
        this.start(record, backend.target, backend, false);
        return;
      }
    }
    if (pool.policy.leaseless || !pool.isServing(context.nowMs)) {
      this.pauseOrRefuse(record);
      return;
    }
    const waitMs = pool.expectedWaitMs(record.callerId);
    if (waitMs > Math.min(record.deadlineMs - context.nowMs, pool.maxWaitMs())) {
      const detail = 'The expected wait for a slot is too long.';
      const retryAfterMs = Math.ceil(waitMs);
      this.answers.refuseNotRun(
        record,
        new EgretError(ErrorKind.Overloaded, detail, { retryAfterMs }),
      );
      return;
    }
    const evicted = pool.queue.push(record);
    if (!evicted) return;
    const error = new EgretError(ErrorKind.Overloaded, 'The queue of the service is full.', {
      retryAfterMs: Math.ceil(pool.expectedWaitMs(evicted.callerId)),
    });
    this.answers.refuseNotRun(evicted, error);
  }

  /** Selects a backend server; none while the settings may be out of date. */
  private choose(record: CallRecord): BackendRecord | undefined {
    if (!this.options.mayDispatch()) return undefined;
    const { nowMs, random } = this.options.context;
    const { pool, call } = record;
    return pool.policy.choose(pool, {
      nowMs,
      random,
      tried: record.tried,
      suspect: pool.quarantine.standingOf(call.fingerprint, nowMs) !== Standing.Clear,
      idempotent: record.idempotent,
      callerId: record.callerId,
    });
  }

  private start(
    record: CallRecord,
    target: AttemptTarget,
    backend: BackendRecord | null,
    hedge: boolean,
  ): void {
    const { context } = this.options;
    const attemptId = this.nextAttemptId;
    this.nextAttemptId += 1;
    const standing = record.pool.quarantine.standingOf(record.call.fingerprint, context.nowMs);
    const suspect = backend !== null && standing !== Standing.Clear;
    const startedAtMs = context.nowMs;
    const attempt: Attempt = {
      attemptId,
      target,
      record: backend,
      startedAtMs,
      hedge,
      suspect,
      cancelled: false,
    };
    if (backend) {
      backend.onStart(attemptId, context.nowMs);
      if (suspect) backend.suspectedInFlight += 1;
    }
    // A peer must answer before this host's own deadline, whose error is less specific.
    const marginMs = backend ? 0 : FORWARD_MARGIN_MS;
    record.phase = CallPhase.Running;
    record.attempts.set(attemptId, attempt);
    record.attemptsMade += 1;
    record.tried.push(target.id);
    context.count(CounterName.Attempts, record.call.service);
    context.emit({
      type: EntryEffectType.StartAttempt,
      callId: record.call.callId,
      attemptId,
      target,
      timeoutMs: Math.max(1, Math.round(record.deadlineMs - context.nowMs - marginMs)),
      attemptNumber: record.attemptsMade,
      record: record.claimId !== null,
      resume: record.resume,
    });
  }

  private releaseTarget(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): void {
    const { context, capacity } = this.options;
    if (!attempt.record) {
      if (event.peerStatus) {
        const { service } = record.call;
        capacity.onStatus(attempt.target.id, service, event.peerStatus, context.nowMs);
      }
      return;
    }
    // A newer record of the same backend server may have taken over the count.
    const current = record.pool.records.get(attempt.record.id) ?? attempt.record;
    current.onEnd(attempt.attemptId, context.nowMs);
    if (attempt.suspect) attempt.record.suspectedInFlight -= 1;
    if (current.released) this.options.onReleasedAttemptEnded(current);
  }

  /** Retries the call, first at targets that were not tried yet. */
  private retry(record: CallRecord, event: AttemptEndedEvent): void {
    const { context } = this.options;
    record.resume = event.resume ?? record.resume;
    if (record.phase === CallPhase.Answered) return;
    if (!record.mayHaveRun && record.answeringId === null && this.mayOutlastStop(record)) {
      this.refuseStopping(record);
      return;
    }
    context.count(CounterName.Retries, record.call.service);
    const standing = record.pool.quarantine.standingOf(record.call.fingerprint, context.nowMs);
    if (standing === Standing.Quarantined || standing === Standing.Doubtful) {
      this.answers.refuse(record, finalError(record, event));
      return;
    }
    if (this.mustForward(record)) {
      this.retryAtPeer(record, event);
      return;
    }
    if (!record.idempotent && record.claimId === null) {
      // A peer refused; this host now has backend servers, but the call has no claim yet.
      this.admit(record);
      return;
    }
    const backend = this.choose(record);
    if (backend) this.start(record, backend.target, backend, false);
    else if (this.hasUntried(record)) this.enqueueRetry(record, event);
    else if (record.resume) this.retryAtPeer(record, event);
    else {
      // Every backend server was tried, so any of them may be tried again.
      record.tried.length = 0;
      this.enqueueRetry(record, event);
    }
  }

  /** Sends the call to a leaseholder that it was not sent to yet. */
  private retryAtPeer(record: CallRecord, event: AttemptEndedEvent): void {
    const peer = record.call.forwarded ? undefined : this.choosePeer(record, false);
    const mayBeServedLater = isUnservedAtPeer(event) && this.mayLeasesMove();
    if (peer) this.forward(record, peer);
    else if (event.peerRefusal && !mayBeServedLater) this.answers.refuse(record, event.peerRefusal);
    else this.pauseOrRefuse(record);
  }

  /** True if a leased backend server was not tried yet. */
  private hasUntried(record: CallRecord): boolean {
    const { nowMs } = this.options.context;
    return [...record.pool.records.values()].some(
      (backend) => backend.isLeased(nowMs) && !record.tried.includes(backend.id),
    );
  }

  /** True if the call has to be forwarded because this host has no usable backend server. */
  private mustForward(record: CallRecord): boolean {
    const { pool, call } = record;
    return !call.forwarded && !pool.policy.leaseless && !pool.isServing(this.options.context.nowMs);
  }

  private enqueueRetry(record: CallRecord, event: AttemptEndedEvent): void {
    const { nowMs } = this.options.context;
    // The answer began in time; its continuation may wait another full timeout for a slot.
    if (record.resume) record.deadlineMs = nowMs + record.pool.settings.timeoutMs;
    if (!record.pool.isServing(nowMs) || record.attemptsMade >= MAX_ATTEMPTS) {
      this.answers.refuse(record, finalError(record, event));
      return;
    }
    record.phase = CallPhase.Queued;
    const evicted = record.pool.queue.push(record);
    if (!evicted) return;
    const detail = 'The queue of the service is full.';
    this.answers.refuse(evicted, new EgretError(ErrorKind.Overloaded, detail));
  }

  private checkRunning(record: CallRecord): void {
    const { context } = this.options;
    if (record.phase === CallPhase.Running && record.answeringId === null) {
      if (context.nowMs >= record.deadlineMs) this.onDeadline(record);
      else {
        const backend = this.options.mayDispatch() && chooseHedge(record, context);
        if (backend) this.start(record, backend.target, backend, true);
      }
    }
    const graceMs = record.pool.settings.timeoutMs * CLAIMED_GRACE_TIMEOUTS;
    if (record.phase === CallPhase.Answered && context.nowMs > record.arrivedAtMs + graceMs) {
      this.answers.cancelAll(record);
    }
  }

  /** Refuses a call at its deadline; a claimed call runs on to record its answer. */
  private onDeadline(record: CallRecord): void {
    if (record.claimId === null) {
      this.answers.cancelAll(record);
    }
    const detail = 'No answer began before the deadline.';
    this.answers.refuse(record, new EgretError(ErrorKind.DeadlineExceeded, detail));
  }

  /** Routes queued calls again after the leases moved to another host. */
  private rerouteQueued(pool: ServicePool): void {
    for (let record = pool.queue.shift(); record; record = pool.queue.shift()) {
      if (record.claimId === null && record.answeringId === null) this.route(record);
      else this.pauseOrRefuse(record);
    }
  }

  private reroutePaused(): void {
    this.paused.takeDue(this.options.context.nowMs).forEach((record) => {
      record.tried.length = 0;
      this.route(record);
    });
  }

  private pauseOrRefuse(record: CallRecord): void {
    if (!this.paused.pause(record, this.options.context.nowMs)) this.refuseForNoBackend(record);
  }

  private refuseForNoBackend(record: CallRecord): void {
    const detail = `No backend server of ${record.call.service} is available.`;
    this.answers.refuseNotRun(record, new EgretError(ErrorKind.NoBackend, detail));
  }

  private removeIfDone(record: CallRecord): void {
    const done = record.phase === CallPhase.Answered && record.attempts.size === 0;
    if (done) this.calls.delete(record.call.callId);
  }
}

/** Time for which a claim is held; if this host crashes, the outcome is "unknown" after it. */
export function holdMsOf(record: CallRecord): number {
  const timeoutMs = record.pool.settings.timeoutMs * CLAIMED_GRACE_TIMEOUTS;
  return Math.ceil(timeoutMs * (1 + MAX_CLOCK_DRIFT_RATIO));
}
