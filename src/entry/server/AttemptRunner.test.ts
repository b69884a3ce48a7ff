import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { connectNarrow } from '../../../standin/NarrowConnection.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { MAX_RECORDED_BODY_BYTES } from '../../common/Constants.js';
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

/** Options of {@link relayUnframed}. */
interface UnframedOptions {
  readonly kind: TargetKind;
  /** Body of the answer. */
  readonly text: string;
  /** Body of the request; empty by default. */
  readonly upload?: Buffer;
  /** Ends the connection right behind the answer. */
  readonly end: (socket: Socket) => void;
  /** True to send the answer at the head of the request, of which the body is unsent; false by default. */
  readonly isEarly?: boolean;
}

/** Relays an answer without a length; returns how the attempt ended, and what the caller received. */
async function relayUnframed(options: UnframedOptions) {
  const { kind, text, upload = Buffer.alloc(0), end, isEarly = false } = options;
  const reply = (socket: Socket) =>
    socket.write(`HTTP/1.1 200 OK\r\n\r\n${text}`, () => end(socket));
  const target = new RawBackend(reply, { answersAtHead: isEarly });
  await target.start();
  const pool = new CountingAgent({ keepAlive: true }, () => {});
  if (isEarly) Object.assign(pool, { createConnection: connectNarrow });
  const response = new StandinResponse({ isFull: false });
  const base = createEffect();
  const effect = { record: true, target: { ...base.target, kind, port: target.port } };
  const method = upload.length > 0 ? 'POST' : 'GET';
  const ended = startAttempt({ response, call: { method, body: upload }, effect, pool });
  await waitUntil(() => ended.end !== null, 'the end of the attempt');
  pool.destroy();
  await target.stop();
  const { result, answer } = ended.end!;
  return { result, isRecorded: answer !== null, body: response.body };
}

const UPLOAD = Buffer.alloc(64 * 1024);

/** Longer than an answer that is recorded for its key. */
const LONG_TEXT = 'l'.repeat(MAX_RECORDED_BODY_BYTES + 100_000);

describe.each([
  [TargetKind.Backend, 'short', 'whole'],
  [TargetKind.Backend, 'long', LONG_TEXT],
  [TargetKind.Peer, 'short', 'whole'],
  [TargetKind.Peer, 'long', LONG_TEXT],
])('an answer without a length of a %s, %s', (kind, length, text) => {
  // Guards against a part of an answer that is recorded for its key, and passed on, as the whole one.
  it('is cut if its connection is reset before the upload is sent', async () => {
    const end = (socket: Socket) => socket.resetAndDestroy();
    const relayed = await relayUnframed({ kind, text, upload: UPLOAD, end, isEarly: true });
    expect(relayed).toMatchObject({ result: AttemptResult.Truncated, isRecorded: false });
  });

  it.each([
    ['GET', undefined],
    ['an upload that is sent', UPLOAD],
  ])('is complete if its connection ends in order, to %s', async (name, upload) => {
    const end = (socket: Socket) => socket.end();
    const { result, body } = await relayUnframed({ kind, text, upload, end });
    expect(result).toBe(AttemptResult.Completed);
    expect(body === text).toBe(true);
  });
});
