import { createServer, type Server, type ServerResponse } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { RawClient } from '../../../standin/RawClient.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { HttpConnections } from '../../runtime/HttpConnections.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import type { LongBodyHandlers, BackendAnswer } from '../Types.js';
import { AnswerWriter } from './AnswerWriter.js';
import { TEST_PROFILE } from './fixtures.js';
import { GatewayMetrics } from './GatewayMetrics.js';

const BODY = Buffer.from('part');

/** More than all connections together may hold. */
const HELD_BYTES = 17 * 1024 * 1024;

/** Long answer that begins with `first`, and whose rest the test sends. */
function createLongAnswer({
  first = BODY,
  ...changes
}: Partial<BackendAnswer> & { readonly first?: Buffer } = {}) {
  const state = {
    cancelled: 0,
    handlers: undefined as LongBodyHandlers | undefined,
    mayReadOn: true,
  };
  const answer: BackendAnswer = {
    statusCode: 200,
    statusMessage: 'OK',
    rawHeaders: ['Content-Length', String(2 * BODY.length)],
    authentic: true,
    load: undefined,
    body: Buffer.alloc(0),
    receivedBytes: first.length,
    longBody: {
      read: (handlers) => {
        state.handlers = handlers;
        state.mayReadOn = handlers.onData([first]);
      },
      resume: () => {},
      cancel: () => {
        state.cancelled += 1;
      },
    },
    ...changes,
  };
  return { answer, state };
}

describe('AnswerWriter', () => {
  let server: Server;
  let responses: ServerResponse[];
  let writer: AnswerWriter;
  let client: RawClient;

  beforeEach(() => {
    server = createServer();
    responses = [];
    const connections = new HttpConnections({ server, isStopping: () => false });
    server.on('request', (request, response) => {
      if (connections.admit(request, response)) responses.push(response);
    });
    writer = new AnswerWriter({
      profile: TEST_PROFILE,
      metrics: new GatewayMetrics(),
      log: () => {},
      connections,
    });
  });

  /** Sends two requests on one connection; resolves with their responses. */
  async function receiveTwo(): Promise<ServerResponse[]> {
    client = new RawClient(await listen(server, '127.0.0.1', 0));
    client.get(['/a', '/b'], () => ({ Host: 'x' }));
    await waitUntil(() => responses.length === 2, 'two requests');
    return responses;
  }

  afterEach(async () => {
    client.close();
    await closeServer(server);
  });

  // Guards against a second head for a call whose held answer ends right after another answer to it
  // was written.
  it('drops a held answer once its call is answered otherwise', async () => {
    const [first, second] = await receiveTwo();
    const { answer, state } = createLongAnswer();
    writer.answer(first!, 'c-1', answer);
    const refusal = () =>
      new EgretError(ErrorKind.OutcomeUnknown, 'The client has closed its side.');
    writer.refuse(first!, 'c-1', refusal());
    expect(state.cancelled).toBe(1);
    state.handlers!.onData([BODY]);
    state.handlers!.onEnd();
    writer.refuse(second!, 'c-2', refusal());
    await waitUntil(() => client.statusCodes.length === 2, 'two answers');
    expect(client.statusCodes).toEqual([502, 502]);
  });

  // Guards against a process that ends, or a connection that is closed, since the head of a held
  // answer can't be written.
  it('answers a call whose answer can not be written, and those behind it', async () => {
    const [first, second] = await receiveTwo();
    const rawHeaders = ['X-Odd', 'a\x01b'];
    const { answer, state } = createLongAnswer({ rawHeaders });
    writer.answer(first!, 'c-1', answer);
    state.handlers!.onEnd();
    const { answer: sound } = createLongAnswer({ longBody: null, body: BODY, rawHeaders: [] });
    writer.answer(second!, 'c-2', sound);
    await waitUntil(() => client.statusCodes.length === 2, 'two answers');
    expect(client.statusCodes).toEqual([502, 200]);
    expect(client.ended).toBe(false);
  });

  // Guards against downloads of ordinary callers that are cut since answers of others are held.
  it('pauses an answer within its time limit while too many bytes are held for others', async () => {
    const [first] = await receiveTwo();
    const other = new RawClient(client.socket.remotePort!);
    other.get(['/c'], () => ({ Host: 'x' }));
    await waitUntil(() => responses.length === 3, 'the request of another client');
    const { answer: held, state: heldState } = createLongAnswer({ rawHeaders: [] });
    writer.answer(first!, 'c-1', held);
    heldState.handlers!.onData([Buffer.alloc(HELD_BYTES)]);
    const begin = Buffer.alloc(300_000);
    const { answer, state } = createLongAnswer({ first: begin, rawHeaders: [] });
    writer.answer(responses[2]!, 'c-3', answer);
    expect(state.mayReadOn).toBe(false);
    expect(state.cancelled).toBe(0);
    // What arrives although the reader was told to pause is past the time limit.
    state.handlers!.onData([BODY]);
    expect(state.cancelled).toBe(1);
    other.close();
  });
});
