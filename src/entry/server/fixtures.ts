import type http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { EntryEffectType, type TargetKind } from '../Types.js';
import { AttemptRunner, type AttemptEnd } from './AttemptRunner.js';
import type { CallContext } from './CallContext.js';

const HOST = '127.0.0.1';

/** Creates a call without a caller's connection, for tests. */
function createCall(): CallContext {
  const socket = {} as Socket;
  return {
    callId: 1,
    requestId: 'request-1',
    service: 'ledger',
    method: 'GET',
    path: '/records/1',
    callerId: 'caller',
    forwarded: false,
    request: { socket } as IncomingMessage,
    response: { destroyed: false } as ServerResponse,
    headers: ['Host', 'ledger'],
    body: Buffer.alloc(0),
    streamedBytes: 0,
    maxBodyBytes: 0,
    expectsContinue: false,
    arrivedAtMs: 0,
    attempts: new Map(),
    cancelledIds: new Set(),
    answeringId: null,
    answerEnded: false,
    headSent: false,
    baseRange: { firstByte: 0, lastByte: null },
    etag: null,
    sentBytes: 0,
  };
}

/** Sends one attempt to a target and returns how it ended. */
export function runAttempt(kind: TargetKind, port: number, agent: http.Agent): Promise<AttemptEnd> {
  return new Promise((resolve) => {
    const runner = new AttemptRunner({
      effect: {
        type: EntryEffectType.StartAttempt,
        callId: 1,
        attemptId: 1,
        target: { kind, port, id: 'target', address: HOST, connectionsMax: 1 },
        timeoutMs: 1_000,
        attemptNumber: 1,
        record: false,
        resume: null,
      },
      call: createCall(),
      agent,
      ticket: '',
      selfId: 'entry-0',
      onHeaders: () => runner.cancel(),
      onEnded: resolve,
      poolStatus: () => null,
      endsConnection: () => false,
    });
  });
}
