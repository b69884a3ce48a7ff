import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { HeaderName, MAX_JSON_BODY_BYTES } from '../common/Constants.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import type { HttpConnections } from './HttpConnections.js';
import { readBody } from './ReadBody.js';

const MS_PER_SECOND = 1000;

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, statusCode: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(statusCode, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Headers of an error answer. */
export function errorHeaders(error: EgretError, bodyBytes: number): Record<string, string> {
  const headers: Record<string, string> = {
    'Content-Type': 'application/json',
    'Content-Length': String(bodyBytes),
  };
  if (error.outcome) headers['Egret-Outcome'] = error.outcome;
  if (error.retryAfterMs !== undefined) {
    headers['Retry-After'] = String(Math.ceil(error.retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}

/** Sends an error answer with its kind, remedy and outcome. */
export function sendError(response: ServerResponse, error: EgretError, requestId?: string): void {
  const text = JSON.stringify(error.toBody(requestId));
  const headers = errorHeaders(error, Buffer.byteLength(text));
  if (requestId) headers['Egret-Request-Id'] = requestId;
  response.writeHead(error.statusCode, headers);
  response.end(text);
}

/**
 * Reads the JSON body of a request or an answer, of at most {@link MAX_JSON_BODY_BYTES} by default.
 *
 * @example
 * const { service } = (await readJson(request)) as { service: string };
 * @throws EgretError of kind body-too-large or bad-request
 */
export async function readJson(
  message: IncomingMessage,
  bodyBytesMax = MAX_JSON_BODY_BYTES,
): Promise<unknown> {
  const body = await readBody(message, bodyBytesMax);
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new EgretError(ErrorKind.BadRequest, 'The body is not a JSON document.');
  }
}

/** Reads the bearer token of a request; empty if there is none. */
export function bearerToken(request: IncomingMessage): string {
  const header = request.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}

/** Error kinds by the error code of Node's HTTP server. */
const PARSER_ERRORS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: ErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.SlowClient,
};

/**
 * Sends an error answer to requests that the HTTP parser rejects. If answers to earlier requests are
 * due on the connection, it ends after them without one: the error answer would take their place.
 */
export function answerParserErrors(server: Server, connections?: HttpConnections): void {
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    if (connections?.endAfterDueAnswers(socket)) return;
    const kind = PARSER_ERRORS[error.code ?? ''] ?? ErrorKind.BadRequest;
    const refusal = new EgretError(kind, `The request is malformed (${error.code ?? 'parser'}).`);
    const text = JSON.stringify(refusal.toBody());
    const headers = Object.entries(errorHeaders(refusal, Buffer.byteLength(text)))
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('');
    const head = `HTTP/1.1 ${refusal.statusCode} ${kind}\r\nConnection: close\r\n${headers}\r\n`;
    socket.end(head + text);
  });
}

/**
 * Lets a server answer clients that close their sending side behind a request; Node's server closes
 * such a connection without the answer. For servers whose answers take little work and time.
 *
 * @example
 * answerHalfClosed(server);
 */
export function answerHalfClosed(server: Server): void {
  Object.assign(server, { httpAllowHalfOpen: true });
}

/** Starts listening and returns the bound port. */
export function listen(server: Server, address: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.removeListener('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Closes a server and its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Returns a request header, or its first value if there are several. */
export function headerOf(request: IncomingMessage, name: HeaderName): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
