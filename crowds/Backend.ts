import type { AddressInfo } from 'node:net';
import http from 'node:http';
import { closeServer, listen } from '../src/runtime/HttpJson.js';
import { send } from '../soak/Http.js';

/** Paths of the backend server's answers. */
export enum CrowdPath {
  Read = '/read/',
  /** Answer of the largest size of a download. */
  Large = '/large/',
  /** Answer in chunks of one byte. */
  Tiny = '/tiny/',
  /** Never answered. */
  Stuck = '/stuck/',
}

export const CROWD_SERVICE = 'ledger';

const LARGE_ANSWER = Buffer.alloc(540_000, 'l');

const TINY_ANSWER = Buffer.from(`${'1\r\ny\r\n'.repeat(200_000)}0\r\n\r\n`);

const HEALTH_PATH = '/health';

const ANNOUNCE_EVERY_MS = 1_000;

const SLOTS = 1_000;

/** Options of a {@link CrowdBackend}. */
export interface CrowdBackendOptions {
  readonly address: string;
  readonly availabilityZone: string;
  readonly controlAddresses: readonly string[];
}

/** Sound backend server with more slots than a crowd has clients. */
export class CrowdBackend {
  private readonly id = 'ledger-1';

  private readonly bornMs = Date.now();

  private sequence = 0;

  private timer: NodeJS.Timeout | undefined;

  private readonly server = http.createServer((request, response) => {
    request.resume();
    request.once('end', () => this.answer(request, response));
  });

  constructor(private readonly options: CrowdBackendOptions) {
    this.server.keepAliveTimeout = 60_000;
  }

  async start(): Promise<void> {
    await listen(this.server, this.options.address, 0);
    await this.announce();
    this.timer = setInterval(() => this.announce(), ANNOUNCE_EVERY_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await closeServer(this.server);
  }

  private async announce(): Promise<void> {
    const { address, availabilityZone: zone, controlAddresses } = this.options;
    this.sequence += 1;
    const { port } = this.server.address() as AddressInfo;
    const body = JSON.stringify({
      address: `${address}:${port}`,
      born: this.bornMs,
      info: { service: CROWD_SERVICE, version: 'v1', zone, slots: SLOTS },
      status: { state: 'ready', sequence: this.sequence, cold_left_ms: 0 },
    });
    const request = { method: 'PUT', path: `/egretcourse/instances/${this.id}`, body };
    // All control hosts are told, so that an attacked one is not needed.
    await Promise.all(controlAddresses.map((to) => send({ ...request, address: to })));
  }

  private answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    const callId = String(request.headers['x-attempt-id'] ?? '');
    const path = request.url ?? '/';
    response.setHeader('X-Server-Load', `0,0,${SLOTS},100`);
    response.setHeader('X-Instance-Id', this.id);
    if (path === HEALTH_PATH) {
      response.end();
      return;
    }
    response.setHeader('X-Attempt-Id', callId);
    response.setHeader('X-Response-Signature', `of-${callId}`);
    if (path.startsWith(CrowdPath.Stuck)) return;
    if (path.startsWith(CrowdPath.Large)) response.end(LARGE_ANSWER);
    else if (path.startsWith(CrowdPath.Tiny)) CrowdBackend.answerTiny(callId, response);
    else response.end(`answer to ${callId}`);
  }

  private static answerTiny(callId: string, response: http.ServerResponse): void {
    const socket = response.socket!;
    const head = [
      'HTTP/1.1 200 OK',
      `X-Attempt-Id: ${callId}`,
      `X-Response-Signature: of-${callId}`,
      'Transfer-Encoding: chunked',
      'Connection: close',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    socket.end(TINY_ANSWER);
  }
}
