import http from 'node:http';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { AnswerGuard } from './AnswerGuard.js';
import { headFault } from './AnswerHead.js';
import { watchReset } from './ConnectionReset.js';
import { readJson } from './HttpJson.js';

/** Options of {@link requestJson}. */
export interface JsonRequestOptions {
  readonly host: string;
  readonly port: number;
  /** Method; `GET` by default. */
  readonly method?: string;
  /** Path; `/` by default. */
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Document to send; none by default. */
  readonly body?: unknown;
  /** Longest time until the end of the answer; {@link DEFAULT_TIMEOUT_MS} by default. */
  readonly timeoutMs?: number;
  /** Longest answer that is read; that of {@link readJson} by default. */
  readonly bodyBytesMax?: number;
}

/** Status and document of an answer. */
export interface JsonAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

/** Longest time until the end of an answer. */
export const DEFAULT_TIMEOUT_MS = 12_000;

/**
 * Sends a request on a connection of its own and reads the JSON document of its answer. However much
 * the other end sends, time and memory are bounded: the whole answer must arrive within the timeout
 * and the size, and bytes that are no part of it end the request. An answer with an invalid head, or whose
 * connection was reset at the end of a body without a length, is rejected.
 *
 * @example
 * const { statusCode, body } = await requestJson({ host: '10.0.0.4', port: 7000, path: '/status' });
 * @throws EgretError of kind body-too-large or bad-request for the answer; Error without an answer
 */
export function requestJson(options: JsonRequestOptions): Promise<JsonAnswer> {
  const { timeoutMs = DEFAULT_TIMEOUT_MS, bodyBytesMax } = options;
  const { host, port, method = 'GET', path = '/' } = options;
  const text = options.body === undefined ? undefined : JSON.stringify(options.body);
  const headers = {
    ...options.headers,
    ...(text !== undefined && {
      'Content-Type': 'application/json',
      'Content-Length': String(Buffer.byteLength(text)),
    }),
  };
  return new Promise((resolve, reject) => {
    const request = http.request({ host, port, method, path, headers, agent: false });
    const guard = new AnswerGuard(request);
    const timer = setTimeout(() => {
      const error = new EgretError(ErrorKind.DeadlineExceeded, `No answer in ${timeoutMs} ms.`);
      request.destroy(error);
      reject(error);
    }, timeoutMs);
    request.once('close', () => clearTimeout(timer));
    request.on('error', reject);
    const failAnswer = (detail: string) => reject(new EgretError(ErrorKind.BadRequest, detail));
    watchReset(request, () => failAnswer('A body without a length did not end in order.'));
    request.on('response', (response) => {
      const fault = headFault(response);
      if (fault !== undefined) {
        failAnswer(`The head of the answer is invalid: ${fault}.`);
        request.destroy();
        return;
      }
      response.on('data', () => guard.noteProgress());
      readJson(response, bodyBytesMax)
        .then((body) => resolve({ statusCode: response.statusCode ?? 0, body }))
        .catch((error: unknown) => {
          reject(error instanceof Error ? error : new Error(String(error)));
          request.destroy();
        });
    });
    request.end(text);
  });
}
