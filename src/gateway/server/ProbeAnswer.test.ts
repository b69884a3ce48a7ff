import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { createService } from '../../common/routing/fixtures.js';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { LimitReadingType, ProbeMiss, type BackendNotice, type WireProfile } from '../Types.js';
import { BackendClient, type LimitAnswer } from './BackendClient.js';
import { TEST_PROFILE } from './fixtures.js';

/** Long enough for a busy machine, so that a probe that fails does so by its answer. */
const PROBE_TIMEOUT_MS = 10_000;

const PROFILE: WireProfile = {
  ...TEST_PROFILE,
  readHealth: (statusCode, headers) => ({
    ...TEST_PROFILE.readHealth(statusCode, headers),
    limit: { type: LimitReadingType.Named, perSecond: Number(headers.limit) },
  }),
};

const end = (socket: Socket) => socket.end();
const reset = (socket: Socket) => socket.resetAndDestroy();

/** Resets a connection once what was written has been read. */
const resetLater = (socket: Socket) => setTimeout(() => reset(socket), 50);

/** Answer to a probe, with the headers of {@link createHealth} before its own. */
interface HealthAnswer {
  readonly status?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
  /** Called right behind the answer. */
  readonly then?: (socket: Socket) => unknown;
}

/** Longest body of a health answer that is read. */
const HEALTH_BODY_MAX_BYTES = 64 * 1024;

const createLongBody = (bodyBytes: number): HealthAnswer => ({
  headers: [`Content-Length: ${bodyBytes}`],
  body: 'h'.repeat(bodyBytes),
});

const BROKEN: Readonly<Record<string, HealthAnswer>> = {
  'status 000': { status: '000 OK', headers: ['Content-Length: 0'] },
  'status 099': { status: '099 OK', headers: ['Content-Length: 0'] },
  'status 600': { status: '600 OK', headers: ['Content-Length: 0'] },
  'status 999': { status: '999 OK', headers: ['Content-Length: 0'] },
  'a control byte in the reason': { status: '200 O\x1a', headers: ['Content-Length: 0'] },
  'a field name with a blank': { headers: ['X Odd: a', 'Content-Length: 0'] },
  'a blank behind a field name': { headers: ['X-Odd : a', 'Content-Length: 0'] },
  'a control byte in a field name': { headers: ['X\x01Odd: a', 'Content-Length: 0'] },
  'another coding': { headers: ['Transfer-Encoding: gzip'], then: end },
  'a body that is cut': { headers: ['Content-Length: 5'], body: 'heal', then: end },
  'chunks that are cut': { headers: ['Transfer-Encoding: chunked'], body: '5\r\nheal', then: end },
  'a body without a length, and a reset': { body: 'heal', then: reset },
  'a body without a length, and a late reset': { body: 'heal', then: resetLater },
  'a body beyond the limit': createLongBody(HEALTH_BODY_MAX_BYTES + 1),
  'a body far beyond the limit': createLongBody(4 * HEALTH_BODY_MAX_BYTES),
};

const SOUND: Readonly<Record<string, HealthAnswer>> = {
  'a length': { headers: ['Content-Length: 4'], body: 'good' },
  'no body': { headers: ['Content-Length: 0'] },
  chunks: { headers: ['Transfer-Encoding: chunked'], body: '4\r\ngood\r\n0\r\n\r\n' },
  'a body without a length, and an orderly end': { body: 'good', then: end },
  'an informational head before it': {
    status: '103 Early Hints\r\n\r\nHTTP/1.1 200 OK',
    headers: ['Content-Length: 0'],
  },
};

let backend: RawBackend;

afterEach(() => backend.stop());

/** Bytes of a health answer of a server that shuts down and names a limit. */
function createHealth({ status = '200 OK', headers = [], body = '' }: HealthAnswer): Buffer {
  const lines = [`HTTP/1.1 ${status}`, 'Leaving: 1', 'Limit: 3', ...headers, '', ''];
  return Buffer.from(lines.join('\r\n') + body, 'latin1');
}

/** Sends a probe that gets the answer; returns its result and what it has changed in the end. */
async function probe(answer: HealthAnswer, probeTimeoutMs = PROBE_TIMEOUT_MS) {
  const limits: LimitAnswer[] = [];
  const notices: BackendNotice[] = [];
  backend = new RawBackend((socket) =>
    socket.write(createHealth(answer), () => answer.then?.(socket)),
  );
  await backend.start();
  const client = new BackendClient({
    profile: PROFILE,
    probeTimeoutMs,
    onLimit: (limit) => limits.push(limit),
    onNotice: (view, notice) => notices.push(notice),
  });
  const record = createBackend('b-1', { address: '127.0.0.1', port: backend.port });
  const view = new BackendView(record);
  const result = await client.probe(view, createService());
  if (result === ProbeMiss.Late) {
    await waitUntil(() => backend.openConnections === 0, 'the connection to close');
  }
  client.dispose();
  return { result, isOpen: view.isOpen, limits: limits.length, notices: notices.length };
}

describe('an answer to a probe', () => {
  // Guards against a load, a limit or a shutdown on the word of an answer that is none.
  it.each(Object.keys(BROKEN))('changes nothing if it is broken: %s', async (name) => {
    expect(await probe(BROKEN[name]!)).toEqual({
      result: ProbeMiss.Failed,
      isOpen: true,
      limits: 0,
      notices: 0,
    });
  });

  // Guards against an answer that looks whole as the gateway itself ends its connection.
  it('changes nothing if it never ends', async () => {
    const endless = { body: 'heal' };
    expect(await probe(endless, 50)).toEqual({
      result: ProbeMiss.Late,
      isOpen: true,
      limits: 0,
      notices: 0,
    });
  });

  it.each(Object.keys(SOUND))('counts with %s', async (name) => {
    const { result, ...changes } = await probe(SOUND[name]!);
    expect(result).toMatchObject({ healthy: true, load: { slots: 3 } });
    expect(changes).toEqual({ isOpen: false, limits: 1, notices: 1 });
  });
});
