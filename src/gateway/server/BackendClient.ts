import http, { type IncomingMessage } from 'node:http';
import type { RoutedService } from '../../common/routing/Types.js';
import type { BackendView } from '../BackendView.js';
import {
  AttemptResultType,
  type AnswerRest,
  type AttemptHandle,
  type AttemptResult,
  type HealthReport,
  type WireProfile,
} from '../Types.js';

/** Options of a {@link BackendClient}. */
export interface BackendClientOptions {
  readonly profile: WireProfile;
  /** Longest wait for the answer to a probe; health paths answer within a few milliseconds. */
  readonly probeTimeoutMs?: number;
}

/** Request as it is sent to a backend server. */
export interface AttemptRequest {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** End-to-end headers, names and values in turn. */
  readonly rawHeaders: readonly string[];
  readonly callId: string;
  /** What has arrived of the body. */
  readonly body: Buffer;
  /** Rest of a body that is too long to be held; the attempt can't be repeated. */
  readonly bodyRest: IncomingMessage | null;
  readonly remainingMs: number;
}

const DEFAULT_PROBE_TIMEOUT_MS = 60;

/** Bodies up to this size are held until they are whole, so that a cut one can be asked again. */
const HELD_BODY_MAX_BYTES = 256 * 1024;

/** Idle connections to one backend server that are kept. */
const FREE_SOCKETS_MAX = 4;

/** Idle connections are closed before backend servers close theirs after ten seconds. */
const IDLE_SOCKET_MS = 8_000;

/** Connection that has gone silent: as long as a probe may take in the worst case. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Connections, probes and attempts to backend servers. */
export class BackendClient {
  /** Probes sent so far. */
  probes = 0;

  /** Connections opened so far. */
  connects = 0;

  private readonly agent = new http.Agent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
    maxFreeSockets: FREE_SOCKETS_MAX,
    scheduling: 'lifo',
    timeout: IDLE_SOCKET_MS,
  });

  constructor(private readonly options: BackendClientOptions) {}

  dispose(): void {
    this.agent.destroy();
  }

  /** Asks a backend server for its health and load; null without a usable answer. */
  probe(view: BackendView, service: RoutedService): Promise<HealthReport | null> {
    this.probes += 1;
    const { profile, probeTimeoutMs = DEFAULT_PROBE_TIMEOUT_MS } = this.options;
    return new Promise((resolve) => {
      const request = http.request({
        host: view.record.address,
        port: view.record.port,
        method: 'GET',
        path: service.healthPath,
        agent: this.agent,
        setHost: false,
        headers: { Host: `${view.record.address}:${view.record.port}` },
      });
      const timer = setTimeout(() => {
        resolve(null);
        request.destroy();
      }, probeTimeoutMs);
      const finish = (report: HealthReport | null) => {
        clearTimeout(timer);
        resolve(report);
      };
      request.on('error', () => finish(null));
      request.on('response', (response) => {
        const { statusCode = 0, headers } = response;
        // An answer to an earlier call on this connection: nothing on it can be trusted any more.
        if (profile.readAnswer(statusCode, headers).callId !== undefined) {
          request.destroy();
          finish(null);
          return;
        }
        const report = profile.readHealth(statusCode, headers);
        response.on('error', () => finish(null));
        response.on('end', () => {
          // The socket is free again only after this event.
          setImmediate(() => finish(report));
        });
        response.resume();
      });
      request.end();
    });
  }

  /** Sends one attempt of a call. */
  send(view: BackendView, attempt: AttemptRequest): AttemptHandle {
    const run = new AttemptRun(this.agent, this.options.profile, view, attempt, () => {
      this.connects += 1;
    });
    return { result: run.result, cancel: () => run.cancel() };
  }
}

/** One request to a backend server and its answer. */
class AttemptRun {
  readonly result: Promise<AttemptResult>;

  private settle: (result: AttemptResult) => void = () => {};

  private readonly request: http.ClientRequest;

  /** True from the moment at which a byte may have left. */
  private sent = false;

  private cancelled = false;

  constructor(
    agent: http.Agent,
    private readonly profile: WireProfile,
    view: BackendView,
    private readonly attempt: AttemptRequest,
    onConnect: () => void,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    const { record } = view;
    const { method, target, remainingMs, rawHeaders, body, bodyRest } = attempt;
    const headers = [...rawHeaders];
    headers.push(...profile.attemptHeaders({ remainingMs, backendId: record.id }));
    if (!bodyRest && (body.length > 0 || method === 'POST' || method === 'PUT')) {
      headers.push('Content-Length', String(body.length));
    } else if (bodyRest) {
      const length = bodyRest.headers['content-length'];
      if (length !== undefined) headers.push('Content-Length', length);
      else headers.push('Transfer-Encoding', 'chunked');
    }
    this.request = http.request({
      host: record.address,
      port: record.port,
      method,
      path: target,
      agent,
      setHost: false,
      headers: headers as unknown as http.OutgoingHttpHeaders,
    });
    this.request.on('socket', (socket) => {
      if (!socket.connecting) {
        this.sent = true;
        return;
      }
      socket.once('connect', () => {
        this.sent = true;
        onConnect();
      });
    });
    this.request.on('error', (error: NodeJS.ErrnoException) =>
      this.fail(error.code ?? error.message),
    );
    this.request.on('response', (response) => this.onResponse(response));
    if (body.length > 0) this.request.write(body);
    if (bodyRest) bodyRest.pipe(this.request);
    else this.request.end();
  }

  cancel(): void {
    this.cancelled = true;
    this.settle({ type: AttemptResultType.Cancelled, reason: 'cancelled' });
    this.request.destroy();
  }

  private fail(reason: string): void {
    const type = this.sent ? AttemptResultType.Unknown : AttemptResultType.NotSent;
    this.settle({ type, reason });
  }

  private onResponse(response: IncomingMessage): void {
    const { statusCode = 0, headers } = response;
    const head = this.profile.readAnswer(statusCode, headers);
    if (head.callId !== this.attempt.callId && !head.notRun) {
      this.settle({ type: AttemptResultType.Unknown, reason: 'answer to another call' });
      this.request.destroy();
      return;
    }
    if (head.notRun) {
      response.resume();
      const reason = `not run, status ${statusCode}`;
      this.settle({ type: AttemptResultType.NotRun, reason, load: head.load });
      return;
    }
    this.collect(response, head);
  }

  /** Holds the body until it is whole or too long to be held. */
  private collect(
    response: IncomingMessage,
    head: ReturnType<WireProfile['readAnswer']>,
  ): void {
    const chunks: Buffer[] = [];
    let bodyBytes = 0;
    const answer = (rest: AnswerRest | null): AttemptResult => ({
      type: AttemptResultType.Answer,
      answer: {
        statusCode: response.statusCode ?? 0,
        statusMessage: response.statusMessage ?? '',
        rawHeaders: response.rawHeaders,
        authentic: head.authentic,
        load: head.load,
        body: Buffer.concat(chunks),
        rest,
      },
    });
    const onEnd = () => {
      if (response.complete) this.settle(answer(null));
      else this.fail('answer cut short');
    };
    const onBroken = () => this.fail('answer cut short');
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bodyBytes += chunk.length;
      if (bodyBytes <= HELD_BODY_MAX_BYTES) return;
      response.pause();
      response.off('data', onData);
      response.off('end', onEnd);
      this.settle(answer(this.restOf(response)));
    };
    response.on('data', onData);
    response.on('end', onEnd);
    response.on('error', onBroken);
    response.on('close', () => {
      if (!response.complete) onBroken();
    });
  }

  private restOf(response: IncomingMessage): AnswerRest {
    return {
      read: ({ onData, onEnd, onBroken }) => {
        let open = true;
        const end = (whole: boolean) => {
          if (!open) return;
          open = false;
          if (whole && !this.cancelled) onEnd();
          else onBroken();
        };
        response.on('data', (chunk: Buffer) => {
          if (!onData(chunk)) response.pause();
        });
        response.on('end', () => end(response.complete));
        response.on('error', () => end(false));
        response.on('close', () => end(response.complete));
        response.resume();
      },
      resume: () => response.resume(),
    };
  }
}
