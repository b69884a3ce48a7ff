import { MAX_KEY_FUTURE_MS } from '../common/Constants.js';
import { ErrorKind } from '../common/Errors.js';
import { checkKeyAge, parseKeyTimeMs } from '../common/IdempotencyKey.js';
import { ClaimOutcome, ClaimReplyVerdict, type ReplayAnswer } from '../common/Messages.js';
import type { ClaimCommand, SettleCommand } from './Commands.js';

/** Result of a claim command. */
export interface ClaimResult {
  readonly verdict: ClaimReplyVerdict;
  readonly answer: ReplayAnswer | null;
  /** Present with {@link ClaimReplyVerdict.Refused}. */
  readonly refusal: ErrorKind | null;
}

/** State of one idempotency key. */
export interface ClaimRecord {
  readonly key: string;
  readonly fingerprint: string;
  attemptId: string;
  entryHostId: string;
  claimedAtMs: number;
  holdUntilMs: number;
  /** Null while the call runs. */
  outcome: ClaimOutcome | null;
  answer: ReplayAnswer | null;
}

function resultOf(verdict: ClaimReplyVerdict): ClaimResult {
  return { verdict, answer: null, refusal: null };
}

function refuse(refusal: ErrorKind): ClaimResult {
  return { verdict: ClaimReplyVerdict.Refused, answer: null, refusal };
}

/** Results of a claim of a key whose call has ended. */
const SETTLED_VERDICTS: Record<ClaimOutcome, (record: ClaimRecord) => ClaimResult> = {
  [ClaimOutcome.Answered]: (record) =>
    record.answer
      ? { verdict: ClaimReplyVerdict.Replay, answer: record.answer, refusal: null }
      : resultOf(ClaimReplyVerdict.Unknown),
  [ClaimOutcome.Unknown]: () => resultOf(ClaimReplyVerdict.Unknown),
  [ClaimOutcome.NotRun]: () => resultOf(ClaimReplyVerdict.InProgress),
};

/** Answers a claim of a key that was claimed before. */
function claimAgain(record: ClaimRecord, command: ClaimCommand, clockMs: number): ClaimResult {
  const sameAttempt = record.attemptId === command.attemptId;
  if (record.outcome === ClaimOutcome.NotRun && !sameAttempt) {
    record.attemptId = command.attemptId;
    record.entryHostId = command.entryHostId;
    record.holdUntilMs = clockMs + command.holdMs;
    record.outcome = null;
    return resultOf(ClaimReplyVerdict.Granted);
  }
  if (record.outcome !== null) return SETTLED_VERDICTS[record.outcome](record);
  if (sameAttempt) return resultOf(ClaimReplyVerdict.Granted);
  return resultOf(
    clockMs < record.holdUntilMs ? ClaimReplyVerdict.InProgress : ClaimReplyVerdict.Unknown,
  );
}

/** Claims by service and idempotency key; part of the replicated state. */
export class ClaimTable {
  /** Records in the order in which they were first claimed. */
  private readonly records = new Map<string, ClaimRecord>();

  constructor(records: readonly ClaimRecord[] = []) {
    records.forEach((record) => this.records.set(record.key, record));
  }

  get size(): number {
    return this.records.size;
  }

  /** Grants the claim, or returns the state of a key that was claimed before. */
  claim(command: ClaimCommand, clockMs: number, retentionMs: number): ClaimResult {
    this.expire(clockMs, retentionMs);
    const age = parseKeyTimeMs(command.key).andThen((keyTimeMs) =>
      checkKeyAge(keyTimeMs, { nowMs: clockMs, retentionMs }),
    );
    if (age.isErr) return refuse(age.error.kind);
    const scopedKey = `${command.service}/${command.key}`;
    const record = this.records.get(scopedKey);
    if (!record) {
      this.records.set(scopedKey, {
        key: scopedKey,
        fingerprint: command.fingerprint,
        attemptId: command.attemptId,
        entryHostId: command.entryHostId,
        claimedAtMs: clockMs,
        holdUntilMs: clockMs + command.holdMs,
        outcome: null,
        answer: null,
      });
      return resultOf(ClaimReplyVerdict.Granted);
    }
    if (record.fingerprint !== command.fingerprint) return refuse(ErrorKind.KeyReused);
    return claimAgain(record, command, clockMs);
  }

  /** Records the result of a claimed call; only the claiming attempt may, and only once. */
  settle(command: SettleCommand): boolean {
    const record = this.records.get(`${command.service}/${command.key}`);
    if (!record || record.attemptId !== command.attemptId || record.outcome !== null) return false;
    record.outcome = command.outcome;
    record.answer = command.answer;
    return true;
  }

  toRecords(): ClaimRecord[] {
    return [...this.records.values()];
  }

  /**
   * Deletes keys that checkKeyAge now refuses as expired. The time in a key may be up to
   * {@link MAX_KEY_FUTURE_MS} later than its claim.
   */
  private expire(clockMs: number, retentionMs: number): void {
    for (const [key, record] of this.records) {
      if (record.claimedAtMs + retentionMs + MAX_KEY_FUTURE_MS > clockMs) return;
      this.records.delete(key);
    }
  }
}
