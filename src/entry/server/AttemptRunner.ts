import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { HeaderName, MAX_RECORDED_BODY_BYTES } from '../../common/Constants.js';
import { Outcome } from '../../common/Enums.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import type { ReplayAnswer } from '../../common/Messages.js';
import { hasWholeBody, type AnswerBodyParts } from '../../runtime/AnswerBody.js';
import { AnswerGuard } from '../../runtime/AnswerGuard.js';
import { headFault } from '../../runtime/AnswerHead.js';
import { watchReset } from '../../runtime/ConnectionReset.js';
import {
  AttemptResult,
  TargetKind,
  type PoolStatus,
  type ResumePoint,
  type StartAttemptEffect,
} from '../Types.js';
import type { CallContext, RunningAttempt } from './CallContext.js';
import { answerHeaders, formatPoolStatus, POOL_HEADER } from './Headers.js';

/** End of an attempt, as reported to the reducer. */
export interface AttemptEnd {
  readonly result: AttemptResult;
  readonly statusCode: number;
  readonly resume: ResumePoint | null;
  readonly answer: ReplayAnswer | null;
  readonly peerStatus: PoolStatus | null;
  readonly peerRefusal: EgretError | null;
}

/** Options of an {@link AttemptRunner}. */
export interface AttemptRunnerOptions {
  readonly effect: StartAttemptEffect;
  readonly call: CallContext;
  readonly agent: http.Agent;
  /** Credential for a peer; empty for a backend server. */
  readonly ticket: string;
  readonly selfId: string;
  readonly onHeaders: () => void;
  readonly onEnded: (end: AttemptEnd) => void;
  /** True if the answer must carry `Connection: close`. */
  readonly endsConnection: () => boolean;
  /** Returns the status of this host's pool, sent with the answers to forwarded calls. */
  readonly poolStatus: () => PoolStatus | null;
}

const OK_STATUS = 200;
const PARTIAL_STATUS = 206;
const UNAVAILABLE_STATUS = 503;

const CONTENT_RANGE = /^bytes (\d+)-(\d+)\//;

/** An answer without data for this long counts as truncated. */
const ANSWER_IDLE_TIMEOUT_MS = 30_000;

/** A call whose streamed body makes no progress for this long is aborted. */
const BODY_IDLE_TIMEOUT_MS = 10_000;

/** Time that a cancelled attempt waits for the target to close before it is destroyed. */
const CANCEL_CLOSE_TIMEOUT_MS = 500;

/** Largest refusal body that is read; the connection is closed beyond it. */
const MAX_REFUSAL_BYTES = 16 * 1024;

/** Longest wait for the end of a refusal body; the call waits meanwhile. */
const REFUSAL_END_TIMEOUT_MS = 100;

/** Parses the Content-Range header of a partial answer. */
function parseContentRange(header: string | undefined) {
  const match = CONTENT_RANGE.exec(header ?? '');
  return match ? { firstByte: Number(match[1]), lastByte: Number(match[2]) } : undefined;
}

/** Parses the pool status header of an answer to a forwarded call. */
function parsePoolStatus(header: string | string[] | undefined): PoolStatus | null {
  if (typeof header !== 'string') return null;
  const [freeSlots, slots, queued] = header.split(',').map(Number);
  if (freeSlots === undefined || slots === undefined || queued === undefined) return null;
  return { freeSlots, slots, queued };
}

/** Sends one attempt of a call to a backend server or a peer and relays its answer. */
export class AttemptRunner implements RunningAttempt {
  private readonly request: ClientRequest;

  private readonly guard: AnswerGuard;

  private answer: IncomingMessage | undefined;

  /** True once a byte of the request may have been written. */
  private sent = false;

  private cancelled = false;

  /** True once the target has reported that the request did not run. */
  private refused = false;

  /** True once the connection was reset behind an answer without a length, which looks complete. */
  private reset = false;

  /** True once this host has given the request up; the parser may still report an end. */
  private aborted = false;

  /** Bytes of the answer's body that were read. */
  private bodyBytes = 0;

  /** True once the answer is relayed to the caller. */
  private used = false;

  private ended = false;

  private readonly chunks: Buffer[] = [];

  private readonly refusalChunks: Buffer[] = [];

  private chunkBytes = 0;

  private cancelTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AttemptRunnerOptions) {
    const { effect, call, agent } = options;
    const { target } = effect;
    const prefix = target.kind === TargetKind.Peer ? `/${call.service}` : '';
    this.request = http.request({
      host: target.address,
      port: target.port,
      method: call.method,
      path: `${prefix}${call.path}`,
      headers: this.buildHeaders() as unknown as http.OutgoingHttpHeaders,
      agent,
    });
    this.guard = new AnswerGuard(this.request);
    watchReset(this.request, () => {
      this.reset = true;
    });
    this.watchSocket();
    this.request.on('response', (answer) => this.onResponse(answer));
    this.request.on('error', () => this.onConnectionLost());
    this.request.on('close', () => this.onConnectionLost());
    this.writeBody();
  }

  useAnswer(): void {
    const { call } = this.options;
    const { answer } = this;
    if (!answer) return;
    this.used = true;
    if (!call.headSent) this.sendHead(answer);
    answer.on('data', (chunk: Buffer) => this.onData(answer, chunk));
    answer.setTimeout(ANSWER_IDLE_TIMEOUT_MS, () => this.abort());
  }

  cancel(): void {
    if (this.ended || this.cancelled) return;
    this.cancelled = true;
    const { socket } = this.request;
    if (!this.sent || !socket) {
      this.abort();
      return;
    }
    // The slot is freed once the target has closed too: by then it has detected the cancellation.
    this.answer?.resume();
    socket.end();
    this.cancelTimer = setTimeout(() => this.abort(), CANCEL_CLOSE_TIMEOUT_MS);
  }

  /** Request headers of this attempt, as a flat list of names and values like `rawHeaders`. */
  private buildHeaders(): string[] {
    const { effect, call, ticket, selfId } = this.options;
    const headers = [...call.headers];
    headers.push('Egret-Request-Id', call.requestId);
    headers.push('Egret-Timeout-Ms', String(effect.timeoutMs));
    headers.push('Egret-Attempt', String(effect.attemptNumber));
    if (effect.target.kind === TargetKind.Peer) {
      headers.push('Egret-Peer', `${selfId} ${ticket}`, 'Egret-Caller', call.callerId);
    }
    if (effect.resume) {
      const first = call.baseRange.firstByte + effect.resume.receivedBytes;
      const last = call.baseRange.lastByte ?? '';
      const rangeIndex = headers.findIndex(
        (name, index) => index % 2 === 0 && name.toLowerCase() === 'range',
      );
      if (rangeIndex >= 0) headers.splice(rangeIndex, 2);
      headers.push('Range', `bytes=${first}-${last}`, 'If-Range', effect.resume.etag);
    }
    this.pushBodyHeaders(headers);
    return headers;
  }

  private pushBodyHeaders(headers: string[]): void {
    const { call } = this.options;
    if (call.body === null) {
      if (call.streamedBytes === undefined) headers.push('Transfer-Encoding', 'chunked');
      else headers.push('Content-Length', String(call.streamedBytes));
    } else if (call.body.length > 0 || call.method === 'POST' || call.method === 'PUT') {
      headers.push('Content-Length', String(call.body.length));
    }
  }

  private watchSocket(): void {
    this.request.once('socket', (socket) => {
      if (!socket.connecting) {
        this.sent = true;
        return;
      }
      socket.once('connect', () => {
        this.sent = true;
      });
    });
  }

  private writeBody(): void {
    const { call } = this.options;
    if (call.body !== null) {
      this.request.end(call.body.length > 0 ? call.body : undefined);
      return;
    }
    let bodyBytes = 0;
    call.request.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length;
      if (bodyBytes > call.maxBodyBytes) {
        call.request.destroy();
        this.abort();
      }
    });
    if (call.expectsContinue) call.response.writeContinue();
    // A caller that stops sending must not keep a slot occupied.
    call.request.setTimeout(BODY_IDLE_TIMEOUT_MS, () => call.request.destroy());
    call.request.once('end', () => call.request.setTimeout(0));
    call.request.once('error', () => this.abort());
    call.request.pipe(this.request);
  }

  private onResponse(answer: IncomingMessage): void {
    if (headFault(answer) !== undefined) {
      this.abort();
      return;
    }
    const statusCode = answer.statusCode ?? 0;
    this.answer = answer;
    const outcome = answer.headers[HeaderName.Outcome];
    if (statusCode === UNAVAILABLE_STATUS && outcome === Outcome.NotRun) {
      this.readRefusal(answer);
      return;
    }
    if (this.cancelled) {
      answer.resume();
      return;
    }
    if (!this.continuesAnswer(answer)) {
      this.end(AttemptResult.Truncated);
      this.abort();
      return;
    }
    answer.on('end', () => this.onAnswerEnd(answer));
    answer.on('close', () => this.onConnectionLost());
    answer.on('error', () => this.onConnectionLost());
    this.options.onHeaders();
  }

  /** True for a first answer, and for a continuation that starts where the last one ended. */
  private continuesAnswer(answer: IncomingMessage): boolean {
    const { call, effect } = this.options;
    if (!effect.resume) return true;
    const range = parseContentRange(answer.headers['content-range']);
    return (
      answer.statusCode === PARTIAL_STATUS &&
      answer.headers.etag === effect.resume.etag &&
      range?.firstByte === call.baseRange.firstByte + effect.resume.receivedBytes
    );
  }

  private sendHead(answer: IncomingMessage): void {
    const { call } = this.options;
    const statusCode = answer.statusCode ?? 0;
    const range =
      statusCode === PARTIAL_STATUS
        ? parseContentRange(answer.headers['content-range'])
        : undefined;
    call.baseRange = range ?? { firstByte: 0, lastByte: null };
    const { etag } = answer.headers;
    const resumable = statusCode === OK_STATUS || range !== undefined;
    call.etag = resumable && etag?.startsWith('"') ? etag : null;
    call.headSent = true;
    if (call.response.destroyed || call.response.headersSent) return;
    const headers = answerHeaders(answer.rawHeaders);
    headers.push('Egret-Request-Id', call.requestId);
    const status = call.forwarded ? this.options.poolStatus() : null;
    if (status) headers.push('Egret-Pool', formatPoolStatus(status));
    if (this.options.endsConnection()) headers.push('Connection', 'close');
    call.response.writeHead(statusCode, headers as unknown as http.OutgoingHttpHeaders);
  }

  private onData(answer: IncomingMessage, chunk: Buffer): void {
    const { call, effect } = this.options;
    this.guard.noteProgress();
    this.bodyBytes += chunk.length;
    call.sentBytes += chunk.length;
    if (effect.record && this.chunkBytes <= MAX_RECORDED_BODY_BYTES) {
      this.chunkBytes += chunk.length;
      this.chunks.push(chunk);
    }
    if (call.response.destroyed || call.response.writableEnded) return;
    if (call.response.write(chunk)) return;
    answer.pause();
    call.response.once('drain', () => answer.resume());
  }

  private onAnswerEnd(answer: IncomingMessage): void {
    if (!answer.complete) return;
    if (this.cancelled) this.end(AttemptResult.Cancelled);
    else this.end(this.isWhole(answer) ? AttemptResult.Completed : AttemptResult.Truncated);
  }

  /** True at the end of a complete answer if all of it was read. */
  private isWhole(answer: IncomingMessage): boolean {
    if (this.reset || this.aborted) return false;
    return hasWholeBody(this.bodyParts(answer), this.bodyBytes);
  }

  private bodyParts({ statusCode, headers }: IncomingMessage): AnswerBodyParts {
    return { statusCode, headers, method: this.options.call.method };
  }

  /** Closes the connection. Node's client drops what was not read then, and reports the end of it. */
  private abort(): void {
    this.aborted = true;
    this.request.destroy();
  }

  /** Ends the attempt if the connection was lost before the answer was complete. */
  private onConnectionLost(): void {
    if (this.ended) return;
    // The end of a complete answer follows once its body has been read.
    if (this.answer?.complete && !this.answer.destroyed) return;
    if (this.refused) this.endRefused();
    else if (this.cancelled) this.end(AttemptResult.Cancelled);
    else if (this.answer) this.end(AttemptResult.Truncated);
    else this.end(this.sent ? AttemptResult.Reset : AttemptResult.NotSent);
  }

  /** Reads a refusal, which guarantees that the request did not run. */
  private readRefusal(answer: IncomingMessage): void {
    this.refused = true;
    let bodyBytes = 0;
    answer.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length;
      if (bodyBytes <= MAX_REFUSAL_BYTES) this.refusalChunks.push(chunk);
      else this.abort();
    });
    if (this.options.effect.target.kind === TargetKind.Backend) {
      // Backend servers do not echo the id of a request, so that a second copy of the refusal on this
      // connection could not be told from the answer to the next request.
      const { socket } = answer;
      answer.on('end', () => socket.destroy());
    }
    answer.on('close', () => this.endRefused());
    const timer = setTimeout(() => this.abort(), REFUSAL_END_TIMEOUT_MS);
    this.request.once('close', () => clearTimeout(timer));
  }

  private endRefused(): void {
    const isPeer = this.options.effect.target.kind === TargetKind.Peer;
    const refusal = isPeer ? this.parseRefusal(Buffer.concat(this.refusalChunks)) : null;
    this.end(AttemptResult.Shed, refusal);
  }

  private parseRefusal(bytes: Buffer): EgretError {
    const retryAfter = Number(this.answer?.headers['retry-after'] ?? Number.NaN);
    const retryAfterMs = Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined;
    try {
      const body = JSON.parse(bytes.toString('utf8')) as { kind: ErrorKind; message: string };
      const isKnownKind = Object.values(ErrorKind).includes(body.kind);
      return new EgretError(isKnownKind ? body.kind : ErrorKind.Overloaded, String(body.message), {
        retryAfterMs,
      });
    } catch {
      return new EgretError(ErrorKind.Overloaded, 'A peer refused the call.', { retryAfterMs });
    }
  }

  private recordedAnswer(result: AttemptResult): ReplayAnswer | null {
    const { effect } = this.options;
    if (!effect.record || !this.used || !this.answer) return null;
    if (result !== AttemptResult.Completed) return null;
    if (this.chunkBytes > MAX_RECORDED_BODY_BYTES) return null;
    return {
      statusCode: this.answer.statusCode ?? 0,
      rawHeaders: answerHeaders(this.answer.rawHeaders),
      body: Buffer.concat(this.chunks),
    };
  }

  private end(result: AttemptResult, peerRefusal: EgretError | null = null): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.cancelTimer);
    const { call } = this.options;
    const etag = result === AttemptResult.Truncated ? call.etag : null;
    this.options.onEnded({
      result,
      statusCode: this.answer?.statusCode ?? 0,
      resume: etag === null ? null : { etag, receivedBytes: call.sentBytes },
      answer: this.recordedAnswer(result),
      peerStatus: parsePoolStatus(this.answer?.headers[POOL_HEADER]),
      peerRefusal,
    });
  }
}
