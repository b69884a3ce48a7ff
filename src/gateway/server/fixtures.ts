import { createServer, type IncomingHttpHeaders } from 'node:http';
import { RawBackend, headerOf, type RawReply } from '../../../standin/RawBackend.js';
import type { LogEvent } from '../../common/LogEvents.js';
import { createRandom } from '../../common/Random.js';
import { createRoute, createService, createTable } from '../../common/routing/fixtures.js';
import { RouteKind, type Customer, type Route } from '../../common/routing/Types.js';
import { HttpConnections } from '../../runtime/HttpConnections.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import { ActiveRouting } from '../ActiveRouting.js';
import { BackendPool } from '../BackendPool.js';
import { ColdLimiter } from '../ColdLimiter.js';
import { CrashWatch } from '../CrashWatch.js';
import { Dispatcher } from '../Dispatcher.js';
import { PickPolicy, type DecisionLog } from '../DispatchTypes.js';
import { createBackend, createEntryHost, createLimiter } from '../fixtures.js';
import { createPicker } from '../Pickers.js';
import { RetryBudget } from '../RetryBudget.js';
import { LimitReadingType, type BackendNotice, type WireProfile } from '../Types.js';
import { WorkEstimates } from '../WorkEstimates.js';
import { BackendClient } from './BackendClient.js';
import { CallServer, type CallServerOptions } from './CallServer.js';
import { ForwardMarks } from './ForwardMark.js';
import { GatewayMetrics } from './GatewayMetrics.js';

const HOST = '127.0.0.1';

function readNotice(headers: IncomingHttpHeaders): BackendNotice {
  const quietMs = headers['quiet-ms'];
  return {
    isLeaving: headers.leaving !== undefined,
    quietMs: quietMs === undefined ? undefined : Number(quietMs),
  };
}

/** Header names of the test's environment. */
export const TEST_PROFILE: WireProfile = {
  attemptHeaderNames: new Set(['budget-ms']),
  customers: {
    headerNames: new Set(['key', 'customer']),
    readKey: (headers) => headers.key as string | undefined,
    customerHeaders: (name) => ['Customer', name],
    challengeHeaders: [],
  },
  readCall: (headers) => ({
    callId: headers['call-id'] as string | undefined,
    budgetMs: headers['budget-ms'] === undefined ? undefined : Number(headers['budget-ms']),
  }),
  attemptHeaders: ({ remainingMs }) => ['Budget-Ms', String(remainingMs)],
  readAnswer: (statusCode, headers) => ({
    callId: headers['call-id'] as string | undefined,
    notRun: headers['not-run'] !== undefined,
    authentic: headers.signature !== undefined,
    load: undefined,
    limit: { type: LimitReadingType.Unknown },
    notice: readNotice(headers),
  }),
  readHealth: (statusCode, headers) => ({
    healthy: statusCode === 200,
    backendId: undefined,
    coldLeftMs: undefined,
    load: { running: 0, waiting: 0, slots: 3, slowdown: 1 },
    limit: { type: LimitReadingType.Unknown },
    notice: readNotice(headers),
  }),
  callIdHeaders: (callId) => ['Call-Id', callId],
  retryAfter: (delayMs) => String(delayMs / 1_000),
};

/** Options of {@link createHead}. */
export interface HeadOptions {
  readonly callId: string;
  readonly status?: string;
  readonly headers?: readonly string[];
}

/** Head of a signed answer to a call. */
export function createHead({ callId, status = '200 OK', headers = [] }: HeadOptions): string {
  return [`HTTP/1.1 ${status}`, `Call-Id: ${callId}`, 'Signature: s', ...headers, '', ''].join(
    '\r\n',
  );
}

/** Complete answer to a call. */
export function createCompleteAnswer(callId: string, body = 'whole'): string {
  return createHead({ callId, headers: [`Content-Length: ${body.length}`] }) + body;
}

/** Reply that answers probes and passes calls on to `answerCall`. */
export function createReply(
  answerCall: (socket: Parameters<RawReply>[0], callId: string) => void,
): RawReply {
  return (socket, { head, path }) => {
    if (path === '/health') socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
    else answerCall(socket, headerOf(head, 'call-id'));
  };
}

/** Reply of a backend server in order. */
export const soundReply = createReply((socket, callId) =>
  socket.write(createCompleteAnswer(callId)),
);

/** Options of {@link startTestGateway}. */
export interface TestGatewayOptions {
  /** Backend servers of the service `alpha`, by their ids. */
  readonly alpha: Readonly<Record<string, Pick<RawBackend, 'port' | 'stop'>>>;
  /** Changes of all routes. */
  readonly route?: Partial<Route>;
  /** Further options of the server of calls. */
  readonly calls?: Pick<CallServerOptions, 'caps'>;
  /** Customers with the digests of their keys; none by default, so that calls need no key. */
  readonly customers?: readonly Customer[];
}

/**
 * Starts the data plane of a gateway: routes `read` (idempotent) and `order` to the service
 * `alpha`, and the route `other` to a sound backend server of the service `beta`.
 */
export async function startTestGateway({
  alpha,
  route = {},
  calls: options,
  customers,
}: TestGatewayOptions) {
  const random = createRandom(7);
  const nowMs = () => performance.now();
  const logged: { event: LogEvent; fields: Readonly<Record<string, unknown>> }[] = [];
  const log: DecisionLog = (event, fields) => logged.push({ event, fields });
  const setTimer = (delayMs: number, fire: () => void) => {
    const timer = setTimeout(fire, delayMs);
    return () => clearTimeout(timer);
  };
  const beta = new RawBackend(soundReply);
  await beta.start();
  const pool = new BackendPool({ availabilityZone: 'perth', random });
  const changes = (backend: Pick<RawBackend, 'port'>) => ({ address: HOST, port: backend.port });
  pool.apply(
    [
      ...Object.entries(alpha).map(([id, backend]) => createBackend(id, changes(backend))),
      createBackend('b-9', { ...changes(beta), service: 'beta' }),
    ],
    nowMs(),
  );
  const routing = new ActiveRouting(random);
  const routes = [
    createRoute('read', route),
    createRoute('order', { ...route, kind: RouteKind.NonIdempotent }),
    createRoute('other', { ...route, destinations: [{ service: 'beta', weight: 1 }] }),
  ];
  const services = [createService('alpha'), createService('beta')];
  const { limits } = createTable();
  const table = {
    ...createTable(routes),
    services,
    limits: { ...limits, bodyBytesMax: 64 * 1024 * 1024 },
    ...(customers && { customers }),
  };
  routing.apply({ index: 1, version: 1, table, closedZones: [] });
  const cold = new ColdLimiter({ selfId: 'entry-1' });
  cold.setEntryHosts([createEntryHost('entry-1')]);
  const limiter = createLimiter();
  const budget = new RetryBudget({ ratio: 2, windowMs: 10_000, slack: 100, startedAtMs: 0 });
  const work = new WorkEstimates();
  const client = new BackendClient({ profile: TEST_PROFILE, probeTimeoutMs: 2_000 });
  const crashes = new CrashWatch({
    nowMs,
    setTimer,
    isAlive: () => Promise.resolve(true),
    broadcast: () => {},
    log,
  });
  const probe: BackendClient['probe'] = (view, service) => client.probe(view, service);
  const picker = createPicker(PickPolicy.JustInTime, {
    pool,
    cold,
    limits: limiter,
    work,
    probe,
    nowMs,
    setTimer,
    log,
  });
  const dispatcher = new Dispatcher({ picker, cold, budget, work, crashes, nowMs, setTimer, log });
  const server = createServer();
  // The connections need the server of calls, which needs them.
  const owner: { calls?: CallServer } = {};
  const connections = new HttpConnections({
    server,
    isStopping: () => false,
    mustAnswer: (response) => owner.calls?.mustAnswer(response) === true,
    endLeft: (response) => owner.calls?.endLeft(response),
  });
  const calls = new CallServer({
    profile: TEST_PROFILE,
    routing,
    dispatcher: {
      run: (call, service, { send }, onAbandoned) =>
        dispatcher.run(call, service, send, onAbandoned),
    },
    client,
    peerClient: client,
    marks: new ForwardMarks('secret', 'entry-1'),
    metrics: new GatewayMetrics(),
    nowMs,
    log,
    isStopping: () => false,
    crashes,
    waitUntilReady: () => Promise.resolve(),
    createId: () => 'created',
    connections,
    ...options,
  });
  owner.calls = calls;
  server.on('request', (request, response) => calls.handle(request, response));
  const port = await listen(server, HOST, 0);
  return {
    port,
    pool,
    routing,
    table,
    logged,
    beta,
    openCalls: () => calls.openCalls,
    endOpenCalls: () => calls.endOpenCalls(),
    async stop(): Promise<void> {
      client.dispose();
      await closeServer(server);
      await Promise.all([beta, ...Object.values(alpha)].map((backend) => backend.stop()));
    },
  };
}

/** Gateway of {@link startTestGateway}. */
export type TestGateway = Awaited<ReturnType<typeof startTestGateway>>;
