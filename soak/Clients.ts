import http from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../src/common/Random.js';
import { isWholeBody } from './Backend.js';
import { SOAK_PORTS, type SoakMachine } from './Deployment.js';
import { send, type HttpAnswer } from './Http.js';
import { ROUTE_TIMEOUT_MS } from './Operator.js';
import { PipelinedConnection, takeAnswer } from './Pipeline.js';
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

/** Requests that a client sends before the first one is answered. */
const PIPELINED_REQUESTS = 4;

/** Headers of a request with an id. */
const headersOf = (id: string) => ({
  Host: 'depot.example',
  'X-Attempt-Id': id,
  'X-Deadline-Ms': String(ROUTE_TIMEOUT_MS),
});

function createText(method: Method, headers: Readonly<Record<string, string>>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const length = method === 'POST' ? ['Content-Length: 0'] : [];
  return [`${method} ${REQUESTS[method]} HTTP/1.1`, ...lines, ...length, '', ''].join('\r\n');
}

/** What shows whose answer a success is. */
function describeAnswer({ headers, body }: Pick<HttpAnswer, 'headers' | 'body'>): string {
  const names = ['x-attempt-id', 'x-response-signature', 'content-length', 'transfer-encoding'];
  const shown = names.map((name) => `${name}=${String(headers[name])}`).join(' ');
  const text = JSON.stringify([body.slice(0, 40), body.slice(-20)]);
  return `${shown}, ${body.length} bytes, begin and end ${text}`;
}

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
      this.loops.push(this.runPipelined(machine));
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
    const { nowMs, random } = this.options;
    const id = this.nextId();
    const address = `${machine.address}:${SOAK_PORTS.callers}`;
    const headers = headersOf(id);
    const isUpload = random.next() < UPLOAD_SHARE;
    const body = method === 'POST' ? 'order'.concat(isUpload ? UPLOAD : '') : undefined;
    const path = REQUESTS[method];
    const timeoutMs = ROUTE_TIMEOUT_MS * 2;
    const sentMs = nowMs();
    const answer = agent
      ? await send({ address, path, method, headers, body, agent, timeoutMs })
      : await SoakClients.sendAndClose(address, method, { headers, timeoutMs });
    this.note({ id, machine, method, sentMs, behind: false }, answer);
  }

  /** Sends several safe requests at once, again and again, on one connection while that is open. */
  private async runPipelined(machine: SoakMachine): Promise<void> {
    const { nowMs, random } = this.options;
    const address = `${machine.address}:${SOAK_PORTS.callers}`;
    let connection: PipelinedConnection | undefined;
    while (!this.isStopped) {
      if (!connection?.isOpen) connection = new PipelinedConnection(address);
      const ids = Array.from({ length: PIPELINED_REQUESTS }, () => this.nextId());
      const requests = ids.map((id) => createText('GET', headersOf(id)));
      const sentMs = nowMs();
      // eslint-disable-next-line no-await-in-loop
      const answers = await connection.sendAll(requests, ROUTE_TIMEOUT_MS * 2);
      ids.forEach((id, index) =>
        this.note({ id, machine, method: 'GET', sentMs, behind: index > 0 }, answers[index]!),
      );
      // eslint-disable-next-line no-await-in-loop
      await sleep(random.next() * PAUSE_MAX_MS);
    }
    connection?.close();
  }

  private nextId(): string {
    this.sent += 1;
    return `soak-${this.sent}`;
  }

  private note(
    sent: { id: string; machine: SoakMachine; method: Method; sentMs: number; behind: boolean },
    { status, headers, body, error, kept }: HttpAnswer,
  ): void {
    const { record, nowMs } = this.options;
    const { id, machine, method, sentMs, behind } = sent;
    const isSuccess = status >= 200 && status < 300;
    const isOwn = headers['x-response-signature'] === `of-${id}` && isWholeBody(id, body);
    const foreign = isSuccess && !isOwn;
    record.requests.push({
      id,
      machine: machine.name,
      method,
      kept,
      behind,
      sentMs,
      endedMs: nowMs(),
      status,
      foreign,
      error: foreign ? describeAnswer({ headers, body }) : error,
    });
  }

  /** Sends a short request, closes the sending side, and reads to the end. */
  private static sendAndClose(
    address: string,
    method: Method,
    { headers, timeoutMs }: { headers: Record<string, string>; timeoutMs: number },
  ): Promise<HttpAnswer> {
    const [host, port] = address.split(':');
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
        const whole = error === undefined ? takeAnswer(text, true)?.answer : undefined;
        const none = { status: 0, headers: {}, body: '', error: error ?? HALF_CLOSED_ERROR };
        resolve({ ...(whole ?? none), kept: false });
      });
      socket.end(createText(method, headers));
    });
  }
}
