import type { IncomingMessage, ServerResponse } from 'node:http';

/** Byte range of a partial answer. */
export interface ByteRange {
  readonly firstByte: number;
  readonly lastByte: number | null;
}

/** HTTP request, response and progress of one call; the reducer holds its state. */
export interface CallContext {
  readonly callId: number;
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path without the service prefix. */
  readonly path: string;
  readonly callerId: string;
  readonly forwarded: boolean;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** End-to-end request headers, without content-length. */
  readonly headers: readonly string[];
  /** Complete body if it is short enough to buffer; null if it is streamed. */
  readonly body: Buffer | null;
  /** Content-Length of a streamed body; undefined for a chunked one. */
  readonly streamedBytes: number | undefined;
  readonly maxBodyBytes: number;
  /** True if the caller waits for 100 Continue before it sends the body. */
  readonly expectsContinue: boolean;
  readonly arrivedAtMs: number;
  /** Attempts in progress, by id. */
  readonly attempts: Map<number, RunningAttempt>;
  /** Attempts that were cancelled before they were started. */
  readonly cancelledIds: Set<number>;
  /** Attempt whose answer is sent to the caller. */
  answeringId: number | null;
  /** True once the answer was sent or its connection has closed. */
  answerEnded: boolean;
  /** True once the head of the answer was sent. */
  headSent: boolean;
  /** Range of the first answer, to which the offsets of a continuation are relative. */
  baseRange: ByteRange;
  /** Entity tag of the first answer, if it is strong. */
  etag: string | null;
  /** Body bytes sent to the caller. */
  sentBytes: number;
}

/** Attempt in progress, controlled by the reducer's effects. */
export interface RunningAttempt {
  /** Relays the answer to the caller. */
  useAnswer(): void;
  /** Closes the connection; the end is reported once the target has closed it too. */
  cancel(): void;
}
