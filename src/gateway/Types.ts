import type { IncomingHttpHeaders } from 'node:http';
import type { Route } from '../common/routing/Types.js';

/** Load reported by a backend server. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current work time as a multiple of the usual one. */
  readonly slowdown: number;
}

/** Kinds of {@link LimitReading}. */
export enum LimitReadingType {
  /** The backend server names a limit. */
  Named = 'named',
  /** The backend server answered a call with success and without naming a limit. */
  None = 'none',
  /** The value can't be read; it changes nothing. */
  Unreadable = 'unreadable',
  /** The answer does not show whether there is a limit. */
  Unknown = 'unknown',
}

/** Rate of requests that a backend server accepts from all entry hosts together, as it names it. */
export type LimitReading =
  | { readonly type: LimitReadingType.Named; readonly perSecond: number }
  | { readonly type: LimitReadingType.Unreadable; readonly text: string }
  | { readonly type: LimitReadingType.None | LimitReadingType.Unknown };

/** What an answer states about calls that follow. */
export interface BackendNotice {
  /** True if the backend server shuts down and accepts no further calls. */
  readonly isLeaving: boolean;
  /** Time for which it accepts nothing more from this host; undefined if it names none. */
  readonly quietMs: number | undefined;
}

/** Notice of an answer that states nothing. */
export const NO_NOTICE: BackendNotice = { isLeaving: false, quietMs: undefined };

/** Answer of a backend server to a probe. */
export interface HealthReport {
  readonly healthy: boolean;
  readonly backendId: string | undefined;
  /** Time for which the backend server remains cold; undefined if not reported. */
  readonly coldLeftMs: number | undefined;
  readonly load: LoadReport | undefined;
  readonly limit: LimitReading;
  readonly notice: BackendNotice;
}

/** Why a probe has no usable answer. */
export enum ProbeMiss {
  /** None arrived in time. */
  Late = 'late',
  /** The connection failed, or the answer is not usable. */
  Failed = 'failed',
}

/** Result of a probe. */
export type ProbeResult = HealthReport | ProbeMiss;

/**
 * True if a probe has no usable answer.
 *
 * @example
 * isMiss(ProbeMiss.Late); // true
 */
export function isMiss(result: ProbeResult): result is ProbeMiss {
  return typeof result === 'string';
}

/** Values read from the headers of a caller's request. */
export interface CallHead {
  /** Unique for each attempt of the caller; undefined if it sent none. */
  readonly callId: string | undefined;
  /** Time for which the caller waits; undefined if it sent none. */
  readonly budgetMs: number | undefined;
}

/** Values read from the status and headers of a backend server's answer. */
export interface AnswerHead {
  readonly callId: string | undefined;
  /** True if the backend server reports that it did not run the call. */
  readonly notRun: boolean;
  /** True if the answer has the signature of a complete, genuine one. */
  readonly authentic: boolean;
  readonly load: LoadReport | undefined;
  readonly limit: LimitReading;
  readonly notice: BackendNotice;
}

/** Values for the headers of an attempt. */
export interface AttemptHead {
  readonly remainingMs: number;
  readonly backendId: string;
}

/** Request headers by which callers and backend servers identify customers. */
export interface CustomerWire {
  /** Lower-case names of headers that are not passed on if the routing has customers. */
  readonly headerNames: ReadonlySet<string>;
  /** Key that a call carries; undefined without one. */
  readKey(headers: IncomingHttpHeaders): string | undefined;
  /** Headers that name the customer to a backend server, names and values in turn. */
  customerHeaders(name: string): string[];
  /** Headers of an answer to a call without a known key, names and values in turn. */
  readonly challengeHeaders: readonly string[];
}

/** Maps the types above to and from HTTP headers; one implementation per environment. */
export interface WireProfile {
  /** Lower-case names of request headers that only this system sets on attempts. */
  readonly attemptHeaderNames: ReadonlySet<string>;
  /** Omitted if calls carry no keys. */
  readonly customers?: CustomerWire;
  readCall(headers: IncomingHttpHeaders): CallHead;
  attemptHeaders(head: AttemptHead): string[];
  readAnswer(statusCode: number, headers: IncomingHttpHeaders): AnswerHead;
  readHealth(statusCode: number, headers: IncomingHttpHeaders): HealthReport;
  /** Headers of an answer to another gateway that identify its call, names and values in turn. */
  callIdHeaders(callId: string): string[];
  /** Value of the Retry-After header. */
  retryAfter(delayMs: number): string;
}

/** One call handled by an entry host. */
export interface Call {
  readonly callId: string;
  readonly route: Route;
  /** Service chosen by the route's weights. */
  readonly service: string;
  /** Version of the routing by which the service was chosen. */
  readonly routingVersion?: number;
  /** State in which the routing was used; undefined while it is current. */
  readonly routingState?: string;
  /** Name of the customer; undefined in deployments without customers. */
  readonly customer?: string;
  /** True if the routing has customers, so that the caller's headers for them are not passed on. */
  readonly isKeyChecked?: boolean;
  readonly arrivedAtMs: number;
  /** Deadline for the final answer. */
  readonly dueAtMs: number;
  /** Time by which an answer meets the route's latency objective. */
  readonly objectiveAtMs: number;
  /** Identifies identical calls; computed only when needed. */
  readonly fingerprint: () => string;
  /** True if the retry budget of this or another gateway has counted the call. */
  readonly isCounted?: boolean;
  /** Size of the body as far as it is known before it is sent; undefined without a body. */
  readonly bodyBytes?: number;
  /** True if the body is too long to buffer, so that only one attempt can send all of it. */
  readonly isBodyStreamed?: boolean;
  /**
   * False once the routing in force no longer leads the call to its service, so that no further
   * attempt may be sent; omitted if that can't change.
   */
  isRouted?(): boolean;
  /** True while the caller is connected. */
  isCallerConnected(): boolean;
  /**
   * False once a planned stop of this host leaves too little time for a further attempt; it then
   * stays false. Omitted if the host never stops.
   */
  mayBeSent?(): boolean;
}

/** Kinds of attempt results. */
export enum AttemptResultType {
  Answer = 'answer',
  /** The backend server reported that the call did not run. */
  NotRun = 'not-run',
  /** No byte of the call left this host. */
  NotSent = 'not-sent',
  /** The call may have run. */
  Unknown = 'unknown',
  /** The attempt was cancelled by this host. */
  Cancelled = 'cancelled',
}

/** Answer of a backend server, complete or up to the part of the body received so far. */
export interface BackendAnswer {
  readonly statusCode: number;
  readonly statusMessage: string;
  readonly rawHeaders: readonly string[];
  readonly authentic: boolean;
  readonly load: LoadReport | undefined;
  /** The complete body; empty if it is too long to buffer. */
  readonly body: Buffer;
  /** Body that is too long to buffer; null if `body` is complete. */
  readonly longBody: LongBody | null;
  /** Bytes of the body that were received by now. */
  readonly receivedBytes: number;
}

/** Receives the body of a long answer; `onEnd` or `onBroken` is called last. */
export interface LongBodyHandlers {
  /** Called with the part received so far, then with each further one; returns false to pause. */
  readonly onData: (chunks: readonly Buffer[]) => boolean;
  readonly onEnd: () => void;
  readonly onBroken: () => void;
}

/** Body of a long answer, which keeps the part received so far until it is read. */
export interface LongBody {
  /** Streams the body to the handlers. */
  read(handlers: LongBodyHandlers): void;
  resume(): void;
  /** Closes the connection to the backend server unless the answer is complete. */
  cancel(): void;
}

/** Result of one attempt. */
export type AttemptResult =
  | { readonly type: AttemptResultType.Answer; readonly answer: BackendAnswer }
  | {
      readonly type: Exclude<AttemptResultType, AttemptResultType.Answer>;
      readonly reason: string;
      readonly load?: LoadReport;
    };

/** Attempt in progress. */
export interface AttemptHandle {
  readonly result: Promise<AttemptResult>;
  cancel(): void;
}
