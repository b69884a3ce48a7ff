import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeServer, listen } from '../src/runtime/HttpJson.js';
import { send } from './Http.js';
import type { SoakRecord } from './Types.js';

/** Options of a {@link SoakBackend}. */
export interface SoakBackendOptions {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly address: string;
  readonly controlAddresses: () => readonly string[];
  readonly record: SoakRecord;
  readonly nowMs: () => number;
  /** Draws the time that a request takes. */
  readonly workMs: () => number;
}

const SLOTS = 3;

const ANNOUNCE_EVERY_MS = 1_500;

/** Requests beyond the slots that wait; further ones are rejected as not run. */
const QUEUE_MAX = 12;

/** Body of the answer to a request. */
export const answerBody = (id: string) => `answer to ${id}`;

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
    const { id, record, nowMs, workMs } = this.options;
    if (response.destroyed) {
      this.waiting.shift()?.();
      return;
    }
    record.runs.push({ id: callId, backend: id, atMs: nowMs() });
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
      this.waiting.shift()?.();
    });
    setTimeout(() => {
      response.setHeader('X-Response-Signature', `of-${callId}`);
      response.end(answerBody(callId));
    }, workMs());
  }
}
