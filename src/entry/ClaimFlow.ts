import {
  ControlMessageType,
  type ClaimOutcome,
  type ClaimReplyMessage,
  type ReplayAnswer,
  type SettleReplyMessage,
} from '../common/Messages.js';
import type { CallRecord } from './dispatch/CallRecord.js';
import type { EntryContext } from './EntryContext.js';
import { EntryEffectType, type UnsettledClaim } from './Types.js';

/** Options of a {@link ClaimFlow}. */
export interface ClaimFlowOptions {
  readonly context: EntryContext;
  /** Leader of the control hosts, if it is known and connected. */
  readonly leaderId: () => string | null;
  readonly holdMsOf: (record: CallRecord) => number;
  readonly onReply: (callId: number, reply: ClaimReplyMessage) => void;
}

/** Claim that has no final reply yet. */
interface PendingClaim {
  readonly record: CallRecord;
  sentAtMs: number;
}

/** Result that is not yet durable. */
interface PendingResult {
  readonly result: UnsettledClaim;
  sentAtMs: number;
}

const RESEND_INTERVAL_MS = 250;

/** Maximum number of results kept; beyond it the oldest are dropped and become "unknown". */
const MAX_UNSETTLED = 20_000;

/** Claims of non-idempotent calls and the results of claimed calls, until they are durable. */
export class ClaimFlow {
  /** Claims by attempt id, which is also their request id. */
  private readonly pending = new Map<string, PendingClaim>();

  private readonly unsettled = new Map<string, PendingResult>();

  private nextId = 1;

  constructor(private readonly options: ClaimFlowOptions) {}

  /** Results that are not yet durable. */
  get unsettledCount(): number {
    return this.unsettled.size;
  }

  /** Claims the key of a call; the reply is passed to `onReply`. */
  request(record: CallRecord): void {
    const { context } = this.options;
    const claimId = `${context.self.id}:${context.bootId}:${this.nextId}`;
    this.nextId += 1;
    record.claimId = claimId;
    const pending = { record, sentAtMs: Number.NEGATIVE_INFINITY };
    this.pending.set(claimId, pending);
    this.send(claimId, pending);
  }

  /** Schedules the resend of a claim that reached no leader, half the usual interval from now. */
  retryLater(record: CallRecord): void {
    const pending = record.claimId === null ? undefined : this.pending.get(record.claimId);
    if (pending) pending.sentAtMs = this.options.context.nowMs - RESEND_INTERVAL_MS / 2;
  }

  onClaimReply(reply: ClaimReplyMessage): void {
    const pending = this.pending.get(reply.requestId);
    if (!pending) return;
    if (reply.verdict !== 'unavailable') this.pending.delete(reply.requestId);
    this.options.onReply(pending.record.call.callId, reply);
  }

  /** Records the result of a claimed call, and sends it until it is durable. */
  settle(record: CallRecord, outcome: ClaimOutcome, answer: ReplayAnswer | null): void {
    const { claimId } = record;
    if (claimId === null || record.call.idempotencyKey === null) return;
    this.pending.delete(claimId);
    const result = {
      key: record.call.idempotencyKey,
      service: record.call.service,
      attemptId: claimId,
      outcome,
      answer,
    };
    // The number makes the request id unique: a not-run result may be followed by another one.
    const requestId = `${claimId}/${this.nextId}`;
    this.nextId += 1;
    const pending = { result, sentAtMs: Number.NEGATIVE_INFINITY };
    this.unsettled.set(requestId, pending);
    if (this.unsettled.size > MAX_UNSETTLED) {
      const [oldest] = this.unsettled.keys();
      if (oldest !== undefined) this.unsettled.delete(oldest);
    }
    this.sendSettle(requestId, pending);
  }

  onSettleReply(reply: SettleReplyMessage): void {
    if (reply.durable) this.unsettled.delete(reply.requestId);
  }

  /** Resends claims and results that were not answered in time. */
  tick(): void {
    const { nowMs } = this.options.context;
    this.pending.forEach((pending, claimId) => {
      if (nowMs - pending.sentAtMs >= RESEND_INTERVAL_MS) this.send(claimId, pending);
    });
    this.unsettled.forEach((pending, requestId) => {
      if (nowMs - pending.sentAtMs >= RESEND_INTERVAL_MS) this.sendSettle(requestId, pending);
    });
  }

  private send(claimId: string, pending: PendingClaim): void {
    const { context } = this.options;
    const controlHostId = this.options.leaderId();
    const { call } = pending.record;
    if (controlHostId === null || call.idempotencyKey === null) return;
    pending.sentAtMs = context.nowMs;
    context.emit({
      type: EntryEffectType.SendControl,
      controlHostId,
      message: {
        type: ControlMessageType.Claim,
        requestId: claimId,
        key: call.idempotencyKey,
        service: call.service,
        fingerprint: call.fingerprint,
        attemptId: claimId,
        holdMs: this.options.holdMsOf(pending.record),
      },
    });
  }

  private sendSettle(requestId: string, pending: PendingResult): void {
    const { context } = this.options;
    const controlHostId = this.options.leaderId();
    if (controlHostId === null) return;
    pending.sentAtMs = context.nowMs;
    context.emit({
      type: EntryEffectType.SendControl,
      controlHostId,
      message: { type: ControlMessageType.Settle, requestId, ...pending.result },
    });
  }
}
