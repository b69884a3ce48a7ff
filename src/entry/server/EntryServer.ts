import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import { API_PREFIX, HeaderName } from '../../common/Constants.js';
import { EgretError, ErrorKind, toEgretError } from '../../common/Errors.js';
import type { EntryHost } from '../../common/Placement.js';
import type { EntryFile } from '../../common/ProcessSettings.js';
import { createProcessRandom, createRandom } from '../../common/Random.js';
import { CONTROL_FIELDS } from '../../control/server/MessageFields.js';
import { HTTP_WITHOUT_CHUNKS } from '../../runtime/AnswerBody.js';
import { AdminListener } from '../../runtime/AdminListener.js';
import { systemClock, type Clock } from '../../runtime/Clock.js';
import { EventLoop } from '../../runtime/EventLoop.js';
import { HttpConnections } from '../../runtime/HttpConnections.js';
import {
  answerParserErrors,
  closeServer,
  headerOf,
  listen,
  sendError,
  sendJson,
} from '../../runtime/HttpJson.js';
import type { Logger } from '../../runtime/Logger.js';
import type { LinkTraffic } from '../../runtime/MessageClient.js';
import { MessageServer } from '../../runtime/MessageServer.js';
import { PortUse, type ProtectServer } from '../../runtime/ProcessLimits.js';
import { requestHeadFault } from '../../runtime/RequestHead.js';
import { refuseTunnels } from '../../runtime/TunnelRequests.js';
import { EntryReducer } from '../EntryReducer.js';
import type { PeerMessage } from '../PeerMessages.js';
import { planStop } from '../StopTimes.js';
import {
  AttemptResult,
  EntryEffectType,
  EntryEventType,
  TargetKind,
  type EntryEffect,
  type EntryEvent,
  type PoolStatus,
  type StartAttemptEffect,
} from '../Types.js';
import { Agents } from './Agents.js';
import { AnnouncementEndpoint } from './AnnouncementEndpoint.js';
import { AttemptRunner, type AttemptEnd } from './AttemptRunner.js';
import type { CallContext } from './CallContext.js';
import { receiveCall, type ReceivedCall } from './CallIntake.js';
import { listBackends } from './BackendList.js';
import { ControlLinks } from './ControlLinks.js';
import { EntryMetrics } from './EntryMetrics.js';
import { formatPoolStatus, POOL_HEADER } from './Headers.js';
import { PEER_FIELDS } from './PeerFields.js';
import { PeerLinks } from './PeerLinks.js';
import { runPlannedStop } from './PlannedStop.js';

/** Options of an {@link EntryServer}. */
export interface EntryServerOptions {
  readonly file: EntryFile;
  readonly secret: string;
  readonly logger: Logger;
  /** Gives the servers of this host their limits; none without it. */
  readonly protect?: ProtectServer;
  readonly clock?: Clock;
  readonly seed?: number;
}

/** Bound listeners of an entry host. */
interface Listeners {
  readonly callerHttp: Server;
  readonly peerHttp: Server;
  readonly adminHttp: Server;
}

type EffectOf<T extends EntryEffectType> = Extract<EntryEffect, { type: T }>;
type Untimed<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

const TICK_MS = 5;

/** Idle time after which a listener closes a connection. */
const KEEP_ALIVE_MS = 60_000;

/** Sends an error answer, or closes the connection if an answer has already begun. */
function refuseRequest(
  connections: HttpConnections,
  request: IncomingMessage,
  response: ServerResponse,
  error: EgretError,
  requestId?: string,
): void {
  if (response.headersSent || response.destroyed) {
    connections.abort(response);
    return;
  }
  // The unread rest of the body would be parsed as the next request; so would the body of a request
  // whose malformed headers state its length.
  const isFramingInDoubt = !request.complete || requestHeadFault(request) !== undefined;
  if (isFramingInDoubt) connections.endWith(response);
  if (connections.endsConnection(response)) response.setHeader('Connection', 'close');
  sendError(response, error, requestId);
}

/** Server of an entry host: connects the reducer to listeners, links and timers. */
export class EntryServer {
  readonly reducer: EntryReducer;

  private readonly metrics: EntryMetrics;

  private readonly clock: Clock;

  private readonly loop: EventLoop<EntryEvent>;

  private readonly callerHttp: Server;

  private readonly peerHttp: Server;

  private readonly callerConnections: HttpConnections;

  private readonly peerConnections: HttpConnections;

  private readonly peerServer: MessageServer;

  private readonly peerLinks: PeerLinks;

  private readonly controlLinks: ControlLinks;

  private readonly admin: AdminListener;

  private readonly agents = new Agents((targetId) =>
    this.post({ type: EntryEventType.TargetClosed, targetId }),
  );

  private readonly announcements: AnnouncementEndpoint;

  /** Calls in progress, by id. */
  private readonly calls = new Map<number, CallContext>();

  /** Calls whose bodies are being received, with what refuses them. */
  private readonly receiving = new Map<number, (error: unknown) => void>();

  /** Responses to announcements and directory requests not yet answered, by request id. */
  private readonly pendingResponses = new Map<number, ServerResponse>();

  private nextId = 1;

  private timer: NodeJS.Timeout | undefined;

  private stopped: Promise<void> | undefined;

  private self: EntryHost;

  private constructor(
    private readonly options: EntryServerOptions,
    listeners: Listeners,
    self: EntryHost,
  ) {
    const { file, secret, logger } = options;
    this.callerHttp = listeners.callerHttp;
    this.peerHttp = listeners.peerHttp;
    this.self = self;
    const isStopping = () => this.self.stopping;
    this.callerConnections = new HttpConnections({
      server: this.callerHttp,
      isStopping,
      mustAnswer: (response) => this.mustAnswer(response),
      endLeft: (response) => this.endLeft(response),
    });
    this.peerConnections = new HttpConnections({ server: this.peerHttp, isStopping });
    this.clock = options.clock ?? systemClock;
    this.reducer = new EntryReducer({
      self,
      random:
        options.seed === undefined
          ? createProcessRandom(self.id, Math.floor(this.clock.wallMs()))
          : createRandom(options.seed),
      bootId: randomUUID().slice(0, 8),
    });
    this.metrics = new EntryMetrics(this.reducer, () => this.clock.nowMs());
    this.loop = new EventLoop<EntryEvent>({ handle: (event) => this.dispatch(event) });
    this.peerServer = new MessageServer({
      secret,
      logger,
      fields: PEER_FIELDS,
      onOpen: () => {},
      onMessage: (session, message) =>
        this.post({
          type: EntryEventType.PeerMessage,
          from: session.clientId,
          message: message as PeerMessage,
        }),
      onClose: () => {},
    });
    this.peerServer.attach(this.peerHttp);
    this.peerLinks = new PeerLinks({
      id: file.id,
      secret,
      logger,
      onUnreachable: (peerId) => this.post({ type: EntryEventType.PeerUnreachable, peerId }),
    });
    this.controlLinks = new ControlLinks({
      id: file.id,
      secret,
      logger,
      fields: CONTROL_FIELDS,
      onOpen: (controlHostId) =>
        this.post({ type: EntryEventType.ControlConnected, controlHostId }),
      onMessage: (controlHostId, message) =>
        this.post({ type: EntryEventType.ControlMessage, controlHostId, message }),
      onClose: (controlHostId) => this.post({ type: EntryEventType.ControlClosed, controlHostId }),
    });
    this.announcements = new AnnouncementEndpoint((announcement, tokenHash, response) => {
      const requestId = this.addPending(response);
      this.post({ type: EntryEventType.Announcement, requestId, announcement, tokenHash });
    });
    this.admin = new AdminListener({
      server: listeners.adminHttp,
      registry: this.metrics.registry,
      isReady: () => this.reducer.status().current && !this.self.stopping,
      paths: {
        [`${API_PREFIX}/backends`]: (request, response) =>
          sendJson(response, 200, listBackends(this.reducer.pools, this.clock.nowMs())),
      },
    });
    this.attachListeners();
    options.protect?.(listeners.callerHttp, PortUse.Callers);
    options.protect?.(listeners.peerHttp, PortUse.Peers);
    options.protect?.(listeners.adminHttp, PortUse.Administration);
  }

  /** Binds the listeners and creates the server. */
  static async open(options: EntryServerOptions): Promise<EntryServer> {
    const { file } = options;
    const limits = {
      maxHeaderSize: file.maxHeaderBytes,
      headersTimeout: file.headTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(1_000, file.headTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true,
    };
    const callerHttp = createServer(limits);
    const peerHttp = createServer(limits);
    const port = await listen(callerHttp, file.listen.address, file.listen.port);
    const peerPort = await listen(peerHttp, file.peerListen.address, file.peerListen.port);
    const adminHttp = createServer(limits);
    const adminPort = await listen(adminHttp, file.adminListen.address, file.adminListen.port);
    const self: EntryHost = {
      id: file.id,
      address: file.listen.address,
      port,
      peerPort,
      adminAddress: file.adminListen.address,
      adminPort,
      availabilityZone: file.availabilityZone,
      stopping: false,
    };
    return new EntryServer(options, { callerHttp, peerHttp, adminHttp }, self);
  }

  get port(): number {
    return this.self.port;
  }

  get peerPort(): number {
    return this.self.peerPort;
  }

  /** Traffic with the control hosts. */
  controlTraffic(): LinkTraffic {
    return this.controlLinks.traffic();
  }

  /** Metrics of this host. */
  get registry(): Registry {
    return this.metrics.registry;
  }

  get adminPort(): number {
    return this.self.adminPort;
  }

  /** Connects to the control hosts and starts serving. */
  start(): void {
    const { file, logger } = this.options;
    this.controlLinks.sync(file.controlHosts);
    this.timer = setInterval(
      () => this.dispatch(this.timed({ type: EntryEventType.Tick })),
      TICK_MS,
    );
    logger.info('entry_started', {
      host: file.id,
      availabilityZone: file.availabilityZone,
      port: this.port,
      peerPort: this.self.peerPort,
      adminPort: this.adminPort,
    });
  }

  /**
   * Planned stop: leaves the directory, serves until callers' directory answers have expired, the
   * last call has ended and all results are durable, then closes, at the latest after `stopMs`. Calls
   * that could end later are refused. A second stop waits for the first.
   */
  stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const { logger, file } = this.options;
    const { directoryValidMs } = this.reducer.settings.catalog.system;
    const startedAtMs = this.clock.nowMs();
    const times = planStop({ startedAtMs, directoryValidMs, stopMs: file.stopMs });
    this.self = { ...this.self, stopping: true };
    const { answerByMs } = times;
    this.dispatch(this.timed({ type: EntryEventType.Stop, answerByMs }));
    const { stopMs } = file;
    logger.info('entry_stopping', { host: file.id, validMs: directoryValidMs, stopMs });
    await runPlannedStop({
      times,
      clock: this.clock,
      host: {
        stopListening: () => this.callerHttp.close(),
        drain: () => this.hasDrained(),
        answerOpenCalls: () => this.answerOpenCalls(),
        unsettledClaims: () => this.reducer.status().unsettledClaims,
      },
    });
    const openCalls = this.callerConnections.dueAnswers + this.peerConnections.dueAnswers;
    await this.close();
    logger.info('entry_stopped', { host: file.id, openCalls });
  }

  /** Closes all connections at once without draining, like a crash. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    this.loop.dispose();
    this.controlLinks.dispose();
    this.peerLinks.dispose();
    this.peerServer.dispose();
    this.agents.dispose();
    await Promise.all([
      this.admin.stop(),
      closeServer(this.callerHttp),
      closeServer(this.peerHttp),
    ]);
  }

  /** True once every call has ended and its caller's connection is closed. */
  private hasDrained(): boolean {
    this.callerConnections.closeIdle();
    // The peers' connections carry the links too, and stay open.
    const answered = this.calls.size === 0 && this.peerConnections.dueAnswers === 0;
    return answered && this.callerConnections.size === 0;
  }

  /** Admits no further call, and answers those whose answer has not begun. */
  private answerOpenCalls(): void {
    this.dispatch(this.timed({ type: EntryEventType.StopExpired }));
    const detail = 'The entry host stopped before the whole request had arrived.';
    [...this.receiving.values()].forEach((refuse) =>
      refuse(new EgretError(ErrorKind.Stopping, detail)),
    );
  }

  private timed(event: Untimed<EntryEvent>): EntryEvent {
    return { ...event, nowMs: this.clock.nowMs() } as EntryEvent;
  }

  /** Queues an event that no call waits for. */
  private post(event: Untimed<EntryEvent>): void {
    this.loop.post(this.timed(event));
  }

  /** Reduces an event at once; call events use this to skip the event loop's channel. */
  private dispatch(event: EntryEvent): void {
    this.reducer.reduce(event).forEach((effect) => {
      const handler = this.effectHandlers[effect.type] as (received: EntryEffect) => void;
      handler(effect);
    });
  }

  private addPending(response: ServerResponse): number {
    const requestId = this.nextId;
    this.nextId += 1;
    this.pendingResponses.set(requestId, response);
    this.callerConnections.whenEnded(response, () => this.pendingResponses.delete(requestId));
    return requestId;
  }

  private attachListeners(): void {
    answerParserErrors(this.callerHttp, this.callerConnections);
    refuseTunnels(this.callerHttp, this.callerConnections);
    answerParserErrors(this.peerHttp, this.peerConnections);
    refuseTunnels(this.peerHttp, this.peerConnections);
    this.callerHttp.on('request', (request: IncomingMessage, response: ServerResponse) =>
      this.onCallerRequest(request, response, false),
    );
    this.callerHttp.on('checkContinue', (request: IncomingMessage, response: ServerResponse) =>
      this.onCallerRequest(request, response, true),
    );
    this.peerHttp.on('request', (request: IncomingMessage, response: ServerResponse) =>
      this.onPeerRequest(request, response),
    );
  }

  private onCallerRequest(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    if (!this.callerConnections.admit(request, response)) return;
    if (request.url?.startsWith(`${API_PREFIX}/`)) this.onApiRequest(request, response);
    else this.onCall(request, response, null, expectsContinue);
  }

  private onPeerRequest(request: IncomingMessage, response: ServerResponse): void {
    if (!this.peerConnections.admit(request, response)) return;
    const [peerId, ticket] = (headerOf(request, HeaderName.Peer) ?? '').split(' ');
    const session = this.peerServer.sessionOfTicket(ticket ?? '');
    if (!session || session.clientId !== peerId) {
      const detail = 'The peer ticket is unknown.';
      sendError(response, new EgretError(ErrorKind.Unauthorized, detail));
      return;
    }
    this.onCall(request, response, peerId, false);
  }

  private onApiRequest(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://entry');
    if (url.pathname === `${API_PREFIX}/announcements`) {
      this.announcements.handle(request, response);
      return;
    }
    if (url.pathname === `${API_PREFIX}/entries`) {
      const requestId = this.addPending(response);
      const service = url.searchParams.get('service');
      const availabilityZone = url.searchParams.get('availabilityZone');
      this.post({ type: EntryEventType.DirectoryRequested, requestId, service, availabilityZone });
      return;
    }
    sendError(
      response,
      new EgretError(ErrorKind.NotFound, `There is no endpoint at ${url.pathname}.`),
    );
  }

  private onCall(
    request: IncomingMessage,
    response: ServerResponse,
    peerId: string | null,
    expectsContinue: boolean,
  ): void {
    const callId = this.nextId;
    this.nextId += 1;
    const nowMs = this.clock.nowMs();
    const { services } = this.reducer.settings.catalog;
    const maxBodyBytesOf = (service: string) => services.get(service)?.settings.maxBodyBytes;
    const refuse = (error: unknown) => {
      this.receiving.delete(callId);
      refuseRequest(
        this.connectionsOf(peerId !== null),
        request,
        response,
        toEgretError(error, ErrorKind.BadRequest),
      );
    };
    try {
      const bodyIdleMs = this.options.file.headTimeoutMs;
      const options = { callId, nowMs, peerId, expectsContinue, bodyIdleMs, maxBodyBytesOf };
      const received = receiveCall(request, response, options);
      if (received instanceof Promise) {
        this.receiving.set(callId, refuse);
        // Once refused, a call is not started, even if its body arrives after all.
        const ifOpen =
          <T>(handle: (result: T) => void) =>
          (result: T) => {
            if (this.receiving.delete(callId)) handle(result);
          };
        received.then(
          ifOpen((call: ReceivedCall) => this.startCall(call)),
          ifOpen(refuse),
        );
      } else this.startCall(received);
    } catch (error) {
      refuse(error);
    }
  }

  private startCall({ call, context }: ReceivedCall): void {
    const { callId, response } = context;
    this.calls.set(callId, context);
    this.connectionsOf(context.forwarded).whenEnded(response, (closedBy) => {
      this.metrics.observe(context.service, this.clock.nowMs() - context.arrivedAtMs);
      context.answerEnded = true;
      if (closedBy) {
        this.dispatch(this.timed({ type: EntryEventType.CallerDisconnected, callId }));
      }
      this.removeIfDone(context);
    });
    this.dispatch(this.timed({ type: EntryEventType.CallArrived, call }));
  }

  /** True for the answer of a call that is not safe to repeat and that a backend server may run. */
  private mustAnswer(response: ServerResponse): boolean {
    const call = this.callOf(response);
    if (!call || call.attempts.size === 0) return false;
    const { services } = this.reducer.settings.catalog;
    const methods: readonly string[] = services.get(call.service)?.settings.idempotentMethods ?? [];
    return !methods.includes(call.method);
  }

  /** Ends a call whose client seems to have left, and answers it in case that it still reads. */
  private endLeft(response: ServerResponse): void {
    const call = this.callOf(response);
    if (!call) {
      this.callerConnections.abort(response);
      return;
    }
    const { callId, request, requestId } = call;
    this.dispatch(this.timed({ type: EntryEventType.CallerDisconnected, callId }));
    const error = new EgretError(ErrorKind.OutcomeUnknown, 'The client has closed its side.');
    refuseRequest(this.callerConnections, request, response, error, requestId);
  }

  private callOf(response: ServerResponse): CallContext | undefined {
    return [...this.calls.values()].find((context) => context.response === response);
  }

  private connectionsOf(forwarded: boolean): HttpConnections {
    return forwarded ? this.peerConnections : this.callerConnections;
  }

  /** True if the answer to a call must carry `Connection: close`. */
  private endsConnection({ forwarded, response }: CallContext): boolean {
    return this.connectionsOf(forwarded).endsConnection(response);
  }

  /** Breaks an answer off. Without chunks only a reset shows the caller that the answer is not whole. */
  private abortAnswer({ forwarded, request, response }: CallContext): void {
    const isUnframed = request.httpVersion === HTTP_WITHOUT_CHUNKS && response.headersSent;
    if (isUnframed) request.socket.resetAndDestroy();
    else this.connectionsOf(forwarded).abort(response);
  }

  private removeIfDone(context: CallContext): void {
    if (context.answerEnded && context.attempts.size === 0) this.calls.delete(context.callId);
  }

  private startAttempt(effect: StartAttemptEffect): void {
    const { target } = effect;
    if (target.kind === TargetKind.Backend) {
      this.runAttempt(effect, '');
      return;
    }
    this.peerLinks.whenOpen(target.id, target.address, target.port, (ticket) =>
      this.runAttempt(effect, ticket),
    );
  }

  private runAttempt(effect: StartAttemptEffect, ticket: string): void {
    const { callId, attemptId, target } = effect;
    const call = this.calls.get(callId);
    const unreachable = target.kind === TargetKind.Peer && ticket === '';
    if (!call || unreachable || call.cancelledIds.has(attemptId)) {
      this.reportNotSent(callId, attemptId);
      return;
    }
    const attempt = new AttemptRunner({
      effect,
      call,
      ticket,
      selfId: this.options.file.id,
      agent: this.agents.ensure(target),
      onHeaders: () =>
        this.dispatch(this.timed({ type: EntryEventType.AttemptHeaders, callId, attemptId })),
      onEnded: (end) => this.onAttemptEnded(call, attemptId, end),
      endsConnection: () => this.endsConnection(call),
      poolStatus: () => this.poolStatus(call.service),
    });
    call.attempts.set(attemptId, attempt);
  }

  private poolStatus(service: string): PoolStatus | null {
    return this.reducer.pools.get(service)?.status(this.clock.nowMs()) ?? null;
  }

  /** Reports an attempt that was not started. */
  private reportNotSent(callId: number, attemptId: number): void {
    this.dispatch(
      this.timed({
        type: EntryEventType.AttemptEnded,
        callId,
        attemptId,
        result: AttemptResult.NotSent,
        statusCode: 0,
        resume: null,
        answer: null,
        peerStatus: null,
        peerRefusal: null,
      }),
    );
  }

  private onAttemptEnded(call: CallContext, attemptId: number, end: AttemptEnd): void {
    call.attempts.delete(attemptId);
    const completed = call.answeringId === attemptId && end.result === AttemptResult.Completed;
    if (completed) call.response.end();
    const { callId } = call;
    this.dispatch(this.timed({ type: EntryEventType.AttemptEnded, callId, attemptId, ...end }));
    this.removeIfDone(call);
  }

  private answerPending(requestId: number, body: unknown, error: EgretError | null): void {
    const response = this.pendingResponses.get(requestId);
    this.pendingResponses.delete(requestId);
    if (!response) return;
    if (error) sendError(response, error);
    else sendJson(response, 200, body);
  }

  private readonly effectHandlers = {
    [EntryEffectType.SendControl]: (effect: EffectOf<EntryEffectType.SendControl>) =>
      this.controlLinks.send(effect.controlHostId, effect.message),
    [EntryEffectType.SendPeer]: (effect: EffectOf<EntryEffectType.SendPeer>) =>
      this.peerLinks.send(effect.peer, effect.message),
    [EntryEffectType.SyncControlHosts]: (effect: EffectOf<EntryEffectType.SyncControlHosts>) =>
      this.controlLinks.sync(effect.controlHosts),
    [EntryEffectType.AnswerAnnouncement]: (effect: EffectOf<EntryEffectType.AnswerAnnouncement>) =>
      this.answerPending(effect.requestId, effect.answer, effect.error),
    [EntryEffectType.AnswerDirectory]: (effect: EffectOf<EntryEffectType.AnswerDirectory>) =>
      this.answerPending(effect.requestId, effect.answer, effect.error),
    [EntryEffectType.StartAttempt]: (effect: StartAttemptEffect) => this.startAttempt(effect),
    [EntryEffectType.CancelAttempt]: (effect: EffectOf<EntryEffectType.CancelAttempt>) => {
      const call = this.calls.get(effect.callId);
      const attempt = call?.attempts.get(effect.attemptId);
      if (attempt) attempt.cancel();
      else call?.cancelledIds.add(effect.attemptId);
    },
    [EntryEffectType.UseAnswer]: (effect: EffectOf<EntryEffectType.UseAnswer>) => {
      const call = this.calls.get(effect.callId);
      if (!call) return;
      call.answeringId = effect.attemptId;
      call.attempts.get(effect.attemptId)?.useAnswer();
    },
    [EntryEffectType.RefuseCall]: (effect: EffectOf<EntryEffectType.RefuseCall>) => {
      const call = this.calls.get(effect.callId);
      if (!call) return;
      const { request, response, requestId, forwarded, service } = call;
      const status = forwarded ? this.poolStatus(service) : null;
      if (status && !response.headersSent) {
        response.setHeader(POOL_HEADER, formatPoolStatus(status));
      }
      refuseRequest(this.connectionsOf(forwarded), request, response, effect.error, requestId);
    },
    [EntryEffectType.ReplayCall]: (effect: EffectOf<EntryEffectType.ReplayCall>) => {
      const call = this.calls.get(effect.callId);
      if (!call || call.response.destroyed) return;
      const { statusCode, rawHeaders, body } = effect.answer;
      const headers = [...rawHeaders, 'Egret-Request-Id', call.requestId, 'Egret-Replayed', 'true'];
      if (this.endsConnection(call)) headers.push('Connection', 'close');
      call.response.writeHead(statusCode, headers as unknown as Record<string, string>);
      call.response.end(body);
    },
    [EntryEffectType.AbortAnswer]: (effect: EffectOf<EntryEffectType.AbortAnswer>) => {
      const call = this.calls.get(effect.callId);
      if (call) this.abortAnswer(call);
    },
    [EntryEffectType.CloseTarget]: (effect: EffectOf<EntryEffectType.CloseTarget>) =>
      this.agents.close(effect.targetId),
    [EntryEffectType.Log]: (effect: EffectOf<EntryEffectType.Log>) =>
      this.options.logger.info(effect.event, effect.fields),
    [EntryEffectType.Count]: (effect: EffectOf<EntryEffectType.Count>) =>
      this.metrics.count(effect.counter, effect.service),
  };
}
