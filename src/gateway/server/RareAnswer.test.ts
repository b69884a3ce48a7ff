import { afterEach, describe, expect, it } from 'vitest';
import { rareAnswers, type RareAnswer } from '../../../standin/RareAnswers.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { sendDocument } from '../../../standin/SendDocument.js';
import { createCompleteAnswer, createReply, startTestGateway } from './fixtures.js';
import type { TestGateway } from './fixtures.js';

const CALL_ID = 'rare';

const RARE = rareAnswers([`Call-Id: ${CALL_ID}`, 'Signature: s']);

const UPLOAD = 'u'.repeat(2 * 1024 * 1024);

let gateway: TestGateway;

afterEach(() => gateway.stop());

/** Starts a gateway and its backend server, which answers the call {@link CALL_ID} in a rare form. */
async function start({ bytes, end }: RareAnswer, answersAtHead = false): Promise<void> {
  const reply = createReply((socket, callId) => {
    if (callId !== CALL_ID) socket.write(createCompleteAnswer(callId, 'next'));
    else socket.write(Buffer.from(bytes, 'latin1'), () => end?.(socket));
  });
  const backend = new RawBackend(reply, { answersAtHead });
  await backend.start();
  const route = { timeoutMs: 5_000, attemptsMax: 1 };
  gateway = await startTestGateway({ alpha: { 'b-1': backend }, route });
}

/** Sends a call with an id. */
function send(callId: string, method = 'GET', rawBody = '') {
  const headers = { 'Call-Id': callId, Host: 'calls.example' };
  return sendDocument({ port: gateway.port, method, path: '/read/x', headers, rawBody });
}

async function expectNextServed(): Promise<void> {
  expect(await send('b')).toMatchObject({ status: 200, text: 'next', complete: true });
  expect(await send('c')).toMatchObject({ status: 200, text: 'next', complete: true });
}

describe('an answer of a rare form', () => {
  // Guards against a body that is not that of the answer, and against bytes that reach another call.
  it.each(Object.keys(RARE))(
    'is passed on if it is whole, and costs no other: %s',
    async (name) => {
      const rare = RARE[name]!;
      await start(rare);
      const { status, text, headers } = await send(CALL_ID, rare.method);
      expect(status).toBe(rare.status ?? 502);
      if (rare.status !== undefined) expect(text).toBe(rare.text ?? '');
      expect(headers).not.toHaveProperty('x-odd');
      await expectNextServed();
    },
  );

  it('is passed on alone if a second one comes before the upload was read', async () => {
    await start(RARE['a second answer behind it']!, true);
    expect(await send(CALL_ID, 'POST', UPLOAD)).toMatchObject({ status: 200, text: 'whole' });
    await expectNextServed();
  });
});
