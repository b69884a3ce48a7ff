import type { IncomingMessage } from 'node:http';

/** Bodies up to this size are buffered, so that a call that did not run can be sent elsewhere. */
export const BUFFERED_REQUEST_MAX_BYTES = 512 * 1024;

/** Result of reading a request body. */
export type RequestBody =
  | { readonly type: 'complete'; readonly body: Buffer }
  /** Too long to buffer; the rest is still unread. */
  | { readonly type: 'long'; readonly body: Buffer }
  | { readonly type: 'too-large' }
  | { readonly type: 'broken' };

/**
 * Reads a request body until it is complete or too long to buffer.
 *
 * @example
 * const read = await readRequestBody(request, 64 * 1024 * 1024);
 */
export function readRequestBody(
  request: IncomingMessage,
  bodyBytesMax: number,
): Promise<RequestBody> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > bodyBytesMax) return Promise.resolve({ type: 'too-large' });
  const withoutBody = declared === 0 && request.headers['transfer-encoding'] === undefined;
  if (withoutBody) {
    request.resume();
    return Promise.resolve({ type: 'complete', body: Buffer.alloc(0) });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bodyBytes = 0;
    let finished = false;
    const finish = (result: RequestBody) => {
      if (finished) return;
      finished = true;
      request.removeAllListeners('data');
      resolve(result);
    };
    request.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      bodyBytes += chunk.length;
      if (bodyBytes > bodyBytesMax) finish({ type: 'too-large' });
      else if (bodyBytes > BUFFERED_REQUEST_MAX_BYTES) {
        request.pause();
        finish({ type: 'long', body: Buffer.concat(chunks) });
      }
    });
    request.once('end', () => finish({ type: 'complete', body: Buffer.concat(chunks) }));
    request.once('close', () => finish({ type: 'broken' }));
  });
}

/**
 * Reads what is left of a body that no attempt took, so that the next request on the connection can
 * be read. A body that an attempt still sends to its backend server is left to it.
 *
 * @example
 * connections.whenEnded(response, () => readUnusedBody(request));
 */
export function readUnusedBody(request: IncomingMessage): void {
  if (request.listenerCount('data') === 0) request.resume();
}
