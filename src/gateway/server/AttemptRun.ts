import http, { type IncomingMessage } from 'node:http';
import { hasWholeBody, type AnswerBodyParts } from '../../runtime/AnswerBody.js';
import { AnswerGuard } from '../../runtime/AnswerGuard.js';
import { headFault } from '../../runtime/AnswerHead.js';
import { BodyBuffer } from '../../runtime/BodyBuffer.js';
import { watchReset } from '../../runtime/ConnectionReset.js';
import { FaultBoundary } from '../../runtime/FaultBoundary.js';
import type { BackendView } from '../BackendView.js';
import {
  AttemptResultType,
  type LongBody,
  type AttemptResult,
  type BackendNotice,
  type LimitReading,
  type WireProfile,
} from '../Types.js';

/** Request as it is sent to a backend server. */
export interface AttemptRequest {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** End-to-end headers, names and values in turn. */
  readonly rawHeaders: readonly string[];
  readonly callId: string;
  /** Part of the body received so far. */
  readonly body: Buffer;
  /** Rest of a body that is too long to buffer; such an attempt can't be repeated. */
  readonly bodyRest: IncomingMessage | null;
  readonly remainingMs: number;
  /** Called with the number of bytes of the answer that are kept, and with less than 0 for their end. */
  readonly noteKept?: (bytes: number) => void;
  /** Longest wait for a new connection; by default as long as for the answer. */
  readonly connectTimeoutMs?: number;
}

/** Receives events of an attempt other than its result. */
export interface AttemptObserver {
  /** A new connection to the backend server is open. */
  onConnect(): void;
  /** The request was created; its connection follows. */
  onRequest?(request: http.ClientRequest): void;
  /** The head of an answer to this attempt arrived. */
  onLimit(reading: LimitReading): void;
  /** A complete answer to this attempt, or a refusal of it, states something about further calls. */
  onNotice(notice: BackendNotice): void;
}

/** Answers up to this size are buffered, so that the call can be retried if one is truncated. */
const BUFFERED_ANSWER_MAX_BYTES = 256 * 1024;

/** Time after its deadline by which an answer that has begun must end. */
const ANSWER_GRACE_MS = 200;

/** Largest body of a refusal that is read, so that its connection can be used again. */
const REFUSAL_MAX_BYTES = 16 * 1024;

/** Longest wait for the end of such a body. */
const REFUSAL_END_TIMEOUT_MS = 250;

const EMPTY_BODY = Buffer.alloc(0);

/** Buffer of a connection to a backend server into which its answer is read. */
const READ_BUFFER_BYTES = 64 * 1024;

/** One request to a backend server and its answer. */
export class AttemptRun {
  readonly result: Promise<AttemptResult>;

  private settle!: (result: AttemptResult) => void;

  private readonly request: http.ClientRequest;

  private readonly guard: AnswerGuard;

  private readonly boundary = new FaultBoundary((error) => {
    this.fail(`fault: ${String(error)}`);
    this.abort();
  });

  private response: IncomingMessage | undefined;

  /** True once a byte may have left this host. */
  private sent = false;

  private cancelled = false;

  /** True after an error before the end of the answer; the parser may still report an end. */
  private broken = false;

  /** Bytes of the answer's body that were read. */
  private bodyBytes = 0;

  /** True past the time limit: an answer that has begun is read whether its reader keeps up or not. */
  private overdue = false;

  /** Reads on; set once the rest of a long answer has a reader. */
  private readOn: (() => void) | undefined;

  constructor(
    agent: http.Agent,
    private readonly profile: WireProfile,
    view: BackendView,
    private readonly attempt: AttemptRequest,
    private readonly observer: AttemptObserver,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    const { record } = view;
    const { method, target, remainingMs, rawHeaders, body, bodyRest } = attempt;
    const headers = [...rawHeaders];
    headers.push(...profile.attemptHeaders({ remainingMs, backendId: record.id }));
    if (!bodyRest && (body.length > 0 || method === 'POST' || method === 'PUT')) {
      headers.push('Content-Length', String(body.length));
    } else if (bodyRest) {
      const length = bodyRest.headers['content-length'];
      if (length !== undefined) headers.push('Content-Length', length);
      else headers.push('Transfer-Encoding', 'chunked');
    }
    this.request = http.request({
      host: record.address,
      port: record.port,
      method,
      path: target,
      agent,
      setHost: false,
      headers: headers as unknown as http.OutgoingHttpHeaders,
    });
    observer.onRequest?.(this.request);
    this.guard = new AnswerGuard(this.request);
    watchReset(this.request, () => {
      this.broken = true;
    });
    this.limitTime(remainingMs);
    attempt.noteKept?.(READ_BUFFER_BYTES);
    this.request.once('close', () => attempt.noteKept?.(-READ_BUFFER_BYTES));
    this.request.on('socket', (socket) => {
      if (!socket.connecting) {
        // A pooled connection may have been closed right before its reuse.
        this.sent = socket.writable;
        return;
      }
      const { connectTimeoutMs = Number.POSITIVE_INFINITY } = attempt;
      const timer = Number.isFinite(connectTimeoutMs)
        ? setTimeout(() => this.abort(new Error('connect timeout')), connectTimeoutMs)
        : undefined;
      socket.once('close', () => clearTimeout(timer));
      socket.once('connect', () => {
        clearTimeout(timer);
        this.sent = true;
        observer.onConnect();
      });
    });
    this.request.on('error', (error: NodeJS.ErrnoException) => {
      // Bytes that can't be parsed behind a complete answer don't affect it.
      if (this.response?.complete) return;
      this.broken = true;
      this.fail(error.code ?? error.message);
    });
    this.request.on(
      'response',
      this.boundary.wrap((response: IncomingMessage) => this.onResponse(response)),
    );
    if (body.length > 0) this.request.write(body);
    if (bodyRest) this.sendRest(bodyRest);
    else this.request.end();
  }

  cancel(): void {
    this.cancelled = true;
    this.settle({ type: AttemptResultType.Cancelled, reason: 'cancelled' });
    this.abort();
  }

  /** Closes the connection. Node's client drops what was not read then, and reports the end of it. */
  private abort(error?: Error): void {
    this.broken = true;
    this.request.destroy(error);
  }

  /**
   * Ends an answer that has not arrived shortly after its time limit. One that waits for its reader is
   * read in full by then, so that the limit counts only the time of the backend server.
   */
  private limitTime(remainingMs: number): void {
    let timer = setTimeout(() => {
      this.overdue = true;
      this.readOn?.();
      timer = setTimeout(() => {
        // What has arrived is read first: in a busy process, timers run before that.
        setImmediate(() => {
          if (!this.response?.complete) this.abort();
        });
      }, ANSWER_GRACE_MS);
    }, remainingMs);
    this.request.once('close', () => clearTimeout(timer));
  }

  private sendRest(bodyRest: IncomingMessage): void {
    bodyRest.pipe(this.request);
    this.request.once('response', (response) => {
      // The client stops writing once the answer is complete, so the rest can't be sent any more.
      response.once('end', () => {
        if (!this.request.writableEnded) this.request.destroy();
      });
    });
    this.request.once('close', () => {
      // An unread rest would block the caller's connection.
      bodyRest.unpipe(this.request);
      bodyRest.resume();
    });
  }

  private fail(reason: string): void {
    const type = this.sent ? AttemptResultType.Unknown : AttemptResultType.NotSent;
    this.settle({ type, reason });
  }

  private onResponse(response: IncomingMessage): void {
    this.response = response;
    const { statusCode = 0, headers } = response;
    const fault = headFault(response);
    if (fault !== undefined) {
      this.fail(`invalid answer, ${fault}`);
      this.abort();
      return;
    }
    const head = this.profile.readAnswer(statusCode, headers);
    // On a used connection, a refusal without an id may be that of an earlier probe, which has none.
    const isRefusalWithoutId =
      head.notRun && head.callId === undefined && !this.request.reusedSocket;
    if (head.callId !== this.attempt.callId && !isRefusalWithoutId) {
      this.settle({ type: AttemptResultType.Unknown, reason: 'answer to another call' });
      this.abort();
      return;
    }
    this.observer.onLimit(head.limit);
    if (head.notRun) {
      this.discard(response);
      this.observer.onNotice(head.notice);
      const reason = `not run, status ${statusCode}`;
      this.settle({ type: AttemptResultType.NotRun, reason, load: head.load });
      return;
    }
    this.collect(response, head);
  }

  /** Reads the rest of a refusal within limits. */
  private discard(response: IncomingMessage): void {
    let bodyBytes = 0;
    response.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length;
      if (bodyBytes > REFUSAL_MAX_BYTES) this.abort();
    });
    const timer = setTimeout(() => this.abort(), REFUSAL_END_TIMEOUT_MS);
    this.request.once('close', () => clearTimeout(timer));
  }

  /** True at the end of a body if all of it was read. */
  private isWhole(response: IncomingMessage): boolean {
    if (!response.complete || this.broken || this.cancelled) return false;
    return hasWholeBody(this.bodyParts(response), this.bodyBytes);
  }

  private bodyParts({ statusCode, headers }: IncomingMessage): AnswerBodyParts {
    return { statusCode, headers, method: this.attempt.method };
  }

  /** Buffers the body until it is complete or too long to buffer. */
  private collect(response: IncomingMessage, head: ReturnType<WireProfile['readAnswer']>): void {
    const buffer = new BodyBuffer();
    const { noteKept } = this.attempt;
    const release = () => noteKept?.(-buffer.length);
    const takeFirst = () => {
      release();
      return buffer.takeBlocks();
    };
    const answer = (body: Buffer, longBody: LongBody | null): AttemptResult => ({
      type: AttemptResultType.Answer,
      answer: {
        statusCode: response.statusCode ?? 0,
        statusMessage: response.statusMessage ?? '',
        rawHeaders: response.rawHeaders,
        authentic: head.authentic,
        load: head.load,
        body,
        longBody,
        receivedBytes: this.bodyBytes,
      },
    });
    const onBroken = () => {
      takeFirst();
      this.fail('answer cut short');
    };
    const onEnd = this.boundary.wrap(() => {
      if (!this.isWhole(response)) {
        onBroken();
        return;
      }
      this.observer.onNotice(head.notice);
      release();
      this.settle(answer(buffer.take(), null));
    });
    const onData = this.boundary.wrap((chunk: Buffer) => {
      this.guard.noteProgress();
      buffer.append(chunk);
      noteKept?.(chunk.length);
      this.bodyBytes += chunk.length;
      if (this.bodyBytes <= BUFFERED_ANSWER_MAX_BYTES) return;
      response.pause();
      response.off('data', onData);
      response.off('end', onEnd);
      this.settle(answer(EMPTY_BODY, this.longBodyOf(response, head.notice, takeFirst)));
    });
    response.on('data', onData);
    // Starts the stream, so that it passes on the chunks that follow the head in the same read.
    response.read(0);
    response.on('end', onEnd);
    response.on('error', onBroken);
    response.on('close', () => {
      if (!response.complete) onBroken();
    });
  }

  /** Body of a long answer; `takeFirst` returns the part that was received by now. */
  private longBodyOf(
    response: IncomingMessage,
    notice: BackendNotice,
    takeFirst: () => Buffer[],
  ): LongBody {
    return {
      read: ({ onData, onEnd, onBroken }) => {
        let open = true;
        const end = this.boundary.wrap((isWhole: boolean) => {
          if (!open) return;
          open = false;
          if (!isWhole) {
            onBroken();
            return;
          }
          this.observer.onNotice(notice);
          onEnd();
        });
        const onChunk = this.boundary.wrap((chunk: Buffer) => {
          this.guard.noteProgress();
          this.bodyBytes += chunk.length;
          if (!onData([chunk]) && !this.overdue) response.pause();
        });
        response.on('data', onChunk);
        response.on('end', () => end(this.isWhole(response)));
        response.on('error', () => end(false));
        response.on('close', () => end(false));
        this.readOn = () => response.resume();
        const first = takeFirst();
        // The connection may have ended before this call.
        if (response.destroyed) end(false);
        else if (this.boundary.run(() => onData(first)) || this.overdue) response.resume();
      },
      resume: () => response.resume(),
      cancel: () => {
        takeFirst();
        this.abort();
      },
    };
  }
}
