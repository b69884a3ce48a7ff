import type { ArrivedCall, AttemptTarget, ResumePoint } from '../Types.js';
import type { BackendRecord } from './BackendRecord.js';
import type { QueuedItem } from './FairQueue.js';
import type { ServicePool } from './ServicePool.js';

/** Phase of a call at this entry host. */
export enum CallPhase {
  /** Waits for the claim that permits a non-idempotent request. */
  Claiming = 'claiming',
  /** Waits for a slot. */
  Queued = 'queued',
  /** At least one attempt is in progress. */
  Running = 'running',
  /** The call was answered, refused or aborted, or its caller disconnected; attempts may run on. */
  Answered = 'answered',
}

/** One attempt of a call. */
export interface Attempt {
  readonly attemptId: number;
  readonly target: AttemptTarget;
  /** Null for an attempt at a peer. */
  readonly record: BackendRecord | null;
  readonly startedAtMs: number;
  readonly hedge: boolean;
  /** True if the fingerprint was under suspicion when the attempt began. */
  readonly suspect: boolean;
  cancelled: boolean;
}

/** Call at this entry host until its last attempt has ended. */
export interface CallRecord extends QueuedItem {
  readonly call: ArrivedCall;
  readonly pool: ServicePool;
  readonly arrivedAtMs: number;
  /** Time by which the answer, or its continuation, must begin. */
  deadlineMs: number;
  readonly idempotent: boolean;
  phase: CallPhase;
  /** Attempts that have not ended, by id. */
  readonly attempts: Map<number, Attempt>;
  attemptsMade: number;
  /** Targets that the call was sent to. */
  readonly tried: string[];
  /** Attempt whose answer is sent to the caller. */
  answeringId: number | null;
  /** Id of the claim that permits the call to run; null if none is needed, or it is settled. */
  claimId: string | null;
  /** Point from which a truncated answer is resumed. */
  resume: ResumePoint | null;
  /** True if an attempt may have run without an answer. */
  mayHaveRun: boolean;
}
