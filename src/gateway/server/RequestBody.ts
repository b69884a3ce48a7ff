import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from '../../runtime/BodyBuffer.js';
import { endBeyondLimit, noteKeptBytes } from '../../runtime/ConnectionGuard.js';
import { ConnectionLimit } from '../../runtime/ConnectionLimit.js';

/** Bodies up to this size are buffered, so that a call that did not run can be sent elsewhere. */
export const BUFFERED_REQUEST_MAX_BYTES = 512 * 1024;

/** Result of reading a request body. */
export type RequestBody =
  | { readonly type: 'complete'; readonly body: Buffer }
  /** Too long to buffer; the rest is still unread. */
  | { readonly type: 'long'; readonly body: Buffer }
  | { readonly type: 'too-large' }
  /** Neither complete nor too long to buffer within the time limit. */
  | { readonly type: 'late' }
  | { readonly type: 'broken' };

/** Limits of a request body. */
export interface RequestBodyLimits {
  readonly bodyBytesMax: number;
  /** Longest time until the body is complete or too long to buffer. */
  readonly timeoutMs: number;
}

const READERS = new WeakMap<IncomingMessage, RequestBodyReader>();

/**
 * Reads the body of a request from its arrival on, until it is complete or too long to buffer: chunks
 * that are not read at once are kept by the stream, each as an object of its own.
 *
 * @example
 * const reader = new RequestBodyReader(request);
 * const read = await reader.read({ bodyBytesMax: 64 * 1024 * 1024, timeoutMs: 1_500 });
 */
export class RequestBodyReader {
  private readonly buffer = new BodyBuffer();

  private bodyBytes = 0;

  private bodyBytesMax = Number.POSITIVE_INFINITY;

  private result: RequestBody | undefined;

  private onResult: ((result: RequestBody) => void) | undefined;

  constructor(private readonly request: IncomingMessage) {
    READERS.set(request, this);
    const { 'content-length': length = '0', 'transfer-encoding': encoding } = request.headers;
    if (Number(length) === 0 && encoding === undefined) {
      request.resume();
      this.result = { type: 'complete', body: Buffer.alloc(0) };
      return;
    }
    request.on('data', this.onData);
    request.once('end', () => this.finish({ type: 'complete', body: this.buffer.take() }));
    request.once('close', () => this.finish({ type: 'broken' }));
    // Starts the stream, so that it passes on the chunks that follow the head in the same read.
    request.read(0);
  }

  /** Resolves once the body is complete or too long to buffer, or its time limit has expired. */
  read({ bodyBytesMax, timeoutMs }: RequestBodyLimits): Promise<RequestBody> {
    this.bodyBytesMax = bodyBytesMax;
    const declaredBytes = Number(this.request.headers['content-length'] ?? 0);
    if (Math.max(declaredBytes, this.bodyBytes) > bodyBytesMax) {
      return Promise.resolve({ type: 'too-large' });
    }
    if (this.result) return Promise.resolve(this.result);
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.finish({ type: 'late' }), Math.max(0, timeoutMs));
      this.onResult = (result) => {
        clearTimeout(timer);
        resolve(result);
      };
    });
  }

  /** Leaves the rest of the body to others; one that an attempt streams is counted to its end. */
  release(): void {
    this.finish({ type: 'broken' });
    const isStreamed = this.request.listenerCount('data') > 1;
    if (!isStreamed) this.request.off('data', this.onData);
  }

  private readonly onData = (chunk: Buffer): void => {
    const { request, bodyBytesMax } = this;
    this.bodyBytes += chunk.length;
    if (this.result) {
      // An attempt streams the rest; this listener only counts it.
      if (this.bodyBytes > bodyBytesMax) endBeyondLimit(request, ConnectionLimit.Body);
      return;
    }
    this.buffer.append(chunk);
    noteKeptBytes(request, chunk.length);
    if (this.bodyBytes > bodyBytesMax) {
      this.finish({ type: 'too-large' });
    } else if (this.bodyBytes > BUFFERED_REQUEST_MAX_BYTES) {
      request.pause();
      this.finish({ type: 'long', body: this.buffer.take() });
    }
  };

  private finish(result: RequestBody): void {
    if (this.result) return;
    this.result = result;
    if (result.type !== 'long') {
      this.buffer.take();
      this.request.off('data', this.onData);
    }
    this.onResult?.(result);
  }
}

/**
 * Reads what is left of a body that no attempt took, so that the next request on the connection can
 * be read. A body that an attempt still sends to its backend server is left to it.
 *
 * @example
 * connections.whenEnded(response, () => readUnusedBody(request));
 */
export function readUnusedBody(request: IncomingMessage): void {
  READERS.get(request)?.release();
  if (request.listenerCount('data') === 0) request.resume();
}
