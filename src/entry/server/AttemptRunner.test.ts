import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { connectNarrow } from '../../../standin/NarrowConnection.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { AttemptResult, EntryEffectType, TargetKind, type StartAttemptEffect } from '../Types.js';
import { AttemptRunner, type AttemptEnd } from './AttemptRunner.js';
import type { CallContext } from './CallContext.js';
import { CountingAgent } from './CountingAgent.js';

const backend = new RawBackend(() => {});
const agent = new CountingAgent({ keepAlive: true, scheduling: 'lifo' }, () => {});

/** Response to a caller; by default, its buffer is full from the first byte on. */
class StandinResponse extends EventEmitter {
  statusCode = 0;

  body = '';

  readonly destroyed = false;

  readonly headersSent = false;

  readonly writableEnded = false;

  private readonly isFull: boolean;

  constructor({ isFull = true } = {}) {
    super();
    this.isFull = isFull;
  }

  writeHead(statusCode: number): void {
    this.statusCode = statusCode;
  }

  write(chunk: Buffer): boolean {
    this.body += chunk.toString();
    return !this.isFull;
  }
}

function createCall(response: StandinResponse, changes: Partial<CallContext> = {}): CallContext {
  return {
    callId: 1,
    requestId: 'r-1',
    service: 'ledger',
    method: 'POST',
    path: '/x',
    callerId: 'caller',
    forwarded: false,
    request: new EventEmitter() as IncomingMessage,
    response: response as unknown as ServerResponse,
    headers: [],
    body: Buffer.alloc(0),
    streamedBytes: undefined,
    maxBodyBytes: 1_000,
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
    ...changes,
  };
}

function createEffect(changes: Partial<StartAttemptEffect> = {}): StartAttemptEffect {
  return {
    type: EntryEffectType.StartAttempt,
    callId: 1,
    attemptId: 1,
    target: {
      kind: TargetKind.Backend,
      id: 'b-1',
      address: '127.0.0.1',
      port: backend.port,
      connectionsMax: 9,
    },
    timeoutMs: 1_000,
    attemptNumber: 1,
    record: false,
    resume: null,
    ...changes,
  };
}

/** Options of {@link startAttempt}. */
interface AttemptOptions {
  readonly response?: StandinResponse;
  readonly call?: Partial<CallContext>;
  readonly effect?: Partial<StartAttemptEffect>;
  /** Pool of connections; one of real connections by default. */
  readonly pool?: CountingAgent;
}

/** Starts an attempt whose answer is relayed as soon as its head arrives. */
function startAttempt({
  response = new StandinResponse(),
  call,
  effect,
  pool = agent,
}: AttemptOptions = {}) {
  const ended: { end: AttemptEnd | null } = { end: null };
  const runner: AttemptRunner = new AttemptRunner({
    effect: createEffect(effect),
    call: createCall(response, call),
    agent: pool,
    ticket: '',
    selfId: 'entry-1',
    onHeaders: () => runner.useAnswer(),
    onEnded: (end) => {
      ended.end = end;
    },
    poolStatus: () => null,
    endsConnection: () => false,
  });
  return ended;
}

afterEach(async () => {
  agent.destroy();
  await backend.stop();
  backend.connections.length = 0;
  backend.requests.length = 0;
});

describe('an attempt', () => {
  // Guards against a whole answer that is cut for a caller that reads more slowly than it arrives.
  it('is complete though its connection closed before the caller had read the answer', async () => {
    await backend.start();
    backend.reply = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\nhalf');
      setTimeout(() => socket.end('done'), 30);
    };
    const response = new StandinResponse();
    const ended = startAttempt({ response });
    await waitUntil(() => backend.connections[0]?.closed === true, 'the connection to close');
    expect(ended.end).toBeNull();
    response.emit('drain');
    await waitUntil(() => ended.end !== null, 'the end of the attempt', 1_000);
    expect(ended.end!.result).toBe(AttemptResult.Completed);
    expect(response.body).toBe('halfdone');
  });

  // Guards against a cut answer that is recorded for its key, and sent again, as a whole one.
  it('is cut if its caller leaves before it has read an answer that has arrived', async () => {
    await backend.start();
    backend.reply = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf');
      setTimeout(() => socket.write('done'), 30);
    };
    const response = new StandinResponse();
    const request = Object.assign(new PassThrough(), { setTimeout: () => request });
    const call = { request: request as unknown as IncomingMessage, body: null };
    const ended = startAttempt({ response, call, effect: { record: true } });
    request.write('part of a body');
    await waitUntil(() => response.body === 'half', 'the first part of the answer');
    await delay(100);
    request.emit('error', new Error('aborted'));
    await waitUntil(() => ended.end !== null, 'the end of the attempt', 1_000);
    expect(ended.end!.result).toBe(AttemptResult.Truncated);
    expect(ended.end!.answer).toBeNull();
  });
});

describe.each([TargetKind.Backend, TargetKind.Peer])(
  'an answer without a length of a %s',
  (kind) => {
    const UPLOAD = Buffer.alloc(64 * 1024);
    const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
    const PART = 'part';

    /** Sends an upload to a target that answers and ends its connection; returns how it ended. */
    async function upload(end: (socket: Socket) => void, isNarrow = false): Promise<AttemptEnd> {
      const early = new RawBackend((socket) => socket.write(HEAD + PART, () => end(socket)), {
        answersHeads: isNarrow,
      });
      await early.start();
      const pool = new CountingAgent({ keepAlive: true }, () => {});
      if (isNarrow) Object.assign(pool, { createConnection: connectNarrow });
      const base = createEffect();
      const effect = { record: true, target: { ...base.target, kind, port: early.port } };
      const response = new StandinResponse({ isFull: false });
      const ended = startAttempt({ response, call: { body: UPLOAD }, effect, pool });
      await waitUntil(() => ended.end !== null, 'the end of the attempt');
      pool.destroy();
      await early.stop();
      return ended.end!;
    }

    // Guards against a part of an answer that is recorded for its key, and passed on, as the whole one.
    it('is cut if its connection is reset before the upload is sent', async () => {
      const { result, answer } = await upload((socket) => socket.resetAndDestroy(), true);
      expect(result).toBe(AttemptResult.Truncated);
      expect(answer).toBeNull();
    });

    it('is complete if the upload is sent and its connection ends in order', async () => {
      const { result, answer } = await upload((socket) => socket.end());
      expect(result).toBe(AttemptResult.Completed);
      expect(answer?.body.toString()).toBe(PART);
    });
  },
);
