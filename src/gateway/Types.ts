import type { IncomingHttpHeaders } from 'node:http';
import type { Route } from '../common/routing/Types.js';

/** Load that a backend server states of itself. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at this moment, as a multiple of the usual. */
  readonly slowdown: number;
}

/** Answer of a backend server to a probe. */
export interface HealthReport {
  readonly healthy: boolean;
  readonly backendId: string | undefined;
  /** How much longer the backend server is cold; undefined where it doesn't tell. */
  readonly coldLeftMs: number | undefined;
  readonly load: LoadReport | undefined;
}

/** What a caller's request says beside method, path and body. */
export interface CallHead {
  /** Unique for each attempt of the caller; undefined where it sent none. */
  readonly callId: string | undefined;
  /** How long the caller waits. */
  readonly budgetMs: number | undefined;
}

/** What the headers of a backend server's answer say. */
export interface AnswerHead {
  readonly callId: string | undefined;
  /** True where the backend server states that it did not run the call. */
  readonly notRun: boolean;
  /** True where the answer bears the mark of a whole, genuine one. */
  readonly authentic: boolean;
  readonly load: LoadReport | undefined;
}

/** Headers with which an attempt is sent to a backend server. */
export interface AttemptHead {
  readonly remainingMs: number;
  readonly backendId: string;
}

/** Spoken forms of the facts above; one implementation for each kind of surroundings. */
export interface WireProfile {
  /** Lower-case names of request headers that only this system sets on attempts. */
  readonly attemptHeaderNames: ReadonlySet<string>;
  readCall(headers: IncomingHttpHeaders): CallHead;
  attemptHeaders(head: AttemptHead): string[];
  readAnswer(statusCode: number, headers: IncomingHttpHeaders): AnswerHead;
  readHealth(statusCode: number, headers: IncomingHttpHeaders): HealthReport;
  /** Value of the Retry-After header. */
  retryAfter(delayMs: number): string;
}

/** One call on its way through an entry host. */
export interface Call {
  readonly callId: string;
  readonly route: Route;
  /** Service that the route's weights chose. */
  readonly service: string;
  readonly arrivedAtMs: number;
  /** Time at which the caller needs a final answer. */
  readonly dueAtMs: number;
  /** Time by which an answer has its full value. */
  readonly objectiveAtMs: number;
  /** Identifies equal calls; worked out only when it is needed. */
  readonly fingerprint: () => string;
  /** True while the caller is still there. */
  isCallerConnected(): boolean;
}

/** Kinds of attempt results. */
export enum AttemptResultType {
  Answer = 'answer',
  /** The backend server stated that the call did not run. */
  NotRun = 'not-run',
  /** Nothing of the call left this host. */
  NotSent = 'not-sent',
  /** The call may have run. */
  Unknown = 'unknown',
  /** The attempt was cancelled by this host. */
  Cancelled = 'cancelled',
}

/** Answer of a backend server, whole or from its start on. */
export interface BackendAnswer {
  readonly statusCode: number;
  readonly statusMessage: string;
  readonly rawHeaders: readonly string[];
  readonly authentic: boolean;
  readonly load: LoadReport | undefined;
  /** The whole body, or what has arrived of a long one. */
  readonly body: Buffer;
  /** False where only the end of the connection tells the end of the body. */
  readonly framed: boolean;
  /** Rest of a body that is too long to be held; null where the body is whole. */
  readonly rest: AnswerRest | null;
}

/** Rest of a long answer body. */
export interface AnswerRest {
  /** Passes the rest on; the callbacks are called until one of the last two. */
  read(handlers: {
    readonly onData: (chunk: Buffer) => boolean;
    readonly onEnd: () => void;
    readonly onBroken: () => void;
  }): void;
  resume(): void;
}

/** Result of one attempt. */
export type AttemptResult =
  | { readonly type: AttemptResultType.Answer; readonly answer: BackendAnswer }
  | {
      readonly type: Exclude<AttemptResultType, AttemptResultType.Answer>;
      readonly reason: string;
      readonly load?: LoadReport;
    };

/** Attempt under way. */
export interface AttemptHandle {
  readonly result: Promise<AttemptResult>;
  cancel(): void;
}
