import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../src/common/Random.js';
import { closeServer, listen } from '../src/runtime/HttpJson.js';
import { send } from './Http.js';
import type { SoakRecord } from './Types.js';

/** How a backend server ends the answer to a request. */
enum Ending {
  Whole = 'whole',
  /** A whole answer that is longer than a gateway buffers. */
  Long = 'long',
  /** Closes the connection in the middle of a long answer. */
  CutLong = 'cut-long',
  CutShort = 'cut-short',
  /** Resets the connection without an answer. */
  Reset = 'reset',
  /** Sends the answer twice; the second copy comes late. */
  Double = 'double',
  Unframed = 'unframed',
  /** A status line with a control character, or a status that is none, before a long body. */
  SpoiledReason = 'spoiled-reason',
  SpoiledStatus = 'spoiled-status',
}

const UNSOUND: ReadonlySet<Ending> = new Set([
  ...[Ending.CutLong, Ending.CutShort, Ending.Reset, Ending.SpoiledReason, Ending.SpoiledStatus],
]);

/** Endings of which a faulty backend server draws one; the others end whole, some long. */
const FAULTY_ENDINGS = [...Object.values(Ending), Ending.Whole, Ending.Whole, Ending.Whole];

const LONG_SHARE = 0.03;

const LONG_FILL = 'l'.repeat(400_000);

const SECOND_COPY_DELAY_MS = 30;

/** Options of a {@link SoakBackend}. */
export interface SoakBackendOptions {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly address: string;
  readonly controlAddresses: () => readonly string[];
  readonly record: Pick<SoakRecord, 'runs'>;
  readonly nowMs: () => number;
  readonly random: RandomSource;
  readonly isFaulty: boolean;
}

const SLOTS = 3;

const ANNOUNCE_EVERY_MS = 1_500;

/** Requests beyond the slots that wait; further ones are rejected as not run. */
const QUEUE_MAX = 12;

const WORK_MIN_MS = 20;

const WORK_SPREAD_MS = 150;

/** Writes a long answer with the given status line, which Node.js itself would not write. */
function writeSpoiled({ socket }: http.ServerResponse, callId: string, status: string): void {
  const body = `answer to ${callId}${LONG_FILL}`;
  const headers = `X-Attempt-Id: ${callId}\r\nX-Response-Signature: of-${callId}`;
  socket?.end(`HTTP/1.1 ${status}\r\n${headers}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
}

/** Body of the answer to a request. */
const answerBody = (id: string) => `answer to ${id}`;

/** True for the whole body of an answer to a request. */
export function isWholeBody(id: string, body: string): boolean {
  return body === answerBody(id) || body === answerBody(id) + LONG_FILL;
}

/** Backend server that announces itself, runs requests and records them. */
export class SoakBackend {
  private readonly bornMs = Date.now();

  private sequence = 0;

  private running = 0;

  private readonly waiting: (() => void)[] = [];

  private isStopped = false;

  private readonly server = http.createServer((request, response) =>
    this.handle(request, response),
  );

  constructor(private readonly options: SoakBackendOptions) {
    this.server.keepAliveTimeout = 10_000;
  }

  async start(): Promise<void> {
    await listen(this.server, this.options.address, 0);
    this.announceRepeatedly().catch(() => {});
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await closeServer(this.server);
  }

  private async announceRepeatedly(): Promise<void> {
    const { id, service, availabilityZone, address, controlAddresses } = this.options;
    while (!this.isStopped) {
      this.sequence += 1;
      const { port } = this.server.address() as AddressInfo;
      const body = JSON.stringify({
        address: `${address}:${port}`,
        born: this.bornMs,
        info: { service, version: 'v1', zone: availabilityZone, slots: SLOTS },
        status: { state: 'ready', sequence: this.sequence, cold_left_ms: 0 },
      });
      const addresses = controlAddresses();
      const next = { method: 'PUT', path: `/egretcourse/instances/${id}`, body };
      // Hosts are tried in turn until one confirms.
      for (let tries = 0; tries < addresses.length; tries += 1) {
        const to = addresses[(this.sequence + tries) % addresses.length]!;
        // eslint-disable-next-line no-await-in-loop
        const { status } = await send({ ...next, address: to });
        if (status === 200) break;
      }
      // eslint-disable-next-line no-await-in-loop
      await sleep(ANNOUNCE_EVERY_MS);
    }
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { id } = this.options;
    response.setHeader('X-Server-Load', `${this.running},${this.waiting.length},${SLOTS},100`);
    response.setHeader('X-Instance-Id', id);
    if (request.url === '/health') {
      response.end();
      return;
    }
    const callId = String(request.headers['x-attempt-id']);
    response.setHeader('X-Attempt-Id', callId);
    request.resume();
    request.once('end', () => {
      if (request.headers['x-expect-instance'] !== id) response.writeHead(421).end();
      else if (this.running < SLOTS) this.run(callId, response);
      else if (this.waiting.length < QUEUE_MAX) this.waiting.push(() => this.run(callId, response));
      else response.writeHead(503, { 'X-Not-Executed': '1' }).end();
    });
  }

  private run(callId: string, response: http.ServerResponse): void {
    const { id, record, nowMs, random } = this.options;
    if (response.destroyed) {
      this.waiting.shift()?.();
      return;
    }
    const ending = this.drawEnding();
    record.runs.push({ id: callId, backend: id, atMs: nowMs(), sound: !UNSOUND.has(ending) });
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
      this.waiting.shift()?.();
    });
    const workMs = WORK_MIN_MS + random.next() * WORK_SPREAD_MS;
    setTimeout(() => {
      if (response.destroyed) return;
      response.setHeader('X-Response-Signature', `of-${callId}`);
      this.endings[ending](response, callId);
    }, workMs);
  }

  private drawEnding(): Ending {
    const { random, isFaulty } = this.options;
    if (isFaulty) return FAULTY_ENDINGS[Math.floor(random.next() * FAULTY_ENDINGS.length)]!;
    return random.next() < LONG_SHARE ? Ending.Long : Ending.Whole;
  }

  private readonly endings: Record<
    Ending,
    (response: http.ServerResponse, callId: string) => void
  > = {
    [Ending.Whole]: (response, callId) => response.end(answerBody(callId)),
    [Ending.Long]: (response, callId) => response.end(answerBody(callId) + LONG_FILL),
    [Ending.CutLong]: (response) => {
      response.setHeader('Content-Length', LONG_FILL.length * 2);
      response.write(LONG_FILL);
      setTimeout(() => response.destroy(), SECOND_COPY_DELAY_MS);
    },
    [Ending.CutShort]: (response) => {
      response.setHeader('Content-Length', answerBody('').length * 2);
      response.write(answerBody(''));
      setTimeout(() => response.destroy(), SECOND_COPY_DELAY_MS);
    },
    [Ending.Reset]: (response) => response.socket?.resetAndDestroy(),
    [Ending.Double]: (response, callId) => {
      const { socket } = response;
      const body = answerBody(callId);
      response.end(body);
      const copy = [
        'HTTP/1.1 200 OK',
        `X-Attempt-Id: ${callId}`,
        `X-Response-Signature: of-${callId}`,
        `Content-Length: ${body.length}`,
        '',
        body,
      ];
      setTimeout(() => {
        if (socket && !socket.destroyed) socket.write(copy.join('\r\n'));
      }, SECOND_COPY_DELAY_MS);
    },
    [Ending.Unframed]: (response, callId) => {
      Object.assign(response, { useChunkedEncodingByDefault: false });
      response.end(answerBody(callId));
    },
    [Ending.SpoiledReason]: (response, callId) => writeSpoiled(response, callId, '200 O\x01K'),
    [Ending.SpoiledStatus]: (response, callId) => writeSpoiled(response, callId, '099 OK'),
  };
}
