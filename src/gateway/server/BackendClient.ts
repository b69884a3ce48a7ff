import http from 'node:http';
import net from 'node:net';
import { AnswerGuard } from '../../runtime/AnswerGuard.js';
import { headFault } from '../../runtime/AnswerHead.js';
import { watchReset } from '../../runtime/ConnectionReset.js';
import { FaultBoundary } from '../../runtime/FaultBoundary.js';
import { GuardedAgent, type Connect } from '../../runtime/GuardedAgent.js';
import { SocketBytes, type ByteCounts } from '../../runtime/SocketBytes.js';
import type { RoutedService } from '../../common/routing/Types.js';
import type { BackendView } from '../BackendView.js';
import { ConnectResult } from '../ReachMonitor.js';
import {
  AttemptResultType,
  ProbeMiss,
  isMiss,
  type AttemptHandle,
  type BackendNotice,
  type LimitReading,
  type ProbeResult,
  type WireProfile,
} from '../Types.js';
import { AttemptRun, type AttemptRequest } from './AttemptRun.js';

/** Kinds of requests to backend servers. */
export enum RequestKind {
  Call = 'call',
  Probe = 'probe',
}

/** Limit that a backend server named, or did not name, in an answer. */
export interface LimitAnswer {
  readonly view: BackendView;
  readonly kind: RequestKind;
  readonly reading: LimitReading;
  /** Time at which the request was sent. */
  readonly sentAtMs: number;
}

/** Options of a {@link BackendClient}. */
export interface BackendClientOptions {
  readonly profile: WireProfile;
  /** Longest wait for the answer to a probe; health paths answer within a few milliseconds. */
  readonly probeTimeoutMs?: number;
  readonly nowMs?: () => number;
  /** Called for every request right before it is sent. */
  readonly onRequest?: (view: BackendView, kind: RequestKind) => void;
  /** Called with the request limit in every answer of the backend server itself. */
  readonly onLimit?: (answer: LimitAnswer) => void;
  /** Called with every notice in an answer of the backend server itself that changes its state. */
  readonly onNotice?: (view: BackendView, notice: BackendNotice) => void;
  /** Called with the bytes of every request and its answer once they have ended. */
  readonly onBytes?: (view: BackendView, kind: RequestKind, counts: ByteCounts) => void;
  /** Opens connections to backend servers; `net.connect` by default. */
  readonly connect?: Connect;
  /** Receives what requests show about the links to backend servers. */
  readonly reach?: ReachObserver;
}

/** Receives what requests show about the links to backend servers. */
export interface ReachObserver {
  noteConnected(): void;
  noteAnswered(view: BackendView): void;
  noteFailed(view: BackendView): void;
}

const DEFAULT_PROBE_TIMEOUT_MS = 60;

/** Time after its timeout in which the answer to a probe may still arrive, to keep the connection. */
const PROBE_END_TIMEOUT_MS = 1_000;

/** Largest body of a health answer; its headers hold all that is used. */
const HEALTH_BODY_MAX_BYTES = 64 * 1024;

/** Maximum number of idle connections kept for one backend server. */
const FREE_SOCKETS_MAX = 4;

/** Idle connections are closed before backend servers close theirs after ten seconds. */
const IDLE_SOCKET_MS = 8_000;

/** Idle time before TCP keep-alive packets: as long as a probe may take in the worst case. */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** Sends probes and attempts to backend servers over pooled connections. */
export class BackendClient {
  /** Probes sent so far. */
  probes = 0;

  /** Connections opened so far. */
  connects = 0;

  private readonly socketBytes = new SocketBytes();

  private readonly agent = new GuardedAgent({
    keepAlive: true,
    keepAliveMsecs: TCP_KEEP_ALIVE_DELAY_MS,
    maxFreeSockets: FREE_SOCKETS_MAX,
    scheduling: 'lifo',
    timeout: IDLE_SOCKET_MS,
  });

  constructor(private readonly options: BackendClientOptions) {
    if (options.connect) Object.assign(this.agent, { createConnection: options.connect });
  }

  dispose(): void {
    this.agent.destroy();
  }

  /** Opens a connection to a backend server and closes it. */
  tryConnect(view: BackendView, timeoutMs: number): Promise<ConnectResult> {
    this.connects += 1;
    const { connect = net.connect } = this.options;
    return new Promise((resolve) => {
      const socket = connect({ host: view.record.address, port: view.record.port });
      const finish = (result: ConnectResult) => {
        resolve(result);
        socket.destroy();
      };
      const timer = setTimeout(() => {
        // Events that arrived while the event loop was busy are handled first.
        setImmediate(() => finish(ConnectResult.TimedOut));
      }, timeoutMs);
      socket.once('connect', () => finish(ConnectResult.Connected));
      socket.on('error', () => finish(ConnectResult.Refused));
      socket.once('close', () => clearTimeout(timer));
    });
  }

  /** Requests health and load of a backend server. */
  probe(view: BackendView, service: RoutedService): Promise<ProbeResult> {
    this.probes += 1;
    const { profile, probeTimeoutMs = DEFAULT_PROBE_TIMEOUT_MS } = this.options;
    const noteLimit = this.noteRequest(view, RequestKind.Probe);
    const noteNotice = this.noticeObserver(view);
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
      this.countBytes(request, view, RequestKind.Probe);
      const guard = new AnswerGuard(request);
      const { reach } = this.options;
      let timer: NodeJS.Timeout | undefined;
      let endTimer: NodeJS.Timeout | undefined;
      request.once('close', () => clearTimeout(endTimer));
      // Node's client may report the end of an answer behind an error, or after this host closed the connection.
      let isBroken = false;
      const abort = () => {
        isBroken = true;
        request.destroy();
      };
      let finished = false;
      const finish = (result: ProbeResult) => {
        if (finished) return;
        finished = true;
        clearTimeout(timer);
        if (isMiss(result)) reach?.noteFailed(view);
        else reach?.noteAnswered(view);
        resolve(result);
      };
      timer = setTimeout(() => {
        finish(ProbeMiss.Late);
        // A late answer leaves the connection usable; a new one costs more while hosts are busy.
        endTimer = setTimeout(abort, PROBE_END_TIMEOUT_MS);
      }, probeTimeoutMs);
      request.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => reach?.noteConnected());
      });
      request.on('error', () => {
        isBroken = true;
        finish(ProbeMiss.Failed);
      });
      const boundary = new FaultBoundary(() => {
        finish(ProbeMiss.Failed);
        abort();
      });
      watchReset(request, () => {
        isBroken = true;
      });
      const onResponse = (response: http.IncomingMessage) => {
        const { statusCode = 0, headers } = response;
        // An answer to an earlier call: nothing on this connection can be trusted any more.
        const isForeign = profile.readAnswer(statusCode, headers).callId !== undefined;
        if (isForeign || headFault(response) !== undefined) {
          abort();
          finish(ProbeMiss.Failed);
          return;
        }
        const report = profile.readHealth(statusCode, headers);
        const isOwnAnswer = (report.backendId ?? view.record.id) === view.record.id;
        let bodyBytes = 0;
        // Nothing of an answer counts before it is whole.
        const onEnd = () => {
          if (isBroken) {
            finish(ProbeMiss.Failed);
            return;
          }
          if (isOwnAnswer) {
            noteLimit(report.limit);
            noteNotice(report.notice);
          }
          // The socket is free again only after this event.
          setImmediate(() => finish(report));
        };
        response.on('data', (chunk: Buffer) => {
          guard.noteProgress();
          bodyBytes += chunk.length;
          if (bodyBytes > HEALTH_BODY_MAX_BYTES) abort();
        });
        response.on('error', () => finish(ProbeMiss.Failed));
        response.on('end', boundary.wrap(onEnd));
      };
      request.on('response', boundary.wrap(onResponse));
      request.end();
    });
  }

  /** Sends one attempt of a call. */
  send(view: BackendView, attempt: AttemptRequest): AttemptHandle {
    const onLimit = this.noteRequest(view, RequestKind.Call);
    const { profile, reach } = this.options;
    const onConnect = () => {
      this.connects += 1;
      reach?.noteConnected();
    };
    const run = new AttemptRun(this.agent, profile, view, attempt, {
      onConnect,
      onLimit,
      onNotice: this.noticeObserver(view),
      onRequest: (request) => this.countBytes(request, view, RequestKind.Call),
    });
    run.result.then(
      ({ type }) => {
        const answered = type === AttemptResultType.Answer || type === AttemptResultType.NotRun;
        if (answered) reach?.noteAnswered(view);
        else if (type === AttemptResultType.NotSent) reach?.noteFailed(view);
      },
      () => {},
    );
    return { result: run.result, cancel: () => run.cancel() };
  }

  /** Returns a function that applies notices to the incarnation to which a request is sent now. */
  private noticeObserver(view: BackendView): (notice: BackendNotice) => void {
    const { nowMs = () => performance.now(), onNotice } = this.options;
    const { bornMs } = view.record;
    return (notice) => {
      if (view.record.bornMs !== bornMs) return;
      if (view.noteNotice(notice, nowMs())) onNotice?.(view, notice);
    };
  }

  private countBytes(request: http.ClientRequest, view: BackendView, kind: RequestKind): void {
    const { onBytes } = this.options;
    if (onBytes) this.socketBytes.watch(request, (counts) => onBytes(view, kind, counts));
  }

  /** Reports a request; returns the function that reports the limit in its answer. */
  private noteRequest(view: BackendView, kind: RequestKind): (reading: LimitReading) => void {
    const { nowMs = () => performance.now(), onRequest, onLimit } = this.options;
    const sentAtMs = nowMs();
    onRequest?.(view, kind);
    return (reading) => onLimit?.({ view, kind, reading, sentAtMs });
  }
}
