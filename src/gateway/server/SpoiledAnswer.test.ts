import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import { sendDocument } from '../../../standin/SendDocument.js';
import { collectAnswers } from './answerFixtures.js';
import {
  createCompleteAnswer,
  createHead,
  createReply,
  startTestGateway,
  type TestGateway,
} from './fixtures.js';

const SHORT_BODY = 'short';

/** Longer than the answers that a gateway buffers to repeat the call. */
const LONG_BODY = 'l'.repeat(300_000);

/** Some parsers pass such names, so that another length or coding than that of the server may count. */
const FIELDS_WITH_SPOILED_NAMES = [
  'X Spoiled: a',
  'X-Spoiled : a',
  'X-Spoiled\t: a',
  'X-Spo\x00iled: a',
  'X-Spo\x7filed: a',
  'X-Spo\xe9iled: a',
  ': a',
  'Content-Length : 2',
  'Content Length: 2',
  'Transfer-Encoding : chunked',
  'Transfer Encoding: chunked',
];

/** Heads of answers that are no valid HTTP, or can't be passed on. */
const SPOILED: readonly { readonly status: string; readonly headers: readonly string[] }[] = [
  { status: '200 O\x1a', headers: [] },
  { status: '200 \x00K', headers: [] },
  { status: '200 O\x7f', headers: [] },
  { status: '099 OK', headers: [] },
  { status: '000 OK', headers: [] },
  { status: '600 OK', headers: [] },
  { status: '999 OK', headers: [] },
  { status: '200 OK', headers: ['X-Spoiled: a\x01b'] },
  { status: '200 OK', headers: ['X-Spo\x01iled: a'] },
  { status: '200 OK', headers: ['Transfer-Encoding: gzip, chunked'] },
  ...FIELDS_WITH_SPOILED_NAMES.map((field) => ({ status: '200 OK', headers: [field] })),
  { status: '503 O\x1a', headers: ['Not-Run: 1'] },
];

let backend: RawBackend;
let gateway: TestGateway;

/** Starts a gateway whose backend server answers the call `spoiled` with a given head. */
async function start({ status, headers }: (typeof SPOILED)[number], body: string): Promise<void> {
  const length = `Content-Length: ${body.length}`;
  backend = new RawBackend(
    createReply((socket, callId) => {
      if (callId !== 'spoiled') socket.write(createCompleteAnswer(callId));
      else {
        const head = createHead({ callId, status, headers: [...headers, length] });
        socket.write(head + body, 'latin1');
      }
    }),
  );
  await backend.start();
  gateway = await startTestGateway({
    alpha: { 'b-1': backend },
    route: { timeoutMs: 5_000, attemptsMax: 1 },
  });
}

afterEach(async () => {
  await gateway.stop();
});

describe.each([
  ['short', SHORT_BODY],
  ['long', LONG_BODY],
])('a %s answer of a backend server with a spoiled head', (name, body) => {
  // Guards against a process that ends at a head that can't be written, and against the loss of the
  // answers behind it.
  it.each(SPOILED)('is no answer, and costs no other: $status $headers', async (head) => {
    await start(head, body);
    const client = new RawClient(gateway.port);
    const read = collectAnswers(client.socket);
    client.get(['/read/spoiled', '/other/a', '/read/b'], (path) => ({
      Host: 'calls.example',
      'Call-Id': path.split('/')[2]!,
    }));
    await waitUntil(() => read().length === 3 || client.ended || client.broken, 'three answers');
    expect(read().map(({ status }) => status)).toEqual([502, 200, 200]);
    client.close();
  });
});

describe('a call that a backend server answers with a spoiled refusal', () => {
  // Guards against "not run" on the word of an answer that is no valid HTTP.
  it.each([
    { status: '503 O\x1a', headers: ['Not-Run: 1'] },
    { status: '000 OK', headers: ['Not-Run: 1'] },
    ...FIELDS_WITH_SPOILED_NAMES.map((field) => ({
      status: '503 OK',
      headers: ['Not-Run: 1', field],
    })),
  ])('may have run: $status $headers', async (head) => {
    await start(head, SHORT_BODY);
    const headers = { Host: 'calls.example', 'Call-Id': 'spoiled' };
    const request = { port: gateway.port, path: '/order/spoiled', headers, rawBody: 'x' };
    expect(await sendDocument({ ...request, method: 'POST' })).toMatchObject({ status: 502 });
  });
});
