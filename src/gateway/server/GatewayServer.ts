import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ControlMessageType, type ControlToEntryMessage } from '../../common/Messages.js';
import { RecordFilter } from '../../common/backends/RecordFilter.js';
import type { BackendRecord } from '../../common/backends/Types.js';
import type { EntryHost } from '../../common/Placement.js';
import { createProcessRandom, createRandom, type RandomSource } from '../../common/Random.js';
import type { RoutingView } from '../../common/routing/Types.js';
import { systemClock, type Clock } from '../../runtime/Clock.js';
import { HttpConnections } from '../../runtime/HttpConnections.js';
import { answerHalfClosed, answerParserErrors, closeServer } from '../../runtime/HttpJson.js';
import type { Connect } from '../../runtime/GuardedAgent.js';
import { listenWhenFree, RELEASE_MS } from '../../runtime/Listen.js';
import type { RateLimitedLog } from '../../runtime/RateLimitedLog.js';
import { createNonce } from '../../runtime/LinkAuth.js';
import { MetricsListener } from '../../runtime/MetricsListener.js';
import { PortUse, type ProtectServer } from '../../runtime/ProcessLimits.js';
import { refuseTunnels } from '../../runtime/TunnelRequests.js';
import { BackendPool, PROVISIONAL_TTL_MS } from '../BackendPool.js';
import { BackendSources } from '../BackendSources.js';
import type { BackendView } from '../BackendView.js';
import type { CapBounds } from '../../common/caps/Types.js';
import { CapReporter } from '../caps/CapReporter.js';
import { UsageCaps } from '../caps/UsageCaps.js';
import { OrderedPicker } from '../admission/OrderedPicker.js';
import { ProbeAdmission } from '../admission/ProbeAdmission.js';
import { ProbeMeter, ProbePurpose } from '../admission/ProbeMeter.js';
import { ColdLimiter } from '../ColdLimiter.js';
import { CrashWatch } from '../CrashWatch.js';
import { Dispatcher } from '../Dispatcher.js';
import { PickPolicy, type CallBudget, type DecisionLog } from '../DispatchTypes.js';
import { chooseEntryHosts, EntryHostView } from '../EntryDirectory.js';
import { createForwardLog } from '../ForwardLog.js';
import { ForwardingDispatcher } from '../ForwardingDispatcher.js';
import { PeerPicker } from '../PeerPicker.js';
import { createPicker } from '../Pickers.js';
import { ReachMonitor } from '../ReachMonitor.js';
import { GatewayRollouts } from '../rollouts/GatewayRollouts.js';
import { RequestLimiter } from '../RequestLimiter.js';
import { RetryBudget, type RetryBudgetOptions } from '../RetryBudget.js';
import type { ActiveRouting } from '../ActiveRouting.js';
import { GatewayRouting } from '../GatewayRouting.js';
import { StartupGate } from '../StartupGate.js';
import { StopSchedule } from '../StopSchedule.js';
import { isMiss, type Call, type WireProfile } from '../Types.js';
import { WorkEstimates } from '../WorkEstimates.js';
import type { CrossingPrices } from '../zones/CrossingDecision.js';
import { BackendClient } from './BackendClient.js';
import { CallServer } from './CallServer.js';
import { ControlWatch } from './ControlWatch.js';
import type { ControlAddress } from './ControlWatchTypes.js';
import { ForwardMarks } from './ForwardMark.js';
import { GatewayMetrics } from './GatewayMetrics.js';
import { GatewayTraffic } from './GatewayTraffic.js';
import { createPeerProfile } from './PeerProfile.js';

/** Address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Options of a {@link GatewayServer}. */
export interface GatewayServerOptions {
  readonly id: string;
  readonly availabilityZone: string;
  /** Address that callers connect to. */
  readonly callers: ListenAddress;
  /** Address for calls that other gateways forward; omitted to accept none. */
  readonly peers?: ListenAddress;
  /** Address and path of the readiness check. */
  readonly readiness: ListenAddress & { readonly path: string };
  /** Address and path of the metrics; omitted to serve none. */
  readonly metrics?: ListenAddress & { readonly path: string };
  readonly secret: string;
  readonly seeds: () => readonly ControlAddress[];
  /** False if the addresses that control hosts report can't be reached, as in tests. */
  readonly followMembership?: boolean;
  readonly profile: WireProfile;
  /** How backend servers are picked; just in time by default. */
  readonly policy?: PickPolicy;
  /** Prices of calls to other zones; omitted to decide by expected time alone. */
  readonly zoneCrossing?: CrossingPrices;
  /** True to hold back new versions until the order of their rollout arrives. */
  readonly holdsNewVersions?: boolean;
  /** Probes that a backend server receives per second from all gateways; 60 if omitted. */
  readonly probesPerServerPerSecond?: number;
  /** True to schedule calls by urgency when capacity is short. */
  readonly overload?: boolean;
  readonly budget: Omit<RetryBudgetOptions, 'startedAtMs'>;
  /** Bounds of the customers' usage caps; omitted in deployments without caps. */
  readonly capBounds?: CapBounds;
  /** Longest time from the stop signal to the end of the process. */
  readonly stopMs: number;
  /** Digest of the settings that are common to all hosts, which operators compare. */
  readonly settingsDigest?: string;
  /** Longest wait for a probe's answer; longer in tests that share a busy machine. */
  readonly probeTimeoutMs?: number;
  /** Opens connections to backend servers; `net.connect` by default. */
  readonly connect?: Connect;
  /** Gives the servers of this host their limits; none without it. */
  readonly protect?: ProtectServer;
  readonly log: RateLimitedLog;
  readonly clock?: Clock;
  readonly seed?: number;
}

/**
 * Limit of probes without a setting. A health answer takes about a millisecond of a server's processor,
 * so that they take 6 % of it at most.
 */
const DEFAULT_PROBES_PER_SERVER_PER_SECOND = 60;

/** Largest header block that any routing may allow. */
const HEADER_BYTES_MAX = 64 * 1024;

/** Interval at which a planned stop looks for calls to refuse and connections to end. */
const STOP_POLL_MS = 20;

/** Shortest idle timeout of a caller's connection, used until a routing table arrives. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * Budget of forwarded calls: one that another gateway did not send to any backend server may be
 * forwarded to a second gateway, and none is forwarded twice at the same time.
 */
const FORWARD_BUDGET: CallBudget = {
  noteCall: () => {},
  maySpend: () => false,
  trySpend: () => true,
  spend: () => {},
};

/** Entry host of routed services: serves callers and dispatches calls to backend servers. */
export class GatewayServer {
  readonly metrics = new GatewayMetrics();

  readonly pool: BackendPool;

  readonly routing: ActiveRouting;

  private readonly routingState: GatewayRouting;

  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly entryHosts = new EntryHostView();

  private readonly sources = new BackendSources();

  private readonly recordFilter: RecordFilter;

  private readonly cold: ColdLimiter;

  private readonly limits: RequestLimiter;

  /** Bounds the probes of backend servers. */
  private readonly admission: ProbeAdmission;

  private readonly probeMeter: ProbeMeter;

  private readonly budget: RetryBudget;

  private readonly client: BackendClient;

  private readonly traffic: GatewayTraffic;

  private readonly reach: ReachMonitor;

  private readonly gate: StartupGate;

  private readonly crashes: CrashWatch;

  private readonly caps: UsageCaps | undefined;

  private capReporter: CapReporter | undefined;

  private readonly rollouts: GatewayRollouts;

  private readonly connections: HttpConnections;

  private readonly calls: CallServer;

  /** Calls that other gateways forward. */
  private readonly peerCalls: CallServer;

  private readonly peerClient: BackendClient;

  private readonly peerPicker: PeerPicker;

  private readonly peerServer: Server;

  private readonly peerConnections: HttpConnections;

  private provisionalTimer: NodeJS.Timeout | undefined;

  private readonly callerServer: Server;

  private readonly readinessServer: Server;

  private metricsListener: MetricsListener | undefined;

  private watch: ControlWatch | undefined;

  /** Set from the start of a planned stop. */
  private stopSchedule: StopSchedule | undefined;

  private wasReady = false;

  private boundPort = 0;

  private boundReadinessPort = 0;

  private boundPeerPort = 0;

  constructor(private readonly options: GatewayServerOptions) {
    this.clock = options.clock ?? systemClock;
    this.random =
      options.seed === undefined
        ? createProcessRandom(options.id, Math.floor(this.clock.wallMs()))
        : createRandom(options.seed);
    const { random } = this;
    const nowMs = () => this.clock.nowMs();
    const setTimer = (delayMs: number, fire: () => void) => {
      const timer = setTimeout(fire, delayMs);
      return () => clearTimeout(timer);
    };
    const log: DecisionLog = (event, fields) => {
      this.metrics.noteDecision(event);
      options.log.line(event, fields);
    };
    const { id: selfId, availabilityZone } = options;
    this.recordFilter = new RecordFilter((refused) =>
      log('backend_record_refused', { ...refused }),
    );
    this.pool = new BackendPool({ availabilityZone, random, selfId });
    this.routingState = new GatewayRouting({
      random,
      nowMs,
      setTimer,
      ping: () => this.watch?.ping(),
      onUsableChange: () => {
        this.noteReadiness();
        this.watch?.ping();
      },
      gauge: (name, help, read) => this.metrics.gauge(name, help, read),
      log,
    });
    this.routing = this.routingState.active;
    this.cold = new ColdLimiter({ selfId: options.id });
    this.budget = new RetryBudget({ ...options.budget, startedAtMs: nowMs() });
    this.limits = new RequestLimiter({
      selfId: options.id,
      broadcast: (report) =>
        this.watch?.report({ type: ControlMessageType.LimitReport, ...report }),
      isKnown: ({ id, bornMs }) => this.pool.get(id)?.record.bornMs === bornMs,
      log,
    });
    const { registry } = this.metrics;
    this.traffic = new GatewayTraffic({ registry, availabilityZone });
    this.client = new BackendClient({
      profile: options.profile,
      probeTimeoutMs: options.probeTimeoutMs,
      nowMs,
      onRequest: (view, kind) => {
        this.limits.noteSent(view, nowMs());
        if (this.limits.isLimited(view)) this.metrics.noteLimitedRequest(kind);
      },
      onLimit: ({ view, reading, sentAtMs }) =>
        this.limits.noteReading(view, reading, sentAtMs, nowMs()),
      onNotice: (view, { isLeaving, quietMs }) => {
        const { id: backend, service } = view.record;
        log('backend_notice', { backend, service, leaving: isLeaving, quietMs });
      },
      onBytes: (view, kind, counts) => this.traffic.noteBackend(view, kind, counts),
      connect: options.connect,
      reach: {
        noteConnected: () => this.reach.noteConnected(),
        noteAnswered: (view) => this.reach.noteAnswered(view),
        noteFailed: (view) => this.reach.noteFailed(view),
      },
    });
    this.reach = new ReachMonitor({
      random,
      nowMs,
      setTimer,
      targets: () => this.pool.usable(),
      tryConnect: (view, timeoutMs) => this.client.tryConnect(view, timeoutMs),
      onChange: () => this.watch?.ping(),
      log,
    });
    this.peerClient = new BackendClient({
      profile: createPeerProfile(options.profile),
      nowMs,
      onBytes: (view, kind, counts) => this.traffic.notePeer(view, counts),
    });
    this.peerPicker = new PeerPicker({
      selfId: options.id,
      availabilityZone: options.availabilityZone,
      random,
      nowMs,
    });
    this.probeMeter = new ProbeMeter({
      nowMs,
      servers: () => this.pool.usable().length,
      onProbe: (purpose) => this.metrics.noteProbe(purpose),
      onPick: (report) => this.metrics.notePick(report),
      log,
    });
    this.admission = new ProbeAdmission({
      probesPerServerPerSecond:
        options.probesPerServerPerSecond ?? DEFAULT_PROBES_PER_SERVER_PER_SECOND,
      availabilityZone,
      startedAtMs: nowMs(),
      serversOf: (service) => this.pool.usableCount(service),
      nowMs,
      log,
    });
    const work = new WorkEstimates();
    this.rollouts = new GatewayRollouts({
      gatewayId: selfId,
      startId: createNonce(),
      random,
      nowMs,
      holdsNewVersions: options.holdsNewVersions,
      routingIndex: () => this.routing.logIndex,
      report: (evidence) => this.watch?.report(evidence),
      log,
    });
    const picker = createPicker(options.policy ?? PickPolicy.JustInTime, {
      pool: this.pool,
      cold: this.cold,
      limits: this.limits,
      work,
      probe: (view, service) => this.client.probe(view, service),
      nowMs,
      setTimer,
      log,
      zoneCrossing: options.zoneCrossing,
      admission: this.admission,
      meter: this.probeMeter,
    });
    this.crashes = new CrashWatch({
      nowMs,
      setTimer,
      isAlive: (view) => this.isAlive(view),
      broadcast: (report) =>
        this.watch?.report({ type: ControlMessageType.CrashReport, ...report }),
      log,
    });
    const dispatchOptions = { cold: this.cold, crashes: this.crashes, nowMs, setTimer, log };
    const { budget } = this;
    const workMs = (call: Call) => work.workMs(call);
    const ordered = new OrderedPicker({ picker, workMs, random, nowMs, setTimer });
    this.metrics.gauge('egret_calls_waiting', 'Calls that wait for a slot.', () => ordered.waiting);
    const local = new Dispatcher({
      ...dispatchOptions,
      picker: this.rollouts.picker(options.overload ? ordered : picker),
      budget,
      work,
      observe: (call, view, handle) => this.rollouts.evidence.observe(call, view, handle),
    });
    const dispatcher = new ForwardingDispatcher({
      local,
      peers: new Dispatcher({
        ...dispatchOptions,
        picker: this.peerPicker,
        cold: { noteSent: () => {} },
        crashes: { noteConnectionLost: () => {}, noteCompleted: () => {} },
        budget: FORWARD_BUDGET,
        work: new WorkEstimates(),
        log: createForwardLog(log),
      }),
      hasPeers: () => this.peerPicker.hasPeers,
      reach: this.reach,
      budget,
      nowMs,
    });
    this.gate = new StartupGate({ nowMs, setTimer });
    this.caps = options.capBounds && this.createCaps(options.capBounds, log);
    this.callerServer = createServer(
      { maxHeaderSize: HEADER_BYTES_MAX, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS },
      (request, response) => this.calls.handle(request, response),
    );
    this.connections = new HttpConnections({
      server: this.callerServer,
      isStopping: () => this.stopping,
      mustAnswer: (response) => this.calls.mustAnswer(response),
      endLeft: (response) => this.calls.endLeft(response),
    });
    this.peerServer = createServer(
      { maxHeaderSize: HEADER_BYTES_MAX, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS },
      (request, response) => this.peerCalls.handle(request, response),
    );
    this.peerConnections = new HttpConnections({
      server: this.peerServer,
      isStopping: () => this.stopping,
    });
    const callOptions = {
      profile: options.profile,
      routing: this.routing,
      client: this.client,
      peerClient: this.peerClient,
      marks: new ForwardMarks(options.secret, options.id),
      metrics: this.metrics,
      nowMs,
      log,
      isStopping: () => this.stopping,
      stopSchedule: () => this.stopSchedule,
      crashes: this.crashes,
      waitUntilReady: (budgetMs: number) => this.waitUntilReady(budgetMs),
      routingRefusal: () => this.routingState.refusal(),
      noteServed: () => this.routingState.noteServed(),
      createId: createNonce,
    };
    const { caps } = this;
    this.calls = new CallServer({
      ...callOptions,
      dispatcher,
      caps,
      connections: this.connections,
    });
    this.peerCalls = new CallServer({
      ...callOptions,
      servesPeers: true,
      dispatcher: {
        run: (call, service, { send }, onAbandoned) => local.run(call, service, send, onAbandoned),
      },
      connections: this.peerConnections,
    });
    answerParserErrors(this.peerServer, this.peerConnections);
    refuseTunnels(this.peerServer, this.peerConnections);
    this.peerServer.on('connection', (socket: Socket) => socket.setNoDelay(true));
    answerParserErrors(this.callerServer, this.connections);
    refuseTunnels(this.callerServer, this.connections);
    this.callerServer.on('connection', (socket: Socket) => socket.setNoDelay(true));
    this.readinessServer = createServer((request, response) =>
      this.answerReadiness(request, response),
    );
    answerHalfClosed(this.readinessServer);
    refuseTunnels(this.readinessServer);
    options.protect?.(this.callerServer, PortUse.Callers);
    options.protect?.(this.peerServer, PortUse.Peers);
    options.protect?.(this.readinessServer, PortUse.Readiness);
    this.registerGauges();
  }

  get port(): number {
    return this.boundPort;
  }

  get readinessPort(): number {
    return this.boundReadinessPort;
  }

  /** True while no backend server can be connected to from this host. */
  get isCutOff(): boolean {
    return this.reach.isCut;
  }

  /** Entry hosts as the control hosts list them. */
  get knownHosts(): EntryHost[] {
    return this.entryHosts.hosts();
  }

  /** Port for calls that other gateways forward; 0 without one. */
  get peerPort(): number {
    return this.boundPeerPort;
  }

  /** Entry hosts that a caller should use; this one alone until a control host has reported any. */
  entryHostsFor(availabilityZone: string): EntryHost[] {
    const known = this.entryHosts.hosts();
    const entryHosts = known.length === 0 && this.isReady ? [this.self()] : known;
    const { closedZones } = this.routing;
    return chooseEntryHosts({ entryHosts, availabilityZone, closedZones, random: this.random });
  }

  private get stopping(): boolean {
    return this.stopSchedule !== undefined;
  }

  private get openCalls(): number {
    return this.calls.openCalls + this.peerCalls.openCalls;
  }

  /** True while this host can serve callers. */
  get isReady(): boolean {
    const isRouted = this.routing.table !== null && this.routingState.isUsable;
    return !this.stopping && isRouted && this.pool.size > 0;
  }

  private async waitUntilReady(budgetMs: number): Promise<void> {
    await this.gate.wait(budgetMs);
    await this.routingState.waitUntilConfirmed(budgetMs);
  }

  async start(): Promise<void> {
    const { callers, readiness, metrics, log, id, stopMs } = this.options;
    const bind = (server: Server, { address, port }: { address: string; port: number }) =>
      listenWhenFree(server, {
        address,
        port,
        patienceMs: stopMs + RELEASE_MS,
        onInUse: () => log.line('address_in_use', { host: id, address, port }),
      });
    // A process that stops has this address until its end.
    this.boundReadinessPort = await bind(this.readinessServer, readiness);
    this.boundPort = await bind(this.callerServer, callers);
    const { peers } = this.options;
    if (peers) this.boundPeerPort = await bind(this.peerServer, peers);
    if (metrics) {
      const onFailed = (error: unknown) => log.line('metrics_failed', { detail: String(error) });
      const { registry } = this.metrics;
      const { protect } = this.options;
      this.metricsListener = new MetricsListener({ ...metrics, registry, onFailed, protect });
      await this.metricsListener.start();
    }
    this.watch = new ControlWatch({
      self: () => this.self(),
      secret: this.options.secret,
      onBytes: (type, bytes, zone) => this.traffic.noteControl(type, bytes, zone),
      logger: log.asLogger(),
      seeds: this.options.seeds,
      followMembership: this.options.followMembership,
      routingIndex: () => this.routing.logIndex,
      knownIndex: () => this.routingState.knownIndex,
      departures: () => this.pool.departures(),
      onMessage: (message, control) => this.receive(message, control),
      onLinked: (control) => this.routingState.noteLinked(control),
      onPing: (pingId) => this.routingState.notePing(pingId),
      onRoutingRefused: (index) => this.routingState.noteRefused(index),
      onPong: (pong, control) => this.routingState.notePong(pong, control),
      onLost: (control) => {
        this.routingState.noteLost(control);
        this.entryHosts.remove(control);
        this.sources.remove(control);
      },
    });
    this.capReporter?.start();
    log.line('gateway_started', { host: id, port: this.boundPort });
  }

  /**
   * Planned stop: leaves the directory, accepts callers for a while, awaits calls in progress. Calls
   * whose time limit ends later than the stop are refused before they are sent.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    const { stopMs, log, id } = this.options;
    const schedule = new StopSchedule({ startedAtMs: this.clock.nowMs(), stopMs });
    this.stopSchedule = schedule;
    log.line('gateway_stopping', { host: id, openCalls: this.openCalls });
    this.watch?.ping();
    await this.linger(schedule.lingerUntilMs);
    this.callerServer.close();
    this.peerServer.close();
    await this.drainConnections(schedule.finishAtMs);
    this.calls.endOpenCalls();
    this.peerCalls.endOpenCalls();
    await this.drainConnections(schedule.flushUntilMs);
    log.line('gateway_stopped', { host: id, openCalls: this.openCalls });
    this.dispose();
    await log.flush();
  }

  /** Stops the host at once. */
  dispose(): void {
    this.capReporter?.dispose();
    this.watch?.dispose();
    this.rollouts.dispose();
    clearTimeout(this.provisionalTimer);
    this.reach.dispose();
    this.client.dispose();
    this.peerClient.dispose();
    [this.callerServer, this.peerServer, this.readinessServer].forEach((server) => {
      closeServer(server).catch(() => {});
    });
    this.metricsListener?.stop().catch(() => {});
  }

  /** Accepts callers until `lastAtMs`. */
  private async linger(lastAtMs: number): Promise<void> {
    this.refuseLateCalls();
    if (this.clock.nowMs() >= lastAtMs) return;
    await sleep(STOP_POLL_MS);
    await this.linger(lastAtMs);
  }

  private refuseLateCalls(): void {
    this.calls.refuseLateCalls();
    this.peerCalls.refuseLateCalls();
  }

  /** Waits until all answers are sent and their connections closed, or until `lastAtMs`. */
  private async drainConnections(lastAtMs: number): Promise<void> {
    this.refuseLateCalls();
    this.connections.closeIdle();
    this.peerConnections.closeIdle();
    const open = this.connections.size + this.peerConnections.size;
    if (open === 0 || this.clock.nowMs() >= lastAtMs) return;
    await sleep(STOP_POLL_MS);
    await this.drainConnections(lastAtMs);
  }

  /** Probes a backend server; any usable answer counts, whatever its health. */
  private async isAlive(view: BackendView): Promise<boolean> {
    // It answered not long ago, and a probe is a request that it asked not to receive.
    if (view.isQuiet(this.clock.nowMs())) return true;
    const service = this.routing.index?.service(view.record.service);
    if (service === undefined) return true;
    this.admission.charge(view);
    this.probeMeter.noteProbe(ProbePurpose.CrashCheck);
    return !isMiss(await this.client.probe(view, service));
  }

  private self(): EntryHost {
    const { id, callers, availabilityZone, readiness, settingsDigest } = this.options;
    return {
      id,
      address: callers.address,
      port: this.boundPort,
      peerPort: this.boundPeerPort,
      adminAddress: readiness.address,
      adminPort: readiness.port,
      availabilityZone,
      stopping: this.stopping,
      cutOff: this.reach.isCut || this.routingState.isBehind,
      ...(settingsDigest !== undefined && { settingsDigest }),
    };
  }

  private receive(message: ControlToEntryMessage, control: string): void {
    const handler = this.handlers[message.type as keyof typeof this.handlers] as
      ((received: ControlToEntryMessage, from: string) => void) | undefined;
    handler?.(message, control);
  }

  private readonly handlers = {
    [ControlMessageType.Routing]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.Routing }>,
      control: string,
    ) => this.applyRouting(message.view, control),
    [ControlMessageType.Backends]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.Backends }>,
      control: string,
    ) => {
      const records = this.recordFilter.sound(message.records, control);
      if (message.provisional) {
        this.applyProvisional(records);
        return;
      }
      this.rollouts.noteRecords(records);
      const changed = this.pool.apply(records, this.clock.nowMs());
      changed.forEach(({ record, coldUntilMs }) =>
        this.options.log.line('backend_learned', {
          backend: record.id,
          service: record.service,
          zone: record.availabilityZone,
          address: `${record.address}:${record.port}`,
          state: record.state,
          bornMs: record.bornMs,
          sequence: record.sequence,
          coldMs: Math.max(0, coldUntilMs - this.clock.nowMs()),
        }),
      );
      const { sources, pool } = this;
      pool.expire(sources.note(control, message, () => pool.announcedIds()));
      this.noteReadiness();
    },
    [ControlMessageType.CrashReport]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.CrashReport }>,
    ) => this.crashes.note(message),
    [ControlMessageType.LimitReport]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.LimitReport }>,
    ) => this.limits.noteReport(message, this.clock.nowMs()),
    [ControlMessageType.UsageUpdate]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.UsageUpdate }>,
    ) => this.caps?.applyUpdate(message.levels, this.clock.nowMs()),
    [ControlMessageType.EntryHosts]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.EntryHosts }>,
      control: string,
    ) => {
      this.entryHosts.update(control, message.entryHosts);
      this.applyEntryHosts();
    },
    [ControlMessageType.EntryHostChanges]: (
      message: Extract<ControlToEntryMessage, { type: ControlMessageType.EntryHostChanges }>,
      control: string,
    ) => {
      this.entryHosts.applyChanges(control, message.entryHosts, message.removedIds);
      this.applyEntryHosts();
    },
  };

  private applyEntryHosts(): void {
    const entryHosts = this.entryHosts.hosts();
    this.cold.setEntryHosts(entryHosts);
    this.limits.setEntryHosts(entryHosts);
    this.peerPicker.setEntryHosts(entryHosts);
    this.budget.setEntryHosts(entryHosts.length);
    this.admission.setGateways(entryHosts);
    this.probeMeter.setGateways(entryHosts.length);
  }

  private applyRouting(view: RoutingView, control: string): void {
    if (!this.routingState.apply(view, control)) return;
    this.pool.setClosedZones(view.closedZones);
    this.caps?.setCustomers(view.table?.customers ?? []);
    this.rollouts.apply(this.routing.rollouts);
    if (view.table) {
      const { limits } = view.table;
      this.callerServer.keepAliveTimeout = limits.idleTimeoutMs;
      this.callerServer.headersTimeout = limits.headerTimeoutMs;
    }
    this.noteReadiness();
  }

  private createCaps(bounds: CapBounds, log: DecisionLog): UsageCaps {
    const caps = new UsageCaps({
      bounds,
      random: this.random,
      gatewayCount: () => this.entryHosts.hosts().length,
      onDecision: (customer, result) => this.metrics.noteCapDecision(customer, result),
      onLimited: (customer, reason, level) =>
        log('customer_capped', { customer, reason, level: Math.round(level) }),
    });
    this.capReporter = new CapReporter({
      caps,
      startedAtMs: this.clock.nowMs(),
      nowMs: () => this.clock.nowMs(),
      send: (takeReport) => this.watch?.reportUsage(takeReport),
      log,
    });
    const { metrics } = this;
    metrics.gauge('egret_caps_current', '1 while updates of usage caps arrive.', () =>
      Number(caps.isCurrent(this.clock.nowMs())),
    );
    metrics.gauge(
      'egret_caps_lowest_level',
      'Calls left at once for the customer nearest to its cap; 0 if none is near.',
      () => caps.lowestLevel ?? 0,
    );
    return caps;
  }

  private applyProvisional(records: readonly BackendRecord[]): void {
    const count = this.pool.applyProvisional(records, this.clock.nowMs());
    if (count === 0) return;
    this.options.log.line('backends_provisional', { count });
    this.provisionalTimer ??= setTimeout(() => {
      const ids = this.pool.dropProvisional();
      if (ids.length > 0) this.options.log.line('provisional_dropped', { ids: ids.join(',') });
      this.provisionalTimer = undefined;
      this.noteReadiness();
    }, PROVISIONAL_TTL_MS);
    this.noteReadiness();
  }

  private noteReadiness(): void {
    if (this.isReady) this.gate.open();
    if (this.wasReady === this.isReady) return;
    this.wasReady = this.isReady;
    this.options.log.line(this.isReady ? 'gateway_ready' : 'gateway_not_ready', {
      routing: this.routing.version,
      backends: this.pool.size,
    });
  }

  private answerReadiness(request: IncomingMessage, response: ServerResponse): void {
    const pathMatches = (request.url ?? '').split('?')[0] === this.options.readiness.path;
    const status = this.isReady ? 200 : 503;
    response.writeHead(pathMatches ? status : 404, { 'Content-Length': 0 });
    response.end();
  }

  private registerGauges(): void {
    const { metrics, pool, client } = this;
    metrics.gauge('egret_backends', 'Backend servers known.', () => pool.size);
    metrics.gauge('egret_probes', 'Probes sent.', () => client.probes);
    metrics.gauge(
      'egret_probes_per_server_second',
      'Probes of one backend server per second, if all gateways send as many as this one.',
      () => this.probeMeter.perServerPerSecond,
    );
    const { admission } = this;
    metrics.gauge(
      'egret_probes_over_budget',
      'Probes not sent because the budget was used up.',
      () => admission.overBudget,
    );
    metrics.gauge('egret_connects', 'Connections to backend servers.', () => client.connects);
    metrics.gauge('egret_backends_cut', '1 while cut off from all backend servers.', () =>
      Number(this.reach.isCut),
    );
    metrics.gauge('egret_open_calls', 'Calls in progress.', () => this.openCalls);
    metrics.gauge('egret_rss_bytes', 'Resident memory.', () => process.memoryUsage.rss());
    metrics.gauge('egret_control_watches', 'Control hosts that are watched for lists.', () =>
      this.watch ? this.watch.watchedLinks : 0,
    );
    metrics.gauge('egret_control_links', 'Open links to control hosts.', () =>
      this.watch ? this.watch.openLinks : 0,
    );
  }
}
