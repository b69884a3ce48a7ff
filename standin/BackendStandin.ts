import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { BackendLifecycleState } from '../src/common/Enums.js';
import { createRandom, type RandomSource } from '../src/common/Random.js';
import { listen } from '../src/runtime/HttpJson.js';
import { Announcer, type EntryAddress } from './Announcer.js';
import { createBundle, type Bundle } from './Bundle.js';
import { drawServiceTimeMs, HEAVY_TAIL, type ServiceTimeOptions } from './ServiceTime.js';

/** Fault that can be injected into a stand-in. */
export enum Fault {
  None = 'none',
  /** Answers take {@link STRAGGLE_FACTOR} times as long. */
  Straggle = 'straggle',
  /** Answers 500 at once. */
  FailFast = 'fail-fast',
  /** Rejects every request as not run. */
  Shed = 'shed',
  /** Closes the connection in the middle of each body. */
  Truncate = 'truncate',
  /** Resets the connection before each answer. */
  Reset = 'reset',
}

/** Options of a {@link BackendStandin}. */
export interface BackendStandinOptions {
  readonly service: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly token: string;
  readonly seeds: readonly EntryAddress[];
  readonly seed?: number;
  readonly serviceTime?: ServiceTimeOptions;
  /** Completed requests that raise the concurrency limit by one after a cold start; 0: warm. */
  readonly coldRequests?: number;
  readonly bundleBytes?: number;
  /** Shared log of keyed requests that ran, to check the system's answers against. */
  readonly runLog?: RunLog;
  /** False if the stand-in sends no announcements, since its callers connect to it directly. */
  readonly announces?: boolean;
}

/** Log of the runs of requests with an idempotency key. */
export interface RunLog {
  /** Called when a request starts to run; `sendId` is the value of {@link SENDING_HEADER}. */
  recordRun(key: string, sendId: string): void;
}

/** Request statistics of a stand-in. */
export interface StandinFigures {
  requests: number;
  peakInFlight: number;
  /** Requests that arrived while every slot was taken. */
  overSlots: number;
  /** Requests that arrived while the concurrency limit, which is lower when cold, was reached. */
  overCold: number;
  /** Arrival time of the last request, on the clock of `performance.now()`. */
  lastRequestAtMs: number;
}

/** Header of a request that crashes the stand-in that receives it. */
export const KILL_HEADER = 'standin-kill';

/** Header with an id for each time a request is sent, so that a test finds it in the run log. */
export const SENDING_HEADER = 'standin-sending';

const STRAGGLE_FACTOR = 5;
const COLD_OVERLOAD_FACTOR = 5;
const CHUNK_BYTES = 64 * 1024;
const DEFAULT_BUNDLE_BYTES = 8 * 1024 * 1024;
const LOCALHOST = '127.0.0.1';
const RANGE = /^bytes=(\d+)-(\d*)$/;

/** Minimal backend server that announces itself and supports fault injection. */
export class BackendStandin {
  fault = Fault.None;

  state = BackendLifecycleState.Ready;

  /** Overrides the reported number of running requests unless null. */
  reportedInFlight: number | null = null;

  figures: StandinFigures = BackendStandin.createFigures();

  inFlight = 0;

  incarnation = 1;

  announcer: Announcer | null = null;

  readonly bundle: Bundle;

  private readonly random: RandomSource;

  private server: Server | null = null;

  private readonly sockets = new Set<Socket>();

  private boundPort = 0;

  /** Requests completed since the last cold start. */
  private completed = 0;

  constructor(readonly options: BackendStandinOptions) {
    this.random = createRandom(options.seed ?? 1);
    this.bundle = createBundle(options.service, options.bundleBytes ?? DEFAULT_BUNDLE_BYTES);
    if (!options.coldRequests) this.completed = Number.MAX_SAFE_INTEGER;
  }

  static createFigures(): StandinFigures {
    return { requests: 0, peakInFlight: 0, overSlots: 0, overCold: 0, lastRequestAtMs: 0 };
  }

  get port(): number {
    return this.boundPort;
  }

  /** Requests that the server can run at once: its slots, or fewer after a cold start. */
  get concurrencyLimit(): number {
    const { slots, coldRequests = 0 } = this.options;
    if (coldRequests === 0) return slots;
    return Math.min(slots, 1 + Math.floor(this.completed / coldRequests));
  }

  async start(): Promise<void> {
    const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) =>
      this.onRequest(request, response),
    );
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    this.boundPort = await listen(server, LOCALHOST, this.boundPort);
    if (this.options.announces !== false) this.startAnnouncing();
  }

  /** Starts the departure by announcing the draining state at once. */
  drain(): void {
    this.state = BackendLifecycleState.Draining;
    this.announcer?.announceNow();
  }

  /** Resets all connections and stops listening, as in a crash. */
  async kill(): Promise<void> {
    this.announcer?.stop();
    this.announcer = null;
    const { server } = this;
    this.server = null;
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    if (server) {
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    }
    this.inFlight = 0;
  }

  /** Starts again on the same port, cold, as a new incarnation. */
  async restart(): Promise<void> {
    this.incarnation += 1;
    this.turnCold();
    this.state = BackendLifecycleState.Ready;
    await this.start();
  }

  /** Makes the server cold again without a new incarnation. */
  turnCold(): void {
    this.completed = 0;
  }

  resetFigures(): void {
    this.figures = BackendStandin.createFigures();
  }

  private startAnnouncing(): void {
    const { service, availabilityZone, slots, token, seeds } = this.options;
    this.announcer = new Announcer({
      token,
      seeds,
      describeBackend: () => ({
        service,
        availabilityZone,
        slots,
        address: LOCALHOST,
        port: this.boundPort,
        incarnation: this.incarnation,
        state: this.state,
        inFlight: this.reportedInFlight ?? this.inFlight,
      }),
    });
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const { figures } = this;
    figures.requests += 1;
    figures.lastRequestAtMs = performance.now();
    if (request.headers[KILL_HEADER] !== undefined) {
      this.kill().catch(() => {});
      return;
    }
    if (this.fault === Fault.Reset) {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.fault === Fault.Shed) {
      response.writeHead(503, { 'Egret-Outcome': 'not-run' });
      response.end();
      return;
    }
    if (this.fault === Fault.FailFast) {
      response.writeHead(500);
      response.end();
      return;
    }
    request.resume();
    if (this.inFlight >= this.options.slots) figures.overSlots += 1;
    const overload = this.inFlight >= this.concurrencyLimit;
    if (overload) figures.overCold += 1;
    this.run(request, response, overload);
  }

  private run(request: IncomingMessage, response: ServerResponse, overload: boolean): void {
    this.inFlight += 1;
    this.figures.peakInFlight = Math.max(this.figures.peakInFlight, this.inFlight);
    const key = request.headers['idempotency-key'];
    const sendId = String(request.headers[SENDING_HEADER] ?? '');
    if (typeof key === 'string') this.options.runLog?.recordRun(key, sendId);
    const serviceTimeMs = this.serviceTimeMs(overload);
    const timer =
      serviceTimeMs > 0
        ? setTimeout(() => this.answer(request, response), serviceTimeMs)
        : undefined;
    if (!timer) this.answer(request, response);
    response.once('close', () => {
      clearTimeout(timer);
      this.inFlight = Math.max(0, this.inFlight - 1);
      this.completed += 1;
    });
  }

  private serviceTimeMs(overload: boolean): number {
    const drawnMs = drawServiceTimeMs(this.options.serviceTime ?? HEAVY_TAIL, this.random);
    const straggleFactor = this.fault === Fault.Straggle ? STRAGGLE_FACTOR : 1;
    return drawnMs * straggleFactor * (overload ? COLD_OVERLOAD_FACTOR : 1);
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const path = request.url ?? '/';
    if (path.startsWith('/bundles/')) {
      this.answerBundle(request, response);
      return;
    }
    const body = JSON.stringify({
      service: this.options.service,
      path,
      id: request.headers['egret-request-id'],
    });
    if (this.fault === Fault.Truncate) {
      response.writeHead(200, { 'Content-Length': body.length * 2 });
      response.write(body);
      setTimeout(() => request.socket.destroy(), 1);
      return;
    }
    response.writeHead(request.method === 'POST' ? 201 : 200, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    response.end(body);
  }

  private answerBundle(request: IncomingMessage, response: ServerResponse): void {
    const { bytes, etag } = this.bundle;
    const ifRange = request.headers['if-range'];
    const match = RANGE.exec(request.headers.range ?? '');
    const partial = match !== null && (ifRange === undefined || ifRange === etag);
    const first = partial ? Number(match[1]) : 0;
    const last = partial && match[2] ? Number(match[2]) : bytes.length - 1;
    const headers: Record<string, string | number> = {
      'Content-Type': 'application/octet-stream',
      'Content-Length': last - first + 1,
      ETag: etag,
      'Accept-Ranges': 'bytes',
    };
    if (partial) headers['Content-Range'] = `bytes ${first}-${last}/${bytes.length}`;
    response.writeHead(partial ? 206 : 200, headers);
    this.writeChunks(response, bytes.subarray(first, last + 1), 0);
  }

  /** Writes a body in chunks, so that {@link Fault.Truncate} can end it half way. */
  private writeChunks(response: ServerResponse, body: Buffer, offset: number): void {
    if (response.destroyed) return;
    if (this.fault === Fault.Truncate && offset > body.length / 2) {
      response.destroy();
      return;
    }
    if (offset >= body.length) {
      response.end();
      return;
    }
    const next = offset + CHUNK_BYTES;
    const writeNext = () => this.writeChunks(response, body, next);
    if (response.write(body.subarray(offset, next))) setImmediate(writeNext);
    else response.once('drain', writeNext);
  }
}
