import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { RawBackend, writeEndlessly } from '../../standin/RawBackend.js';
import { requestJoin } from '../control/server/JoinEndpoint.js';
import { AdminClient } from '../ctl/AdminClient.js';
import { AdminRequestType } from '../control/Types.js';
import { requestJson } from './JsonRequest.js';

const ADDRESS = '127.0.0.1';
const MEMBER = { id: 'c-2', address: ADDRESS, port: 7_540 };
const LINE = 'x'.repeat(16 * 1024);
const CHUNK = `${(16 * 1024).toString(16)}\r\n${LINE}\r\n`;
const TIMEOUT_MS = 1_000;

/** Time after a timeout by which everything has ended, on a busy machine. */
const SLACK_MS = 5_000;

/** Bytes that the host and the buffers of two sockets may accept of an answer that it discards. */
const ACCEPTED_BYTES_MAX = 16 * 1024 * 1024;

function createAnswer(text: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

const FLOODS: [string, (socket: Socket) => void][] = [
  [
    'a body without length',
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      writeEndlessly(socket, LINE);
    },
  ],
  [
    'a chunked body',
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      writeEndlessly(socket, CHUNK);
    },
  ],
  ['informational heads', (socket) => writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n')],
  [
    'a body that trickles',
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      writeEndlessly(socket, ' ', 5);
    },
  ],
  ['heads that trickle', (socket) => writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n', 5)],
];

/** Broken answers with a readable document. */
const BROKEN: Readonly<Record<string, (socket: Socket) => void>> = {
  'status 000': (socket) => socket.write(createAnswer('{}', '000 OK')),
  'status 999': (socket) => socket.write(createAnswer('{}', '999 OK')),
  'a control byte in the reason': (socket) => socket.write(createAnswer('{}', '200 O\x1a')),
  'a coding that was not asked for': (socket) =>
    socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}'),
  'a part of a document, and a reset': (socket) =>
    socket.write('HTTP/1.1 200 OK\r\n\r\n12', () => socket.resetAndDestroy()),
};

let backend: RawBackend;

async function start(reply: (socket: Socket) => void): Promise<void> {
  backend = new RawBackend(reply);
  await backend.start();
}

async function expectClosed(): Promise<void> {
  const limitMs = TIMEOUT_MS + SLACK_MS;
  await waitUntil(() => backend.openConnections === 0, 'the connection to close', limitMs);
  expect(backend.bytesWritten).toBeLessThan(ACCEPTED_BYTES_MAX);
}

describe('a JSON request', () => {
  afterEach(() => backend.stop());

  it('resolves with the status and the document', async () => {
    await start((socket) => socket.write(createAnswer('{"a":1}')));
    const answer = await requestJson({ host: ADDRESS, port: backend.port, timeoutMs: TIMEOUT_MS });
    expect(answer).toEqual({ statusCode: 200, body: { a: 1 } });
  });

  it('rejects a document that is longer than asked for', async () => {
    await start((socket) => socket.write(createAnswer(JSON.stringify(LINE))));
    const request = requestJson({ host: ADDRESS, port: backend.port, bodyBytesMax: 1_000 });
    await expect(request).rejects.toMatchObject({ kind: 'body-too-large' });
  });

  // Guards against a document, or an outcome, on the word of an answer that is none.
  it.each(Object.keys(BROKEN))('rejects a broken answer: %s', async (name) => {
    await start(BROKEN[name]!);
    const request = requestJson({ host: ADDRESS, port: backend.port, timeoutMs: TIMEOUT_MS });
    await expect(request).rejects.toMatchObject({ kind: 'bad-request' });
  });

  it('resolves with a document without a length whose connection ends in order', async () => {
    await start((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\n123'));
    const answer = await requestJson({ host: ADDRESS, port: backend.port, timeoutMs: TIMEOUT_MS });
    expect(answer).toEqual({ statusCode: 200, body: 123 });
  });

  // Guards against a process that keeps an answer without end until its memory is used up.
  it.each(FLOODS)('to a server that sends %s ends by its timeout', async (name, flood) => {
    await start(flood);
    const request = requestJson({ host: ADDRESS, port: backend.port, timeoutMs: TIMEOUT_MS });
    await expect(request).rejects.toThrow();
    await expectClosed();
  });

  // Guards against control hosts that run out of memory at a seed whose address a server has taken.
  it.each(FLOODS)('to join ends where the seed sends %s', async (name, flood) => {
    await start(flood);
    const joined = requestJoin({ address: ADDRESS, port: backend.port }, MEMBER, 'secret');
    await expectClosed();
    expect(await joined).toBeUndefined();
  });

  // Guards against a command line that hangs, and takes the memory of its machine.
  it.each(FLOODS)('of the command line ends where a host sends %s', async (name, flood) => {
    await start(flood);
    const addresses = [`${ADDRESS}:${backend.port}`];
    const client = new AdminClient({ addresses, token: 't', timeoutMs: 50 });
    await expect(client.send({ type: AdminRequestType.Services })).rejects.toMatchObject({
      kind: 'no-quorum',
    });
    await waitUntil(() => backend.openConnections === 0, 'all connections to close', SLACK_MS);
  });
});
