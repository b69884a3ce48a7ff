import http from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../src/common/Random.js';
import { answerBody } from './Backend.js';
import { SOAK_PORTS, type SoakMachine } from './Deployment.js';
import { send, type HttpAnswer } from './Http.js';
import { ROUTE_TIMEOUT_MS } from './Operator.js';
import type { SoakRecord } from './Types.js';

/** Options of {@link SoakClients}. */
export interface SoakClientsOptions {
  readonly machines: readonly SoakMachine[];
  readonly clientsPerMachine: number;
  readonly random: RandomSource;
  readonly record: SoakRecord;
  readonly nowMs: () => number;
}

/** Method and path of a kind of request. */
const REQUESTS = {
  GET: '/read/x',
  POST: '/order/x',
} as const;

type Method = keyof typeof REQUESTS;

const PAUSE_MAX_MS = 250;

/** Share of requests that are uploads of more than a gateway buffers. */
const UPLOAD_SHARE = 0.01;

const UPLOAD = 'u'.repeat(1_000_000);

/** Share of requests behind which the client closes its sending side. */
const HALF_CLOSED_SHARE = 0.01;

const HALF_CLOSED_ERROR = 'no answer after closing the sending side';

/** Clients that each keep one connection to one gateway open, and use it until it is gone. */
export class SoakClients {
  private isStopped = false;

  private sent = 0;

  private readonly loops: Promise<void>[] = [];

  constructor(private readonly options: SoakClientsOptions) {}

  start(): void {
    const { machines, clientsPerMachine } = this.options;
    machines.forEach((machine) => {
      for (let index = 0; index < clientsPerMachine; index += 1) {
        this.loops.push(this.run(machine));
      }
    });
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  private async run(machine: SoakMachine): Promise<void> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const { random } = this.options;
    while (!this.isStopped) {
      const method: Method = random.next() < 0.3 ? 'POST' : 'GET';
      const closes = random.next() < HALF_CLOSED_SHARE;
      // Each client waits for its answer before it sends again.
      // eslint-disable-next-line no-await-in-loop
      await this.send(machine, method, closes ? undefined : agent);
      // eslint-disable-next-line no-await-in-loop
      await sleep(random.next() * PAUSE_MAX_MS);
    }
    agent.destroy();
  }

  /** Sends one request and records what comes of it; without an agent it closes its side behind it. */
  private async send(machine: SoakMachine, method: Method, agent?: http.Agent): Promise<void> {
    const { record, nowMs, random } = this.options;
    this.sent += 1;
    const id = `soak-${this.sent}`;
    const address = `${machine.address}:${SOAK_PORTS.callers}`;
    const headers = {
      Host: 'depot.example',
      'X-Attempt-Id': id,
      'X-Deadline-Ms': String(ROUTE_TIMEOUT_MS),
    };
    const isUpload = random.next() < UPLOAD_SHARE;
    const body = method === 'POST' ? 'order'.concat(isUpload ? UPLOAD : '') : undefined;
    const path = REQUESTS[method];
    const timeoutMs = ROUTE_TIMEOUT_MS * 2;
    const sentMs = nowMs();
    const answer = agent
      ? await send({ address, path, method, headers, body, agent, timeoutMs })
      : await SoakClients.sendAndClose(address, method, { headers, timeoutMs });
    const { status, error, kept } = answer;
    const isSuccess = status >= 200 && status < 300;
    const isOwn =
      answer.headers['x-response-signature'] === `of-${id}` && answer.body === answerBody(id);
    record.requests.push({
      id,
      machine: machine.name,
      method,
      kept,
      sentMs,
      endedMs: nowMs(),
      status,
      foreign: isSuccess && !isOwn,
      error,
    });
  }

  /** Sends a short request, closes the sending side, and reads to the end. */
  private static sendAndClose(
    address: string,
    method: Method,
    { headers, timeoutMs }: { headers: Record<string, string>; timeoutMs: number },
  ): Promise<HttpAnswer> {
    const [host, port] = address.split(':');
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    const length = method === 'POST' ? ['Content-Length: 0'] : [];
    const head = [`${method} ${REQUESTS[method]} HTTP/1.1`, ...lines, ...length, '', ''];
    return new Promise((resolve) => {
      let text = '';
      let error: string | undefined;
      const socket = connect({ host, port: Number(port), allowHalfOpen: true });
      const timer = setTimeout(() => socket.destroy(), timeoutMs);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', (thrown: NodeJS.ErrnoException) => {
        error = thrown.code;
      });
      socket.on('end', () => socket.destroy());
      socket.on('close', () => {
        clearTimeout(timer);
        const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
        const signature = /x-response-signature: (\S+)/i.exec(text)?.[1];
        resolve({
          status,
          headers: { 'x-response-signature': signature },
          body: text.slice(text.indexOf('\r\n\r\n') + 4),
          error: status > 0 ? undefined : (error ?? HALF_CLOSED_ERROR),
          kept: false,
        });
      });
      socket.end(head.join('\r\n'));
    });
  }
}
