import type { ServerResponse } from 'node:http';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { copyEndToEnd } from '../../entry/server/Headers.js';
import type { HttpConnections } from '../../runtime/HttpConnections.js';
import type { DecisionLog } from '../DispatchTypes.js';
import type { AnswerRest, AnswerRestHandlers, BackendAnswer, WireProfile } from '../Types.js';
import { PEER_ANSWER_HEADER, PeerAnswer } from './ForwardMark.js';
import type { GatewayMetrics } from './GatewayMetrics.js';

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
 * Bytes of long answers that are held until they are complete, since calls behind them on their
 * connections have been passed on; of all connections together. A small part of 250 MB.
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
  private heldBytes = 0;

  constructor(private readonly options: AnswerWriterOptions) {}

  /**
   * Sends the answer of a backend server. A long body is streamed, or held until it is complete if
   * calls behind it on the connection have been passed on: an answer that breaks off ends its
   * connection, and theirs would be lost.
   */
  answer(response: ServerResponse, callId: string, answer: BackendAnswer): void {
    const { connections } = this.options;
    if (!connections.isDue(response)) {
      answer.rest?.cancel();
      return;
    }
    if (answer.rest && answer.framed && connections.hasAnswersBehind(response)) {
      this.hold(response, callId, answer, answer.rest);
    } else this.send(response, answer);
  }

  private send(response: ServerResponse, answer: BackendAnswer): void {
    const { connections } = this.options;
    const headers = copyEndToEnd(answer.rawHeaders, OWN_ANSWER_HEADERS);
    const { body, rest } = answer;
    const declared = declaredLength(answer);
    if (rest) {
      if (declared !== undefined) headers.push('Content-Length', declared);
    } else if (response.req.method === 'HEAD') {
      if (declared !== undefined) headers.push('Content-Length', declared);
    } else if (answer.statusCode !== 204 && answer.statusCode !== 304 && answer.framed) {
      headers.push('Content-Length', String(body.length));
    }
    // It is unknown here whether an unframed body is complete, so no framing may mark its end.
    if (!answer.framed) {
      response.useChunkedEncodingByDefault = false;
      connections.endWith(response);
    } else if (connections.endsConnection(response)) headers.push('Connection', 'close');
    response.writeHead(answer.statusCode, answer.statusMessage, headers);
    if (!rest) {
      response.end(body);
      return;
    }
    response.write(body);
    response.on('drain', () => rest.resume());
    connections.whenEnded(response, (closedBy) => {
      if (closedBy) rest.cancel();
    });
    rest.read({
      onData: (chunk) => response.write(chunk),
      onEnd: () => response.end(),
      // A truncated answer must not look complete; without framing, only a reset marks it.
      onBroken: () => connections.abort(response, { reset: !answer.framed }),
    });
  }

  /** Sends a long answer once it is complete, or streams it once too many bytes are held. */
  private hold(
    response: ServerResponse,
    callId: string,
    answer: BackendAnswer,
    rest: AnswerRest,
  ): void {
    const { connections, log } = this.options;
    const chunks: Buffer[] = [];
    let ownBytes = 0;
    let handlers: AnswerRestHandlers | undefined;
    const note = (chunk: Buffer) => {
      chunks.push(chunk);
      ownBytes += chunk.length;
      this.heldBytes += chunk.length;
    };
    const release = () => {
      this.heldBytes -= ownBytes;
      ownBytes = 0;
      return Buffer.concat(chunks);
    };
    note(answer.body);
    connections.whenEnded(response, (closedBy) => {
      release();
      if (closedBy) rest.cancel();
    });
    const streamed: AnswerRest = {
      read: (received) => {
        handlers = received;
      },
      resume: () => rest.resume(),
      cancel: () => rest.cancel(),
    };
    rest.read({
      onData: (chunk) => {
        if (handlers) return handlers.onData(chunk);
        note(chunk);
        if (this.heldBytes <= HELD_BYTES_MAX) return true;
        this.send(response, { ...answer, body: release(), rest: streamed });
        return !response.writableNeedDrain;
      },
      onEnd: () => {
        if (handlers) handlers.onEnd();
        else this.send(response, { ...answer, body: release(), rest: null });
      },
      onBroken: () => {
        if (handlers) {
          handlers.onBroken();
          return;
        }
        release();
        log('answer_broken_off', { call: callId });
        const detail = 'The answer of the backend server broke off.';
        this.refuse(response, callId, new EgretError(ErrorKind.OutcomeUnknown, detail));
      },
    });
  }

  /** Sends an error answer of this host; `peerAnswer` marks it for another gateway. */
  refuse(
    response: ServerResponse,
    callId: string,
    error: EgretError,
    peerAnswer = PeerAnswer.Unsent,
  ): void {
    const { connections, metrics, profile, servesPeers, log } = this.options;
    metrics.noteOwnAnswer(error.statusCode, error.kind);
    if (error.kind === ErrorKind.NotFound || error.kind === ErrorKind.NotCurrent) {
      log('call_unrouted', { call: callId, kind: error.kind, detail: error.detail });
    }
    if (response.destroyed || response.headersSent) return;
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
