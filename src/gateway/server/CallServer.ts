import type { IncomingMessage, ServerResponse } from 'node:http';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { RouteKind, type Route, type RoutedService } from '../../common/routing/Types.js';
import { copyEndToEnd } from '../../entry/server/Headers.js';
import { noteKeptBytes, whenLimited } from '../../runtime/ConnectionGuard.js';
import { fingerprintOf } from '../../runtime/Fingerprint.js';
import { FaultBoundary } from '../../runtime/FaultBoundary.js';
import type { ClosedBy } from '../../runtime/HttpConnections.js';
import { requestHeadFault } from '../../runtime/RequestHead.js';
import { CallStanding } from '../CrashSuspects.js';
import type { CrashWatch } from '../CrashWatch.js';
import {
  DispatchOutcomeType,
  type CallDispatcher,
  type CallSenders,
  type DispatchOutcome,
  type SendAttempt,
} from '../DispatchTypes.js';
import type { ActiveRouting } from '../ActiveRouting.js';
import type { UsageCaps } from '../caps/UsageCaps.js';
import { CustomerCheck } from '../customers/CustomerCheck.js';
import type { Call } from '../Types.js';
import { AnswerWriter, type AnswerWriterOptions } from './AnswerWriter.js';
import type { BackendClient } from './BackendClient.js';
import { CallPlanner, type CallPlan, type CallSource } from './CallPlanner.js';
import { FORWARD_HEADER, PeerAnswer, type ForwardMark, type ForwardMarks } from './ForwardMark.js';
import { OpenCall } from './OpenCall.js';
import { OpenCalls, type OpenCallsOptions } from './OpenCalls.js';
import { RequestBodyReader, readUnusedBody } from './RequestBody.js';

/** Options of a {@link CallServer}. */
export interface CallServerOptions
  extends AnswerWriterOptions, Pick<OpenCallsOptions, 'stopSchedule'> {
  readonly routing: ActiveRouting;
  readonly dispatcher: CallDispatcher;
  readonly client: BackendClient;
  /** Sends calls to other gateways. */
  readonly peerClient: BackendClient;
  readonly marks: ForwardMarks;
  readonly nowMs: () => number;
  /** True from the start of a planned stop. */
  readonly isStopping: () => boolean;
  readonly crashes: CrashWatch;
  /** Waits briefly for routing if the gateway has just started; otherwise resolves at once. */
  readonly waitUntilReady: (budgetMs: number) => Promise<void>;
  /** Error for calls while they must not be served by the applied routing; none if omitted. */
  readonly routingRefusal?: () => EgretError | undefined;
  /** Counts a call that is served; returns the state of the routing unless it is current. */
  readonly noteServed?: () => string | undefined;
  /** True if keys must be refused because the routing may be out of date. */
  readonly areKeysStale?: () => boolean;
  readonly createId: () => string;
  /** Usage caps; omitted without caps and for calls that another gateway has counted. */
  readonly caps?: Pick<UsageCaps, 'admit'>;
}

/** Time budget of a call whose caller sends no deadline. */
const DEFAULT_BUDGET_MS = 30_000;

/** Time reserved within the caller's deadline for sending the answer to it. */
const ANSWER_MARGIN_MS = 15;

/** Retry delay of a quarantined call: the time after which a suspicion expires. */
const RETRY_AFTER_QUARANTINE_MS = 60_000;

/** Largest number of calls of other gateways in progress; further ones are refused. */
const FORWARDED_CALLS_MAX = 200;

/** Longest wait for a connection to another gateway; a lost one leaves the list within a second. */
const PEER_CONNECT_TIMEOUT_MS = 250;

/** Request headers that are set anew instead of copied, in addition to those of the profile. */
const OWN_REQUEST_HEADERS = ['expect', 'content-length', FORWARD_HEADER];

function isBeingStreamed({ headersSent, writableEnded }: ServerResponse): boolean {
  return headersSent && !writableEnded;
}

/** Serves callers: finds the route, dispatches the call and forwards the answer. */
export class CallServer {
  /** Calls whose answers are not yet sent completely. */
  private readonly inProgress: OpenCalls;

  private readonly openCallOf = new WeakMap<ServerResponse, OpenCall>();

  /** Answers of non-idempotent calls. */
  private readonly unrepeatable = new WeakSet<ServerResponse>();

  private readonly ownRequestHeaders: ReadonlySet<string>;

  /** Request headers that are set anew where the routing has customers. */
  private readonly checkedRequestHeaders: ReadonlySet<string>;

  private readonly planner: CallPlanner;

  private readonly answers: AnswerWriter;

  constructor(private readonly options: CallServerOptions) {
    this.ownRequestHeaders = new Set([
      ...options.profile.attemptHeaderNames,
      ...OWN_REQUEST_HEADERS,
    ]);
    this.answers = new AnswerWriter(options);
    this.inProgress = new OpenCalls({ ...options, answers: this.answers });
    const { profile, routing, areKeysStale } = options;
    const customerHeaders = profile.customers?.headerNames ?? [];
    this.checkedRequestHeaders = new Set([...this.ownRequestHeaders, ...customerHeaders]);
    this.planner = new CallPlanner({
      routing,
      customers: new CustomerCheck({ routing, wire: profile.customers, isStale: areKeysStale }),
      refusal: () => options.routingRefusal?.(),
    });
  }

  get openCalls(): number {
    return this.inProgress.size;
  }

  /**
   * True for the answer of a non-idempotent call that may run: stopping it is of no use to anyone, and
   * its client may still read.
   */
  mustAnswer(response: ServerResponse): boolean {
    return this.unrepeatable.has(response) && this.openCallOf.get(response)?.mayHaveRun === true;
  }

  /** Ends a call whose client seems to have left. */
  endLeft(response: ServerResponse): void {
    const open = this.openCallOf.get(response);
    if (!open) return;
    const boundary = new FaultBoundary((error) => this.answers.fail(response, open.callId, error));
    boundary.run(() => this.inProgress.endLeft(open));
  }

  /** Handles one request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const { connections } = this.options;
    if (!connections.admit(request, response)) {
      this.logUnadmitted(request);
      return;
    }
    const open = new OpenCall(response);
    this.inProgress.add(open);
    this.openCallOf.set(response, open);
    whenLimited(request, () => open.abandon());
    connections.whenEnded(response, (closedBy) => {
      this.inProgress.delete(open);
      readUnusedBody(request);
      if (closedBy) this.logUndelivered(request, closedBy);
    });
    this.serve(request, response, open).catch((error: unknown) => {
      this.answers.fail(response, open.callId, error);
    });
  }

  /** Refuses the calls that have not run and that a planned stop leaves too little time for. */
  refuseLateCalls(): void {
    this.inProgress.refuseLate();
  }

  /** Answers all calls without an answer, at the end of a planned stop. */
  endOpenCalls(): void {
    this.inProgress.end();
  }

  /** Logs a request that was read on a connection that ends before an answer to it. */
  private logUnadmitted(request: IncomingMessage): void {
    const { connections, isStopping, log, profile } = this.options;
    log('call_unadmitted', {
      call: profile.readCall(request.headers).callId,
      target: request.url,
      closedForMs: connections.closedForMs(request),
      stopping: isStopping(),
    });
  }

  /** Logs an answer that its caller did not get completely. */
  private logUndelivered(request: IncomingMessage, closedBy: ClosedBy): void {
    const { callId } = this.options.profile.readCall(request.headers);
    this.options.log('answer_undelivered', {
      call: callId,
      closedBy,
      target: request.url,
      stopping: this.options.isStopping(),
    });
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    open: OpenCall,
  ): Promise<void> {
    const { options } = this;
    const bodyReader = new RequestBodyReader(request);
    const head = options.profile.readCall(request.headers);
    const callId = head.callId ?? options.createId();
    open.identify(callId);
    if (!this.acceptHead(request, response, callId)) return;
    const mark = options.servesPeers ? options.marks.read(request) : undefined;
    if (options.servesPeers && !this.acceptForwarded(response, callId, mark)) return;
    const arrivedAtMs = options.nowMs();
    const callerBudgetMs = head.budgetMs ?? DEFAULT_BUDGET_MS;
    await options.waitUntilReady(callerBudgetMs);
    const source: CallSource = {
      host: request.headers.host ?? '',
      target: request.url ?? '/',
      headers: request.headers,
      forwarded: mark?.customer,
    };
    const arrival = this.plan(source, callId, response);
    const limit = { arrivedAtMs, callerBudgetMs };
    if (!arrival || !this.admitLimited(open, arrival, limit)) return;
    if (!this.admitUsage(response, callId, arrival.customer, arrival.route.objectiveMs)) return;
    const endsAtMs = arrivedAtMs + Math.min(callerBudgetMs, arrival.route.timeoutMs);
    const read = await bodyReader.read({
      bodyBytesMax: arrival.bodyBytesMax,
      timeoutMs: endsAtMs - options.nowMs(),
    });
    if (read.type === 'broken' || !this.inProgress.admit(open)) return;
    if (read.type === 'late') {
      // What is left of the body would be taken for the next request.
      options.connections.endWith(response);
      this.refuseUnserved(response, callId, ErrorKind.SlowClient);
      return;
    }
    if (read.type === 'too-large') {
      this.refuseUnserved(response, callId, ErrorKind.BodyTooLarge);
      return;
    }
    const fingerprint = () => fingerprintOf(request.method ?? 'GET', request.url ?? '/', read.body);
    const standing = options.crashes.standingOf(fingerprint);
    if (standing === CallStanding.Quarantined) {
      const retry = { retryAfterMs: RETRY_AFTER_QUARANTINE_MS };
      options.log('call_quarantined', { call: callId, route: arrival.route.name });
      const error = new EgretError(ErrorKind.Overloaded, 'The call crashes servers.', retry);
      this.answers.refuse(response, callId, error);
      return;
    }
    if (!(await this.waitForCallsAhead(arrival.route, response))) return;
    if (options.routingRefusal?.()) {
      await options.waitUntilReady(arrivedAtMs + callerBudgetMs - options.nowMs());
    }
    if (!this.inProgress.admit(open)) return;
    // The routing may have changed while the body arrived, or calls ahead ended.
    const plan = this.plan(source, callId, response);
    if (!plan || !this.admitLimited(open, plan, limit)) return;
    const { route, customer, isKeyChecked, priority, routingVersion } = plan;
    if (route.kind === RouteKind.NonIdempotent) this.unrepeatable.add(response);
    const service = this.planner.chooseService(plan);
    const isTooLarge = read.body.length > plan.bodyBytesMax;
    if (isTooLarge || !service) {
      this.refuseUnserved(response, callId, service ? ErrorKind.BodyTooLarge : ErrorKind.NoBackend);
      return;
    }
    const budgetMs = Math.min(callerBudgetMs, route.timeoutMs);
    const singleAttempt = read.type === 'long' || standing === CallStanding.Suspect;
    const attemptsMax = Math.min(route.attemptsMax, mark?.attemptsMax ?? route.attemptsMax);
    const call: Call = {
      callId,
      route: { ...route, priority, attemptsMax: singleAttempt ? 1 : attemptsMax },
      service: service.name,
      routingVersion,
      routingState: options.noteServed?.(),
      customer,
      isKeyChecked,
      arrivedAtMs,
      dueAtMs: arrivedAtMs + budgetMs - ANSWER_MARGIN_MS,
      objectiveAtMs: arrivedAtMs + route.objectiveMs - (mark?.elapsedMs ?? 0),
      fingerprint,
      isCounted: mark?.isCounted ?? false,
      bodyBytes: Number(request.headers['content-length'] ?? read.body.length),
      isBodyStreamed: read.type === 'long',
      isRouted: () => this.planner.isInForce(source, plan, service.name),
      isCallerConnected: () => options.connections.isDue(response),
      mayBeSent: () => this.inProgress.mayBeSent(open),
    };
    const rest = read.type === 'long' ? request : null;
    const outcome = await this.dispatch(call, service, request, open, read.body, rest);
    // At the end of a planned stop the call has been answered.
    if (!response.headersSent) this.finish(call, route, response, outcome);
  }

  /** Notes the time limit of a call; refuses it if a planned stop leaves too little time for it. */
  private admitLimited(
    open: OpenCall,
    { route }: CallPlan,
    { arrivedAtMs, callerBudgetMs }: { arrivedAtMs: number; callerBudgetMs: number },
  ): boolean {
    open.setLimit({
      route: route.name,
      arrivedAtMs,
      endsAtMs: arrivedAtMs + Math.min(callerBudgetMs, route.timeoutMs),
      isRepeatable: route.kind !== RouteKind.NonIdempotent,
    });
    return this.inProgress.admit(open);
  }

  /** Terms for a call by the routing in force; refuses it if there are none. */
  private plan(source: CallSource, callId: string, response: ServerResponse): CallPlan | undefined {
    const result = this.planner.plan(source);
    if (result.type === 'planned') return result.plan;
    const { error, checkedRoute } = result;
    const { kind, detail } = error;
    // An old routing shows in the routes that it lacks as well as in the services that it chooses.
    if (kind === ErrorKind.NotFound) this.options.noteServed?.();
    if (checkedRoute) {
      const route = checkedRoute.name;
      this.options.log('call_unauthenticated', { call: callId, route, kind, detail });
    }
    this.answers.refuse(response, callId, error);
    return undefined;
  }

  private refuseUnserved(response: ServerResponse, callId: string, kind: ErrorKind): void {
    this.answers.refuse(response, callId, new EgretError(kind, 'The call can not be served.'));
  }

  /** Counts a call for its customer; refuses it beyond the customer's usage cap. */
  private admitUsage(
    response: ServerResponse,
    callId: string,
    customer: string | undefined,
    objectiveMs: number,
  ): boolean {
    const { caps, nowMs, log } = this.options;
    const verdict = caps?.admit({ customer, nowMs: nowMs(), objectiveMs });
    if (!verdict || verdict.admitted) return true;
    const { retryAfterMs, reason } = verdict;
    log('call_capped', { call: callId, customer: customer ?? '', reason, retryAfterMs });
    const detail = 'The customer is beyond its usage cap.';
    this.answers.refuse(
      response,
      callId,
      new EgretError(ErrorKind.UsageCap, detail, { retryAfterMs }),
    );
    return false;
  }

  /** Refuses a request that can't be passed on; its connection ends, as its framing is in doubt. */
  private acceptHead(request: IncomingMessage, response: ServerResponse, callId: string): boolean {
    const fault = requestHeadFault(request);
    if (fault === undefined) return true;
    this.options.connections.endWith(response);
    const error = new EgretError(ErrorKind.BadRequest, `The ${fault} of the request is malformed.`);
    this.answers.refuse(response, callId, error);
    return false;
  }

  /** Checks a call that another gateway forwards; refuses it if it is not genuine, or too many are. */
  private acceptForwarded(
    response: ServerResponse,
    callId: string,
    mark: ForwardMark | undefined,
  ): boolean {
    if (!mark) {
      this.answers.refuse(
        response,
        callId,
        new EgretError(ErrorKind.Forbidden, 'Not a forwarded call.'),
      );
      return false;
    }
    this.options.log('call_received', { call: callId, from: mark.from, elapsedMs: mark.elapsedMs });
    if (this.openCalls <= FORWARDED_CALLS_MAX) return true;
    const error = new EgretError(ErrorKind.Overloaded, 'Too many forwarded calls.');
    this.answers.refuse(response, callId, error);
    return false;
  }

  /**
   * Waits for the calls ahead on the connection that may end it: non-idempotent ones, whose answers
   * can't be requested again, and those whose answer is being streamed and may break off. Returns
   * false if the connection has ended.
   */
  private async waitForCallsAhead(route: Route, response: ServerResponse): Promise<boolean> {
    const { connections } = this.options;
    const ahead = connections
      .answersAhead(response)
      .filter((other) => this.unrepeatable.has(other) || isBeingStreamed(other));
    if (route.kind === RouteKind.NonIdempotent) this.unrepeatable.add(response);
    if (ahead.length === 0) return true;
    await Promise.all(
      ahead.map(
        (other) =>
          new Promise<void>((resolve) => {
            connections.whenEnded(other, () => resolve());
          }),
      ),
    );
    return !response.req.socket.writableEnded;
  }

  private dispatch(
    call: Call,
    service: RoutedService,
    request: IncomingMessage,
    open: OpenCall,
    body: Buffer,
    bodyRest: IncomingMessage | null,
  ): Promise<DispatchOutcome> {
    const { dispatcher, client, peerClient, marks, nowMs, connections } = this.options;
    const rawHeaders = this.copyRequestHeaders(call, request);
    const attempt = {
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      rawHeaders,
      callId: call.callId,
      body,
      bodyRest,
      noteKept: (bytes: number) => noteKeptBytes(request, bytes),
    };
    const send: SendAttempt = (view, remainingMs) =>
      open.track(client.send(view, { ...attempt, remainingMs }));
    const createPeerSender: CallSenders['createPeerSender'] = (options) => {
      const sendToPeer: SendAttempt = (view, remainingMs) => {
        const customer = call.isKeyChecked ? (call.customer ?? '') : undefined;
        const elapsedMs = nowMs() - call.arrivedAtMs;
        const mark = marks.headers({ ...options, elapsedMs, customer });
        const marked = [...rawHeaders, ...mark];
        const connectTimeoutMs = PEER_CONNECT_TIMEOUT_MS;
        const forwarded = { ...attempt, rawHeaders: marked, remainingMs, connectTimeoutMs };
        return open.track(peerClient.send(view, forwarded));
      };
      return sendToPeer;
    };
    return dispatcher.run(call, service, { send, createPeerSender }, (abandon) => {
      open.onAbandoned(abandon);
      connections.whenEnded(open.response, abandon);
    });
  }

  /** Headers of all attempts of a call, those to other gateways included. */
  private copyRequestHeaders(call: Call, { rawHeaders }: IncomingMessage): string[] {
    if (!call.isKeyChecked) return copyEndToEnd(rawHeaders, this.ownRequestHeaders);
    const copied = copyEndToEnd(rawHeaders, this.checkedRequestHeaders);
    const { customers } = this.options.profile;
    if (call.customer !== undefined && customers) {
      copied.push(...customers.customerHeaders(call.customer));
    }
    return copied;
  }

  private finish(
    call: Call,
    route: Route,
    response: ServerResponse,
    outcome: DispatchOutcome,
  ): void {
    const { metrics, nowMs, log } = this.options;
    const elapsedMs = nowMs() - call.arrivedAtMs;
    metrics.noteCall(route.name, outcome.type, elapsedMs);
    const { callId, service, customer } = call;
    const fields = { call: callId, route: route.name, service, customer, elapsedMs };
    switch (outcome.type) {
      case DispatchOutcomeType.Answer: {
        const late = elapsedMs > route.objectiveMs;
        log(late ? 'call_late' : 'call_answered', {
          ...fields,
          backend: outcome.backendId,
          status: outcome.answer.statusCode,
          routing: call.routingVersion,
          routingState: call.routingState,
          ...(late ? outcome.inputs : {}),
        });
        this.answers.answer(response, callId, outcome.answer);
        break;
      }
      case DispatchOutcomeType.Abandoned:
        log('call_abandoned', fields);
        break;
      case DispatchOutcomeType.Refused: {
        const { reason, retryAfterMs, attempts } = outcome;
        log('call_refused', { ...fields, reason, retryAfterMs });
        const error = new EgretError(ErrorKind.Overloaded, `${reason}.`, { retryAfterMs });
        const peerAnswer = attempts > 0 ? PeerAnswer.Final : PeerAnswer.Unsent;
        this.answers.refuse(response, call.callId, error, peerAnswer);
        break;
      }
      default: {
        const timedOut = outcome.type === DispatchOutcomeType.TimedOut;
        log(timedOut ? 'call_timed_out' : 'call_failed', { ...fields, reason: outcome.reason });
        const kind = timedOut ? ErrorKind.DeadlineExceeded : ErrorKind.OutcomeUnknown;
        const error = new EgretError(kind, `${outcome.reason}.`);
        this.answers.refuse(response, call.callId, error, PeerAnswer.Final);
      }
    }
  }
}
