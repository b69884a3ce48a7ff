import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { closeServer, listen } from '../src/runtime/HttpJson.js';
import { createAnnouncement } from './ProviderDocuments.js';
import { sendDocument } from './SendDocument.js';

/** Response of a stand-in backend server to requests. */
export enum BackendBehaviour {
  Answer = 'answer',
  /** Rejects the request as not run. */
  Shed = 'shed',
  /** Runs the request and resets the connection. */
  LoseAnswer = 'lose-answer',
  /** Answers with the attempt id of another request. */
  ForeignAnswer = 'foreign-answer',
  /** Closes the connection in the middle of a body with a Content-Length. */
  CutAnswer = 'cut-answer',
  /** Sends a body without Content-Length that ends where the connection closes. */
  Unframed = 'unframed',
  /** Sends a part of an answer without a length and resets the connection right behind it. */
  UnframedReset = 'unframed-reset',
  /** Begins an answer without a length at the head of a request; {@link ProviderBackend.resetBegun} ends it. */
  Begin = 'begin',
  /** Answers with status 204, which has neither a body nor a length. */
  NoContent = 'no-content',
  /** Runs the request and answers with status 500. */
  Fail = 'fail',
  /** Never answers. */
  Hang = 'hang',
}

/** Options of a {@link ProviderBackend}. */
export interface ProviderBackendOptions {
  readonly id: string;
  readonly service?: string;
  readonly availabilityZone?: string;
  readonly version?: string;
  /** Unix time of its start; that of the sample documents by default. */
  readonly bornMs?: number;
  readonly behaviour?: BackendBehaviour;
  readonly workMs?: number;
}

/** Request that a stand-in backend server ran. */
export interface RunRequest {
  readonly callId: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly budgetMs: number;
  /** Names of the request's headers, in lower case. */
  readonly headerNames: readonly string[];
  readonly headers: IncomingHttpHeaders;
}

const BODY = 'the body of the answer';

/** Minimal backend server that implements the provider's protocol over loopback. */
export class ProviderBackend {
  readonly runs: RunRequest[] = [];

  behaviour: BackendBehaviour;

  slowdownPercent = 100;

  coldLeftMs = 0;

  /** Value of the header that names its request limit; undefined to name none. */
  limit: string | undefined;

  /** Times of all requests, probes included. */
  readonly requestTimesMs: number[] = [];

  workMs: number;

  /** Body of complete answers. */
  body: string | Buffer = BODY;

  /** Requests that run and whose connection is open. */
  openRequests = 0;

  private readonly begun: ServerResponse[] = [];

  private sequence = 0;

  private boundPort = 0;

  private readonly server = createServer((incoming, response) => this.handle(incoming, response));

  constructor(readonly options: ProviderBackendOptions) {
    this.behaviour = options.behaviour ?? BackendBehaviour.Answer;
    this.workMs = options.workMs ?? 1;
  }

  get port(): number {
    return this.boundPort;
  }

  async start(): Promise<void> {
    this.boundPort = await listen(this.server, '127.0.0.1', 0);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  /** Sends an announcement to a control host and resolves with the HTTP status of its answer. */
  announce(controlPort: number, state = 'ready'): Promise<number> {
    const { id, service = 'alpha', availabilityZone = 'perth', version = 'v1' } = this.options;
    const { bornMs } = this.options;
    this.sequence += 1;
    const body = createAnnouncement(`127.0.0.1:${this.port}`, this.sequence, {
      info: { service, version, zone: availabilityZone, slots: 3 },
      status: { state, sequence: this.sequence, cold_left_ms: this.coldLeftMs },
      ...(bornMs !== undefined && { born: bornMs }),
    });
    const path = `/egretcourse/instances/${id}`;
    return sendDocument({ port: controlPort, method: 'PUT', path, body }).then(
      (reply) => reply.status,
    );
  }

  /** Sends all but the last byte of the answers that were begun, and resets their connections behind it. */
  resetBegun(): void {
    this.begun.splice(0).forEach((response) => {
      response.write(this.body.slice(-2, -1), () => response.socket?.resetAndDestroy());
    });
  }

  private handle(incoming: IncomingMessage, response: ServerResponse): void {
    const { id } = this.options;
    this.requestTimesMs.push(performance.now());
    response.setHeader('X-Server-Load', `0,0,3,${this.slowdownPercent}`);
    if (this.limit !== undefined) response.setHeader('Server-Limit', this.limit);
    if (incoming.url === '/health') {
      response.setHeader('X-Instance-Id', id);
      response.setHeader('X-Cold-Ms', String(this.coldLeftMs));
      response.end();
      return;
    }
    if (this.behaviour === BackendBehaviour.Begin) {
      this.run(incoming, response, '');
      return;
    }
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => this.run(incoming, response, Buffer.concat(chunks).toString()));
  }

  private run(incoming: IncomingMessage, response: ServerResponse, body: string): void {
    const callId = String(incoming.headers['x-attempt-id']);
    response.setHeader('X-Attempt-Id', callId);
    if (incoming.headers['x-expect-instance'] !== this.options.id) {
      response.writeHead(421).end();
      return;
    }
    if (this.behaviour === BackendBehaviour.Shed) {
      response.writeHead(503, { 'X-Not-Executed': '1' }).end();
      return;
    }
    this.runs.push({
      callId,
      method: incoming.method ?? '',
      target: incoming.url ?? '',
      body,
      budgetMs: Number(incoming.headers['x-deadline-ms']),
      headerNames: Object.keys(incoming.headers),
      headers: incoming.headers,
    });
    this.openRequests += 1;
    response.once('close', () => {
      this.openRequests -= 1;
    });
    response.setHeader('X-Response-Signature', `mark-of-${this.options.id}`);
    const { behaviour } = this;
    setTimeout(() => this.answers[behaviour](response), this.workMs);
  }

  private readonly answers: Record<BackendBehaviour, (response: ServerResponse) => void> = {
    [BackendBehaviour.Answer]: (response) => response.end(this.body),
    [BackendBehaviour.Shed]: (response) => response.end(),
    [BackendBehaviour.LoseAnswer]: (response) => response.socket?.resetAndDestroy(),
    [BackendBehaviour.ForeignAnswer]: (response) => {
      response.setHeader('X-Attempt-Id', 'another-call');
      response.end(BODY);
    },
    [BackendBehaviour.CutAnswer]: (response) => {
      response.writeHead(200, { 'Content-Length': BODY.length });
      response.write(BODY.slice(0, 5));
      setTimeout(() => response.destroy(), 5);
    },
    [BackendBehaviour.Unframed]: (response) => {
      response.useChunkedEncodingByDefault = false;
      response.end(this.body);
    },
    [BackendBehaviour.UnframedReset]: (response) => {
      response.useChunkedEncodingByDefault = false;
      response.write(BODY.slice(0, 5), () => response.socket?.resetAndDestroy());
    },
    [BackendBehaviour.Begin]: (response) => {
      response.useChunkedEncodingByDefault = false;
      response.write(this.body.slice(0, -2));
      this.begun.push(response);
    },
    [BackendBehaviour.NoContent]: (response) => response.writeHead(204).end(),
    [BackendBehaviour.Fail]: (response) => response.writeHead(500).end(),
    [BackendBehaviour.Hang]: () => {},
  };
}
