import { Outcome } from './Enums.js';

/** Kinds of errors. */
export enum ErrorKind {
  BadRequest = 'bad-request',
  UnknownService = 'unknown-service',
  NotFound = 'not-found',
  NotCurrent = 'not-current',
  NoBackend = 'no-backend',
  Overloaded = 'overloaded',
  UsageCap = 'usage-cap',
  DeadlineExceeded = 'deadline-exceeded',
  KeyRequired = 'idempotency-key-required',
  KeyInvalid = 'idempotency-key-invalid',
  KeyExpired = 'idempotency-key-expired',
  KeyReused = 'idempotency-key-reused',
  InProgress = 'in-progress',
  OutcomeUnknown = 'outcome-unknown',
  Quarantined = 'quarantined',
  NoQuorum = 'no-quorum',
  Unauthorized = 'unauthorized',
  CustomerUnknown = 'customer-unknown',
  Forbidden = 'forbidden',
  InvalidAnnouncement = 'invalid-announcement',
  ReplayedSequence = 'replayed-sequence',
  InvalidSettings = 'invalid-settings',
  Conflict = 'conflict',
  RolloutRunning = 'rollout-running',
  BodyTooLarge = 'body-too-large',
  HeadersTooLarge = 'headers-too-large',
  SlowClient = 'slow-client',
  Stopping = 'stopping',
  DataCorrupt = 'data-corrupt',
  DataLocked = 'data-locked',
  StorageFailed = 'storage-failed',
  StorageClosed = 'storage-closed',
}

/** Static properties of an error kind. */
interface ErrorTraits {
  readonly statusCode: number;
  readonly remedy: string;
  /** Set if the kind determines whether a call was executed. */
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
}

const TRAITS: Record<ErrorKind, ErrorTraits> = {
  [ErrorKind.BadRequest]: {
    statusCode: 400,
    remedy: 'Correct the request as described in the message and send it again.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.UnknownService]: {
    statusCode: 404,
    remedy: 'Use a service name listed by "egretctl services".',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.NotFound]: {
    statusCode: 404,
    remedy: 'Check the path against docs/INTERFACES.md.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.NotCurrent]: {
    statusCode: 503,
    remedy: 'Use another entry host; this one cannot prove that its settings are current.',
    outcome: Outcome.NotRun,
    retryAfterMs: 1000,
  },
  [ErrorKind.NoBackend]: {
    statusCode: 503,
    remedy: 'Retry later; check "egretctl backends" for announced backend servers.',
    outcome: Outcome.NotRun,
    retryAfterMs: 1000,
  },
  [ErrorKind.Overloaded]: {
    statusCode: 503,
    remedy: 'Retry after the stated delay, or add backend servers to the service.',
    outcome: Outcome.NotRun,
    retryAfterMs: 1000,
  },
  [ErrorKind.UsageCap]: {
    statusCode: 429,
    remedy: 'Retry after the stated delay, or ask the operator for a higher rate or burst.',
    outcome: Outcome.NotRun,
    retryAfterMs: 1000,
  },
  [ErrorKind.DeadlineExceeded]: {
    statusCode: 504,
    remedy: 'Allow more time with Egret-Timeout-Ms, or retry if the call is idempotent.',
    outcome: Outcome.Unknown,
  },
  [ErrorKind.KeyRequired]: {
    statusCode: 400,
    remedy: 'Send an Idempotency-Key header holding a UUIDv7.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.KeyInvalid]: {
    statusCode: 400,
    remedy: 'Send a UUIDv7 created just before the first attempt as Idempotency-Key.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.KeyExpired]: {
    statusCode: 409,
    remedy: 'Look up the result of the original call; a new call needs a new UUIDv7.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.KeyReused]: {
    statusCode: 422,
    remedy: 'Use a new Idempotency-Key for a different request.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.InProgress]: {
    statusCode: 409,
    remedy: 'Send the same request with the same key again after the stated delay.',
    outcome: Outcome.InProgress,
    retryAfterMs: 500,
  },
  [ErrorKind.OutcomeUnknown]: {
    statusCode: 502,
    remedy: 'Check with the backend service whether the request ran before using a new key.',
    outcome: Outcome.Unknown,
  },
  [ErrorKind.Quarantined]: {
    statusCode: 422,
    remedy: 'Do not resend; the request crashed several backend servers. Report its request id.',
    outcome: Outcome.Quarantined,
  },
  [ErrorKind.NoQuorum]: {
    statusCode: 503,
    remedy: 'Retry later; check "egretctl control members" for control hosts that are down.',
    outcome: Outcome.NotRun,
    retryAfterMs: 1000,
  },
  [ErrorKind.Unauthorized]: {
    statusCode: 401,
    remedy: 'Send a valid bearer token in the Authorization header.',
  },
  [ErrorKind.CustomerUnknown]: {
    statusCode: 401,
    remedy: 'Send a key that was issued to a customer in the Authorization header.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.Forbidden]: {
    statusCode: 403,
    remedy: 'Use a token whose team and role cover the path.',
  },
  [ErrorKind.InvalidAnnouncement]: {
    statusCode: 400,
    remedy: 'Correct the named field; docs/INTERFACES.md lists the fields of an announcement.',
  },
  [ErrorKind.ReplayedSequence]: {
    statusCode: 409,
    remedy: 'Announce with a sequence above the last one, or with a new incarnation.',
  },
  [ErrorKind.InvalidSettings]: {
    statusCode: 422,
    remedy: 'Correct the named path; "egretctl check FILE" lists every fault.',
  },
  [ErrorKind.Conflict]: {
    statusCode: 409,
    remedy: 'Read the subtree again and send the change with its current revision.',
  },
  [ErrorKind.RolloutRunning]: {
    statusCode: 409,
    remedy: 'Wait until the rollout has ended, or end it with "egretctl rollout abort SERVICE".',
  },
  [ErrorKind.BodyTooLarge]: {
    statusCode: 413,
    remedy: 'Send a smaller body, or raise maxBodyBytes of the service.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.HeadersTooLarge]: {
    statusCode: 431,
    remedy: 'Send fewer or shorter headers.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.SlowClient]: {
    statusCode: 408,
    remedy: 'Send the whole request without pauses.',
    outcome: Outcome.NotRun,
  },
  [ErrorKind.Stopping]: {
    statusCode: 503,
    remedy: 'Fetch the list of entry hosts again and use another one; this one is stopping.',
    outcome: Outcome.NotRun,
    retryAfterMs: 0,
  },
  [ErrorKind.DataCorrupt]: {
    statusCode: 500,
    remedy: 'Move the data folder away and add this host again with a new member id.',
  },
  [ErrorKind.DataLocked]: {
    statusCode: 500,
    remedy: 'Stop the other process that uses the data folder, or choose another folder.',
  },
  [ErrorKind.StorageFailed]: {
    statusCode: 500,
    remedy: 'Check the disk, its free space and permissions, then start the process again.',
  },
  [ErrorKind.StorageClosed]: {
    statusCode: 503,
    remedy: 'Use another control host; this one is stopping.',
    retryAfterMs: 0,
  },
};

/** Body of an error answer that the system itself generates. */
export interface ErrorBody {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly remedy: string;
  readonly requestId?: string;
}

/** Error with a kind; its message consists of the detail and the remedy of the kind. */
export class EgretError extends Error {
  readonly kind: ErrorKind;

  /** Description of the error, without the remedy. */
  readonly detail: string;

  readonly retryAfterMs: number | undefined;

  /** Overrides the outcome that the kind implies. */
  private readonly outcomeOverride: Outcome | undefined;

  constructor(kind: ErrorKind, detail: string, options: EgretErrorOptions = {}) {
    super(`${detail} ${TRAITS[kind].remedy}`);
    this.name = 'EgretError';
    this.kind = kind;
    this.detail = detail;
    this.retryAfterMs = options.retryAfterMs ?? TRAITS[kind].retryAfterMs;
    this.outcomeOverride = options.outcome;
  }

  /** Advice to the caller on how to resolve the error. */
  get remedy(): string {
    return TRAITS[this.kind].remedy;
  }

  /** HTTP status code of the error. */
  get statusCode(): number {
    return TRAITS[this.kind].statusCode;
  }

  /** Outcome of the call, as far as it is known; undefined for errors about other requests. */
  get outcome(): Outcome | undefined {
    return this.outcomeOverride ?? TRAITS[this.kind].outcome;
  }

  /** JSON body of the HTTP answer. */
  toBody(requestId?: string): ErrorBody {
    return { kind: this.kind, message: this.detail, remedy: this.remedy, requestId };
  }
}

/** Optional parts of an {@link EgretError}. */
export interface EgretErrorOptions {
  readonly retryAfterMs?: number;
  readonly outcome?: Outcome;
}

/**
 * Converts any thrown value to an {@link EgretError}.
 *
 * @example
 * toEgretError(new Error('disk full'), ErrorKind.StorageFailed).kind; // 'storage-failed'
 */
export function toEgretError(thrown: unknown, kind: ErrorKind): EgretError {
  if (thrown instanceof EgretError) return thrown;
  return new EgretError(kind, `${thrown instanceof Error ? thrown.message : String(thrown)}.`);
}
