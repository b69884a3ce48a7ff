import type { IncomingMessage, ServerResponse } from 'node:http';
import { v4 as uuidV4 } from 'uuid';
import { HeaderName } from '../../common/Constants.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { BodyBuffer } from '../../runtime/BodyBuffer.js';
import { noteKeptBytes } from '../../runtime/ConnectionGuard.js';
import { fingerprintOf } from '../../runtime/Fingerprint.js';
import { headerOf } from '../../runtime/HttpJson.js';
import { requestHeadFault } from '../../runtime/RequestHead.js';
import type { ArrivedCall } from '../Types.js';
import type { CallContext } from './CallContext.js';
import { requestHeaders } from './Headers.js';

/** Bodies up to this size are buffered, so that they can be sent again. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

const MAX_TIMEOUT_MS = 3_600_000;
/** Length to which longer caller ids are truncated. */
const MAX_CALLER_ID_LENGTH = 64;
const EMPTY_BODY = Buffer.alloc(0);

/** Origin, arrival time and limits of a call that is received. */
export interface IntakeOptions {
  readonly callId: number;
  readonly nowMs: number;
  /** Peer that forwarded the call; null if the caller sent it. */
  readonly peerId: string | null;
  readonly expectsContinue: boolean;
  /** Longest time without data within a body. */
  readonly bodyIdleMs: number;
  /** Largest body of a service; undefined for an unknown service. */
  readonly maxBodyBytesOf: (service: string) => number | undefined;
}

/** Received call: the event data for the reducer and the context for the server. */
export interface ReceivedCall {
  readonly call: ArrivedCall;
  readonly context: CallContext;
}

/** Splits `/service/path` into service and path. */
function splitPath(url: string): { service: string; path: string } {
  const end = url.slice(1).search(/[/?]/);
  if (end < 0) return { service: url.slice(1), path: '/' };
  const rest = url.slice(1 + end);
  return { service: url.slice(1, 1 + end), path: rest.startsWith('/') ? rest : `/${rest}` };
}

function parseTimeoutMs(text: string | undefined): number | null {
  if (text === undefined) return null;
  const timeoutMs = Number(text);
  if (Number.isInteger(timeoutMs) && timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS) {
    return timeoutMs;
  }
  const detail = `Egret-Timeout-Ms must be an integer from 1 to ${MAX_TIMEOUT_MS}.`;
  throw new EgretError(ErrorKind.BadRequest, detail);
}

/** Reads a short body of known length; rejects if the client pauses for too long. */
function readBody(request: IncomingMessage, bodyBytes: number, idleMs: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const buffer = new BodyBuffer();
    const fail = (kind: ErrorKind, detail: string) => reject(new EgretError(kind, detail));
    request.setTimeout(idleMs, () => fail(ErrorKind.SlowClient, 'Reading the body timed out.'));
    request.on('data', (chunk: Buffer) => {
      buffer.append(chunk);
      noteKeptBytes(request, chunk.length);
    });
    request.read(0);
    request.on('error', () => fail(ErrorKind.BadRequest, 'The connection closed mid-body.'));
    request.on('end', () => {
      request.setTimeout(0);
      const body = buffer.take();
      if (body.length === bodyBytes) resolve(body);
      else fail(ErrorKind.BadRequest, 'The body is shorter than Content-Length.');
    });
  });
}

/** Length of the body; undefined for a chunked one. */
function contentLength(request: IncomingMessage): number | undefined {
  if (request.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(request.headers['content-length'] ?? 0);
}

/** Creates the call and its context; the body is null if it is streamed. */
function createCall(
  request: IncomingMessage,
  response: ServerResponse,
  options: IntakeOptions,
  body: Buffer | null,
  streamedBytes: number | undefined,
): ReceivedCall {
  const { callId, nowMs, peerId, expectsContinue } = options;
  const url = request.url ?? '/';
  const method = request.method ?? 'GET';
  const { service, path } = splitPath(url);
  const forwarded = peerId !== null;
  const callerHeader = headerOf(request, HeaderName.Caller)?.slice(0, MAX_CALLER_ID_LENGTH);
  const callerId = callerHeader ?? request.socket.remoteAddress ?? '';
  const call: ArrivedCall = {
    callId,
    service,
    method,
    idempotencyKey: headerOf(request, HeaderName.IdempotencyKey) ?? null,
    fingerprint: fingerprintOf(method, url, body, streamedBytes),
    timeoutMs: parseTimeoutMs(headerOf(request, HeaderName.TimeoutMs)),
    callerId,
    forwarded,
    replayable: body !== null,
  };
  const forwardedRequestId = forwarded ? headerOf(request, HeaderName.RequestId) : undefined;
  const context: CallContext = {
    callId,
    requestId: forwardedRequestId ?? uuidV4(),
    service,
    method,
    path,
    callerId,
    forwarded,
    request,
    response,
    headers: requestHeaders(request.rawHeaders),
    body,
    streamedBytes,
    maxBodyBytes: options.maxBodyBytesOf(service) ?? 0,
    expectsContinue,
    arrivedAtMs: nowMs,
    attempts: new Map(),
    cancelledIds: new Set(),
    answeringId: null,
    answerEnded: false,
    headSent: false,
    baseRange: { firstByte: 0, lastByte: null },
    etag: null,
    sentBytes: 0,
  };
  return { call, context };
}

/**
 * Receives a call. A short body is read first; a call without a body, or with a streamed one, is
 * returned at once.
 *
 * @throws EgretError of kind bad-request, body-too-large, slow-client or unknown-service
 */
export function receiveCall(
  request: IncomingMessage,
  response: ServerResponse,
  options: IntakeOptions,
): ReceivedCall | Promise<ReceivedCall> {
  const fault = requestHeadFault(request);
  if (fault !== undefined) {
    throw new EgretError(ErrorKind.BadRequest, `The ${fault} of the request is malformed.`);
  }
  const url = request.url ?? '';
  if (!url.startsWith('/')) {
    throw new EgretError(ErrorKind.BadRequest, 'The request target must be a path.');
  }
  const { service } = splitPath(url);
  const maxBodyBytes = options.maxBodyBytesOf(service);
  const bodyBytes = contentLength(request);
  if (bodyBytes === 0) return createCall(request, response, options, EMPTY_BODY, 0);
  if (maxBodyBytes === undefined) {
    throw new EgretError(ErrorKind.UnknownService, `No service ${service}.`);
  }
  if (bodyBytes !== undefined && bodyBytes > maxBodyBytes) {
    throw new EgretError(ErrorKind.BodyTooLarge, `The body is longer than ${maxBodyBytes} bytes.`);
  }
  if (bodyBytes === undefined || bodyBytes > MAX_BUFFERED_BODY_BYTES) {
    return createCall(request, response, options, null, bodyBytes);
  }
  if (options.expectsContinue) response.writeContinue();
  return readBody(request, bodyBytes, options.bodyIdleMs).then((body) =>
    createCall(request, response, options, body, body.length),
  );
}
