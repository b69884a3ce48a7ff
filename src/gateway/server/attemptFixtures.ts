import type { Agent } from 'node:http';
import { BackendView } from '../BackendView.js';
import { createBackend } from '../fixtures.js';
import { AttemptResultType } from '../Types.js';
import { AttemptRun } from './AttemptRun.js';
import { TEST_PROFILE } from './fixtures.js';

/** Options of {@link countCompleteAnswers}. */
export interface CountOptions {
  readonly agent: Agent;
  /** Port of the backend server. */
  readonly port: number;
  /** Body of each request; without one, the requests are GET. */
  readonly upload?: Buffer;
  readonly attempts: number;
}

/** Sends an attempt; true if its answer counts as complete. */
async function isComplete(callId: string, options: CountOptions): Promise<boolean> {
  const { agent, port, upload } = options;
  const record = createBackend('b-1', { address: '127.0.0.1', port });
  const request = {
    method: upload ? 'POST' : 'GET',
    target: '/read/x',
    rawHeaders: ['Call-Id', callId],
    callId,
    body: upload ?? Buffer.alloc(0),
    bodyRest: null,
    remainingMs: 5_000,
  };
  const observer = { onConnect: () => {}, onLimit: () => {}, onNotice: () => {} };
  const run = new AttemptRun(agent, TEST_PROFILE, new BackendView(record), request, observer);
  const result = await run.result;
  if (result.type !== AttemptResultType.Answer) return false;
  const { longBody } = result.answer;
  if (!longBody) return true;
  return new Promise((resolve) => {
    longBody.read({
      onData: () => true,
      onEnd: () => resolve(true),
      onBroken: () => resolve(false),
    });
  });
}

/**
 * Sends attempts and counts those whose answers are complete. Each has the server to itself, so that the
 * bytes of its answer and their end arrive together.
 *
 * @example
 * await countCompleteAnswers({ agent, port: backend.port, attempts: 40 });
 */
export async function countCompleteAnswers(options: CountOptions): Promise<number> {
  let complete = 0;
  for (let index = 0; index < options.attempts; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    if (await isComplete(`c-${index}`, options)) complete += 1;
  }
  return complete;
}
