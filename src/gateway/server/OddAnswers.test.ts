import { describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { oddAnswers } from '../../../standin/OddAnswers.js';
import { RawBackend } from '../../../standin/RawBackend.js';
import { RawClient } from '../../../standin/RawClient.js';
import { UnhandledFaults } from '../../../standin/UnhandledFaults.js';
import { createReply, startTestGateway } from './fixtures.js';

const CALL_ID = 'odd-call';

/** Time after which the backend server ends a connection without a complete answer. */
const CLOSE_AFTER_MS = 20;

const TIMEOUT_MS = 500;

/** Longer than a gateway buffers. */
const LONG_BYTES = 300_000;

/** Gateways that run at once. */
const PARALLEL = 8;

const headersOf = () => ({ Host: 'calls.example', 'Call-Id': CALL_ID });

/** Sends a call that gets the bytes as its answer and, on the same connection, an ordinary one. */
async function answerOddly(bytes: string): Promise<void> {
  const odd = new RawBackend(
    createReply((socket) => {
      socket.write(Buffer.from(bytes, 'latin1'));
      setTimeout(() => socket.end(), CLOSE_AFTER_MS);
    }),
  );
  await odd.start();
  const gateway = await startTestGateway({ alpha: { odd }, route: { timeoutMs: TIMEOUT_MS } });
  const client = new RawClient(gateway.port);
  client.get(['/read/1', '/other/2'], headersOf);
  const isAnswered = () => client.statusCodes.length >= 2 || client.receivedBytes > LONG_BYTES;
  await waitUntil(() => isAnswered() || client.ended || client.broken, 'an end');
  client.close();
  const next = new RawClient(gateway.port);
  next.get(['/other/3'], headersOf);
  await waitUntil(() => next.statusCodes.length === 1, 'an ordinary answer');
  expect(next.statusCodes).toEqual([200]);
  next.close();
  await gateway.stop();
}

describe('a gateway', { timeout: 120_000 }, () => {
  // Guards against a process that ends, or a call without an end, as a listener throws on an answer.
  it.each([
    ['short', 2],
    ['long', LONG_BYTES],
  ])('goes on after %s odd answers', async (name, bodyBytes) => {
    const faults = new UnhandledFaults();
    const identity = `Call-Id: ${CALL_ID}\nSignature: s`;
    const queue = oddAnswers({ identity, bodyBytes });
    const runNext = async (): Promise<void> => {
      const input = queue.shift();
      if (!input) return;
      await answerOddly(input.bytes);
      await runNext();
    };
    await Promise.all(Array.from({ length: PARALLEL }, runNext));
    expect(faults.end()).toEqual([]);
  });

  // Guards against a client that gets a status which is none as an answer (issue 56).
  it.each(['000', '001', '099', '600', '999'])(
    'answers 502 for an answer of status %s',
    async (status) => {
      const identity = `Call-Id: ${CALL_ID}\r\nSignature: s\r\nContent-Length: 2`;
      const odd = new RawBackend(
        createReply((socket) => socket.write(`HTTP/1.1 ${status} OK\r\n${identity}\r\n\r\nok`)),
      );
      await odd.start();
      const gateway = await startTestGateway({ alpha: { odd }, route: { timeoutMs: TIMEOUT_MS } });
      const client = new RawClient(gateway.port);
      client.get(['/read/1'], headersOf);
      await waitUntil(() => client.statusCodes.length === 1, 'an answer');
      expect(client.statusCodes).toEqual([502]);
      expect(client.received).not.toContain(` ${status} `);
      client.close();
      await gateway.stop();
    },
  );
});
