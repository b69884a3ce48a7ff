import http from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { RawBackend, headerOf, type RawReply } from '../../../standin/RawBackend.js';
import { createBackend } from '../fixtures.js';
import {
  createHead,
  createReply,
  soundReply,
  startTestGateway,
  type TestGateway,
} from './fixtures.js';

const CALLS = 12;

let gateway: TestGateway | undefined;

afterEach(async () => {
  await gateway?.stop();
  gateway = undefined;
});

/** Reply with headers in every answer; the body is cut short if so wanted. */
function createNoticeReply(notice: string, isCut = false): RawReply {
  return createReply((socket, callId) => {
    socket.write(`${createHead({ callId, headers: [notice, 'Content-Length: 5'] })}whol`);
    if (isCut) socket.end();
    else socket.write('e');
  });
}

const refusal = createReply((socket, callId) => {
  const headers = ['Not-Run: 1', 'Quiet-Ms: 60000', 'Content-Length: 0'];
  socket.write(createHead({ callId, status: '503 Service Unavailable', headers }));
});

async function startGateway(reply: RawReply) {
  const backends = { 'b-1': new RawBackend(reply), 'b-2': new RawBackend(soundReply) };
  await Promise.all(Object.values(backends).map((backend) => backend.start()));
  gateway = await startTestGateway({ alpha: backends });
  return { ...backends, gateway };
}

function sendCall(port: number, callId: string): Promise<number> {
  const headers = { 'Call-Id': callId, Host: 'calls.example' };
  return new Promise((resolve, reject) => {
    const request = http.get({ host: '127.0.0.1', port, path: '/read/x', headers }, (response) => {
      response.resume().on('end', () => resolve(response.statusCode ?? 0));
    });
    request.on('error', reject);
  });
}

/** Sends calls one after the other; returns the statuses of the answers. */
async function sendCalls(port: number, prefix: string, count = CALLS): Promise<number[]> {
  if (count === 0) return [];
  const statuses = await sendCalls(port, prefix, count - 1);
  return [...statuses, await sendCall(port, `${prefix}-${count}`)];
}

/** Calls and probes that a backend server received. */
function received(backend: RawBackend) {
  const calls = backend.requests.filter(({ head }) => headerOf(head, 'call-id') !== '').length;
  return { calls, probes: backend.requests.length - calls };
}

describe('a backend server whose answer states that it shuts down', () => {
  // Guards against calls that are sent on until its announcement arrives.
  it('receives no further call and no probe; its answer is delivered', async () => {
    const { 'b-1': leaving, gateway: started } = await startGateway(
      createNoticeReply('Leaving: 1'),
    );
    expect(await sendCalls(started.port, 'a')).toEqual(Array(CALLS).fill(200));
    const { probes } = received(leaving);
    expect(received(leaving).calls).toBe(1);
    await sendCalls(started.port, 'b');
    expect(received(leaving)).toEqual({ calls: 1, probes });
  });

  // Guards against a server that is never used again under the id that it had.
  it('receives calls again once a new incarnation announces itself', async () => {
    const { 'b-1': leaving, gateway: started } = await startGateway(
      createNoticeReply('Leaving: 1'),
    );
    await sendCalls(started.port, 'a');
    leaving.reply = soundReply;
    const address = { address: '127.0.0.1', port: leaving.port };
    started.pool.apply([createBackend('b-1', { ...address, bornMs: 2 })], performance.now());
    await sendCalls(started.port, 'b');
    expect(received(leaving).calls).toBeGreaterThan(1);
  });

  // Guards against a notice of an answer that is not whole.
  it('is used on after a truncated answer with the same header', async () => {
    const reply = createNoticeReply('Leaving: 1', true);
    const { 'b-1': faulty, gateway: started } = await startGateway(reply);
    await sendCalls(started.port, 'a');
    expect(started.pool.get('b-1')!.isOpen).toBe(true);
    expect(received(faulty).calls).toBeGreaterThan(0);
  });
});

describe('a backend server that refuses a call and names a time to stay away', () => {
  // Guards against retries, hedges and probes within that time.
  it('receives nothing until the time is over; the call runs elsewhere', async () => {
    const { 'b-1': refusing, gateway: started } = await startGateway(refusal);
    expect(await sendCalls(started.port, 'a')).toEqual(Array(CALLS).fill(200));
    const afterRefusal = received(refusing);
    expect(afterRefusal.calls).toBe(1);
    await sendCalls(started.port, 'b');
    expect(received(refusing)).toEqual(afterRefusal);
    const view = started.pool.get('b-1')!;
    expect(view.isQuiet(performance.now())).toBe(true);
    expect(view.isQuiet(performance.now() + 60_000)).toBe(false);
  });
});
