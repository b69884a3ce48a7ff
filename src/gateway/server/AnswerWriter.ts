import type { ServerResponse } from 'node:http';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { copyEndToEnd } from '../../entry/server/Headers.js';
import { HTTP_WITHOUT_CHUNKS } from '../../runtime/AnswerBody.js';
import { noteKeptBytes } from '../../runtime/ConnectionGuard.js';
import { FaultBoundary } from '../../runtime/FaultBoundary.js';
import type { HttpConnections } from '../../runtime/HttpConnections.js';
import type { DecisionLog } from '../DispatchTypes.js';
import type { LongBody, BackendAnswer, WireProfile } from '../Types.js';
import { PEER_ANSWER_HEADER, PeerAnswer } from './ForwardMark.js';
import type { GatewayMetrics } from './GatewayMetrics.js';
import { HeldBytes } from './HeldBytes.js';
import { LongAnswer } from './LongAnswer.js';

/** Options of an {@link AnswerWriter}. */
export interface AnswerWriterOptions {
  readonly profile: WireProfile;
  /** True if only other gateways connect, which forward calls of their callers. */
  readonly servesPeers?: boolean;
  readonly metrics: GatewayMetrics;
  readonly log: DecisionLog;
  /** Connections of the callers. */
  readonly connections: HttpConnections;
}

/** Answer headers that are set anew instead of copied. */
const OWN_ANSWER_HEADERS = new Set(['content-length', PEER_ANSWER_HEADER]);

/**
 * Bytes of long answers in memory, of all connections of one port together: those that are held, and
 * those that are past their time limits and wait for their callers to read. A small part of 250 MB.
 */
const HELD_BYTES_MAX = 16 * 1024 * 1024;

/** Length that a backend server declared; undefined without one. */
function declaredLength(answer: BackendAnswer): string | undefined {
  for (let index = 0; index < answer.rawHeaders.length; index += 2) {
    if (answer.rawHeaders[index]!.toLowerCase() === 'content-length') {
      return answer.rawHeaders[index + 1];
    }
  }
  return undefined;
}

/** Writes answers to callers: those of backend servers, and errors of this host. */
export class AnswerWriter {
  private readonly held = new HeldBytes(HELD_BYTES_MAX);

  /** Long answers on their way; each is dropped once its call is answered otherwise. */
  private readonly long = new WeakMap<ServerResponse, LongAnswer>();

  constructor(private readonly options: AnswerWriterOptions) {}

  /**
   * Sends the answer of a backend server. A long body is streamed. It is held until it is complete if
   * answers ahead are due, or calls behind it on the connection have been passed on: an answer that
   * breaks off ends its connection, and theirs would be lost.
   */
  answer(response: ServerResponse, callId: string, answer: BackendAnswer): void {
    const { connections } = this.options;
    if (!connections.isDue(response)) {
      answer.longBody?.cancel();
      return;
    }
    if (answer.longBody) this.sendLong(response, callId, answer, answer.longBody);
    else {
      this.writeHead(response, answer, answer.body.length);
      response.end(answer.body);
    }
  }

  private sendLong(
    response: ServerResponse,
    callId: string,
    answer: BackendAnswer,
    longBody: LongBody,
  ): void {
    const { connections } = this.options;
    const mustWait = !response.socket || connections.hasAnswersBehind(response);
    const hasLength = declaredLength(answer) !== undefined;
    const mayBeStreamed = hasLength || response.req.httpVersion !== HTTP_WITHOUT_CHUNKS;
    const long = new LongAnswer({
      response,
      longBody,
      held: this.held,
      isHeld: mustWait || !mayBeStreamed,
      noteKept: (bytes) => noteKeptBytes(response.req, bytes),
      mayBeStreamed,
      writeHead: (bodyBytes) => this.writeHead(response, answer, bodyBytes),
      boundary: new FaultBoundary((error) => this.fail(response, callId, error)),
      onBroken: () => this.onBroken(response, callId),
    });
    this.long.set(response, long);
    connections.whenEnded(response, () => long.cancel());
    long.start();
  }

  private onBroken(response: ServerResponse, callId: string): void {
    const { connections, log } = this.options;
    log('answer_broken_off', { call: callId });
    if (response.headersSent) {
      connections.abort(response);
      return;
    }
    const detail = 'The answer of the backend server broke off.';
    this.refuse(response, callId, new EgretError(ErrorKind.OutcomeUnknown, detail));
  }

  /** Writes the head of a backend server's answer; `bodyBytes` is omitted for a body that is streamed. */
  private writeHead(response: ServerResponse, answer: BackendAnswer, bodyBytes?: number): void {
    const { connections } = this.options;
    const headers = copyEndToEnd(answer.rawHeaders, OWN_ANSWER_HEADERS);
    const { statusCode, statusMessage } = answer;
    if (bodyBytes === undefined || response.req.method === 'HEAD') {
      const declared = declaredLength(answer);
      if (declared !== undefined) headers.push('Content-Length', declared);
    } else if (statusCode !== 204 && statusCode !== 304) {
      headers.push('Content-Length', String(bodyBytes));
    }
    // Node's server adds chunks for a body without a length: the end of the connection marks none.
    if (connections.endsConnection(response)) headers.push('Connection', 'close');
    response.writeHead(statusCode, statusMessage, headers);
  }

  /**
   * Ends a call whose handling failed, and no other: with an error answer, or by closing its connection
   * if its answer has begun.
   */
  fail(response: ServerResponse, callId: string, error: unknown): void {
    const { connections, log } = this.options;
    log('call_crashed', { call: callId, detail: String(error) });
    this.long.get(response)?.cancel();
    const boundary = new FaultBoundary(() => connections.abort(response));
    const detail = 'The host failed while it handled the call.';
    const refusal = new EgretError(ErrorKind.OutcomeUnknown, detail);
    if (response.headersSent) connections.abort(response);
    else boundary.run(() => this.writeError(response, callId, refusal, PeerAnswer.Final));
  }

  /** Sends an error answer of this host; `peerAnswer` marks it for another gateway. */
  refuse(
    response: ServerResponse,
    callId: string,
    error: EgretError,
    peerAnswer = PeerAnswer.Unsent,
  ): void {
    const boundary = new FaultBoundary((fault) => this.fail(response, callId, fault));
    boundary.run(() => this.writeError(response, callId, error, peerAnswer));
  }

  private writeError(
    response: ServerResponse,
    callId: string,
    error: EgretError,
    peerAnswer: PeerAnswer,
  ): void {
    const { connections, metrics, profile, servesPeers, log } = this.options;
    metrics.noteOwnAnswer(error.statusCode, error.kind);
    if (error.kind === ErrorKind.NotFound || error.kind === ErrorKind.NotCurrent) {
      log('call_unrouted', { call: callId, kind: error.kind, detail: error.detail });
    }
    if (response.destroyed || response.headersSent) return;
    this.long.get(response)?.cancel();
    const text = JSON.stringify(error.toBody(callId));
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(Buffer.byteLength(text)),
    ];
    if (error.kind === ErrorKind.CustomerUnknown) {
      headers.push(...(profile.customers?.challengeHeaders ?? []));
    }
    if (error.outcome) headers.push('Egret-Outcome', error.outcome);
    if (servesPeers) {
      headers.push(PEER_ANSWER_HEADER, peerAnswer);
      headers.push(...profile.callIdHeaders(callId));
    }
    if (error.retryAfterMs !== undefined) {
      headers.push('Retry-After', profile.retryAfter(error.retryAfterMs));
    }
    if (connections.endsConnection(response)) headers.push('Connection', 'close');
    response.writeHead(error.statusCode, headers);
    response.end(text);
  }
}
