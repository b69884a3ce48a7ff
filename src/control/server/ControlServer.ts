import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Registry } from 'prom-client';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import type { BackendRecord } from '../../common/backends/Types.js';
import type { CapBounds } from '../../common/caps/Types.js';
import {
  ControlMessageType,
  type ControlPeerMessage,
  type EntryToControlMessage,
} from '../../common/Messages.js';
import type { ControlFile } from '../../common/ProcessSettings.js';
import type { RolloutSettings } from '../../common/rollouts/Types.js';
import { createProcessRandom, createRandom, type RandomSource } from '../../common/Random.js';
import { AdminListener } from '../../runtime/AdminListener.js';
import { systemClock, type Clock } from '../../runtime/Clock.js';
import { EventLoop } from '../../runtime/EventLoop.js';
import { answerParserErrors, closeServer, listen } from '../../runtime/HttpJson.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import { refuseTunnels } from '../../runtime/TunnelRequests.js';
import { TrafficPurpose, ZoneTraffic } from '../../runtime/ZoneTraffic.js';
import type { Logger } from '../../runtime/Logger.js';
import { LINK_OVERHEAD } from '../../runtime/LinkBytes.js';
import type { LinkTiming } from '../../runtime/MessageClient.js';
import { MessageServer, type ServerSession } from '../../runtime/MessageServer.js';
import { PortUse, type ProtectServer } from '../../runtime/ProcessLimits.js';
import { ControlReducer } from '../ControlReducer.js';
import { linkedMembers } from '../ExchangePeers.js';
import type { RaftTiming } from '../raft/RaftState.js';
import { shouldReportEmptied } from '../raft/Recovery.js';
import { RaftMessageType, type Member, type RaftMessage } from '../raft/Types.js';
import {
  membersToInvite,
  shouldRequestJoin,
  type AutoMembershipOptions,
} from '../AutoMembership.js';
import { BackendsFile } from '../storage/BackendsFile.js';
import { DataFolder } from '../storage/DataFolder.js';
import { DeparturesFile } from '../storage/DeparturesFile.js';
import { createMemoryStorage } from '../storage/MemoryStorage.js';
import type { Storage } from '../storage/Types.js';
import {
  ControlEffectType,
  ControlEventType,
  type Actor,
  type AdminRequest,
  type ControlEffect,
  type ControlEvent,
} from '../Types.js';
import { AdminApi, type AdminResult } from './AdminApi.js';
import { registerControlMetrics } from './ControlMetrics.js';
import { DurableSender } from './DurableSender.js';
import { EmptiedIds } from './EmptiedReports.js';
import { answerJoin, JOIN_PATH, requestJoin } from './JoinEndpoint.js';
import { CONTROL_PEER_FIELDS, ENTRY_FIELDS, RAFT_FIELDS } from './MessageFields.js';
import { MessageCompressor } from './MessageCompressor.js';
import { RaftLinks } from './RaftLinks.js';
import { RoutingPacker } from './RoutingPacker.js';
import { SessionAdmission } from './SessionAdmission.js';

/** Options of a {@link ControlServer}. */
export interface ControlServerOptions {
  readonly file: ControlFile;
  /** Server that listens on `file.listen` already; created at the start by default. */
  readonly listener?: Server;
  readonly secret: string;
  readonly logger: Logger;
  /** Creates the identity of an empty data folder. */
  readonly initialize: boolean;
  /** Called on an error after which the process cannot continue. */
  readonly onFatal: (error: unknown) => void;
  readonly clock?: Clock;
  readonly seed?: number;
  readonly timing?: RaftTiming;
  readonly snapshotEvery?: number;
  readonly linkTiming?: LinkTiming;
  /** Identity of an empty data folder; a random one by default. */
  readonly identity?: string;
  /** Time without a heartbeat until a host is unlisted; two configuration leases by default. */
  readonly entryHeartbeatTimeoutMs?: number;
  /** Bounds of the customers' usage caps; omitted in deployments without caps. */
  readonly capBounds?: CapBounds;
  /** True for a host without a disk: it holds its state in memory and never becomes a voter. */
  readonly observer?: boolean;
  /** True if a supervisor runs at most one process on the data folder. */
  readonly supervised?: boolean;
  /** Present if lost control hosts are replaced without an operator. */
  readonly autoMembership?: AutoMembershipOptions;
  /** True if the data folder was created empty, and not at the first start of the system. */
  readonly wasEmptied?: boolean;
  /** Gives the servers of this host their limits; none without it. */
  readonly protect?: ProtectServer;
  /** Limits of rollouts; those of the requirement by default. */
  readonly rollouts?: RolloutSettings;
  /** Control hosts that receive join requests while this host is not a member. */
  readonly seeds?: () => readonly { readonly address: string; readonly port: number }[];
}

type EffectOf<T extends ControlEffectType> = Extract<ControlEffect, { type: T }>;

/** Event without its timestamps, which the server adds. */
type Untimed<E> = E extends unknown ? Omit<E, 'nowMs' | 'wallMs'> : never;

const TICK_MS = 20;
const ADMIN_TIMEOUT_MS = 10_000;

/** Time for requests in progress at a stop; without a majority a change is not committed at all. */
const ADMIN_FINISH_MS = 1_000;

/** Interval of the join requests of a host that is not a member. */
const JOIN_INTERVAL_MS = 500;

/**
 * Protocol versions from which control hosts know a message. Earlier ones receive the whole records
 * in the place of renewals, and the entry hosts that watch them also watch the sender.
 */
const PEER_PROTOCOLS: Partial<Record<ControlPeerMessage['type'], number>> = {
  [ControlMessageType.BackendRenewals]: 2,
  [ControlMessageType.EntryHostsShare]: 2,
  [ControlMessageType.ReportRelay]: 2,
  [ControlMessageType.UsageShare]: 3,
  [ControlMessageType.RoutingProgress]: 4,
};

/** Message types that the byte counts name. */
const LINK_MESSAGE_TYPES: readonly string[] = [
  ...Object.values(ControlMessageType),
  ...Object.values(RaftMessageType),
  LINK_OVERHEAD,
];

/** Messages that an entry host sends once for each link; their number is bounded by the sessions. */
const SENT_ONCE: ReadonlySet<ControlMessageType> = new Set([
  ControlMessageType.Hello,
  ControlMessageType.Watch,
]);

/** Server of a control host: connects the reducer to sockets, files and timers. */
export class ControlServer {
  readonly registry = new Registry();

  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly loop: EventLoop<ControlEvent>;

  private readonly http: Server;

  private readonly messages: MessageServer;

  private readonly links: RaftLinks;

  private readonly adminHttp = createServer();

  private readonly admin: AdminListener;

  private readonly sender: DurableSender;

  private readonly backendsFile: BackendsFile | null;

  private readonly departuresFile: DeparturesFile | null;

  private readonly sessions = new Map<number, ServerSession>();

  private readonly packer = new RoutingPacker();

  private readonly compressor = new MessageCompressor();

  private readonly admission: SessionAdmission;

  /** Callbacks of unanswered administration requests, by request id. */
  private readonly pendingAdminRequests = new Map<string, (result: AdminResult) => void>();

  private nextRequestId = 1;

  private lostLinks = 0;

  private timer: NodeJS.Timeout | undefined;

  private joinTimer: NodeJS.Timeout | undefined;

  /** Callbacks of unanswered announcements, by request id. */
  private readonly pendingAnnouncements = new Map<string, (confirmed: boolean) => void>();

  /** Ids that this host had before its disk was lost. */
  private readonly emptiedIds = new EmptiedIds(() => this.self());

  private startedAtMs = 0;

  /** Settles once the stop has ended; undefined before it begins. */
  private stopped: Promise<void> | undefined;

  private boundPort = 0;

  private boundAdminPort = 0;

  /** Index of the membership that the links match. */
  private linkedMembershipIndex = -1;

  private constructor(
    private readonly options: ControlServerOptions,
    private readonly storage: Storage,
    readonly reducer: ControlReducer,
  ) {
    const { file, secret, logger } = options;
    this.clock = options.clock ?? systemClock;
    this.random =
      options.seed === undefined
        ? createProcessRandom(file.id, Math.floor(this.clock.wallMs()))
        : createRandom(options.seed);
    this.loop = new EventLoop<ControlEvent>({ handle: (event) => this.handle(event) });
    this.admission = new SessionAdmission({
      isReady: () => this.reducer.raft.state.leaderId !== null,
      nowMs: () => this.clock.nowMs(),
    });
    const { availabilityZone } = file;
    const traffic = new ZoneTraffic({
      registry: this.registry,
      availabilityZone: availabilityZone ?? '',
      messageTypes: LINK_MESSAGE_TYPES,
    });
    const onBytes = (message: string, bytes: number, peerZone: string | undefined) =>
      traffic.noteSent({ purpose: TrafficPurpose.Control, message, peerZone, bytes });
    this.messages = new MessageServer({
      secret,
      logger,
      availabilityZone,
      onBytes,
      fields: { ...RAFT_FIELDS, ...CONTROL_PEER_FIELDS, ...ENTRY_FIELDS },
      admit: (role, open) => this.admission.admit(role, open),
      onOpen: (session) => this.sessions.set(session.sessionId, session),
      onMessage: (session, message) => this.onMessage(session, message),
      onClose: (session) => {
        this.sessions.delete(session.sessionId);
        const { sessionId } = session;
        this.post({ type: ControlEventType.SessionClosed, sessionId });
      },
    });
    this.http = options.listener ?? createServer();
    this.http.removeAllListeners('request').on('request', (request, response) => {
      if (request.url === JOIN_PATH) {
        answerJoin(request, response, {
          secret,
          membership: () => this.reducer.raft.state.log.membership,
          onJoin: (member, emptiedIds) =>
            this.post({ type: ControlEventType.Join, member, emptiedIds }),
        });
        return;
      }
      response.writeHead(426, { Connection: 'close' });
      response.end();
    });
    answerParserErrors(this.http);
    refuseTunnels(this.http);
    options.protect?.(this.http, PortUse.Links);
    options.protect?.(this.adminHttp, PortUse.Administration);
    this.messages.attach(this.http);
    this.links = new RaftLinks({
      id: file.id,
      secret,
      logger,
      timing: options.linkTiming,
      availabilityZone,
      onBytes,
      onOpen: (memberId, protocol) => {
        logger.info('control_link_opened', { host: file.id, member: memberId });
        const random = this.random.next();
        this.post({ type: ControlEventType.ControlLinkOpened, memberId, random, protocol });
      },
      onClose: (memberId, lost) => {
        this.lostLinks += 1;
        logger.warn('control_link_lost', { host: file.id, member: memberId, ...lost });
      },
    });
    this.sender = new DurableSender({
      storage,
      send: (to, message) => this.links.send(to, message),
      onPersisted: (index, generation) =>
        this.loop.postCompletion(
          this.withTimes({ type: ControlEventType.Persisted, index, generation }),
        ),
      onSnapshotSaved: (snapshot, received) =>
        this.loop.postCompletion(
          this.withTimes({ type: ControlEventType.SnapshotSaved, snapshot, received }),
        ),
      onFailed: (error) => options.onFatal(error),
      onAbandoned: (error) =>
        logger.warn('write_abandoned', { host: file.id, detail: String(error) }),
    });
    this.backendsFile = options.observer
      ? null
      : new BackendsFile(file.dataFolder, (error) =>
          logger.warn('backends_unsaved', { host: file.id, detail: String(error) }),
        );
    this.departuresFile = options.observer
      ? null
      : new DeparturesFile(file.dataFolder, (error) =>
          logger.warn('departures_unsaved', { host: file.id, detail: String(error) }),
        );
    const api = new AdminApi((request, tokenHash) => this.submitAdmin(request, tokenHash));
    this.admin = new AdminListener({
      server: this.adminHttp,
      registry: this.registry,
      isReady: () => this.reducer.raft.state.leaderId !== null,
      handle: (request, response) => api.handle(request, response),
    });
    registerControlMetrics(this.registry, {
      reducer,
      storage,
      loop: this.loop,
      nowMs: () => this.clock.nowMs(),
      waitingLinks: () => this.admission.size,
      lostLinks: () => this.lostLinks,
      oversizedMessages: () => this.links.oversizedMessages + this.messages.oversizedMessages,
    });
  }

  /**
   * Opens the data folder and creates the server.
   *
   * @throws EgretError of kind data-locked or data-corrupt
   */
  static async open(options: ControlServerOptions): Promise<ControlServer> {
    const { file } = options;
    const diskState: { report?: (refuses: boolean) => void } = {};
    const storage = await ControlServer.openStorage(options, (refuses) =>
      diskState.report?.(refuses),
    );
    const { instanceId, hardState, snapshot, entries } = storage.stored;
    const reducer = new ControlReducer({
      raft: {
        id: file.id,
        instanceId,
        hardState,
        snapshot: snapshot ?? {
          index: 0,
          term: 0,
          membership: { voters: file.initialVoters, learners: [] },
          bytes: new Uint8Array(),
        },
        entries,
        timing: options.timing,
      },
      initialSettings: file.initialSettings ?? null,
      snapshotEvery: options.snapshotEvery,
      autoMembership: options.autoMembership,
      rollouts: options.rollouts,
      availabilityZone: file.availabilityZone,
      capBounds: options.capBounds,
      observer: options.observer,
      entryHeartbeatTimeoutMs: options.entryHeartbeatTimeoutMs,
    });
    const server = new ControlServer(options, storage, reducer);
    diskState.report = (refuses) =>
      server.postReliably({ type: ControlEventType.DiskState, refuses });
    return server;
  }

  private static async openStorage(
    options: ControlServerOptions,
    onDiskState: (refuses: boolean) => void,
  ): Promise<Storage> {
    const { file, logger, initialize, identity, supervised } = options;
    if (options.observer) return createMemoryStorage();
    return DataFolder.open({
      folder: file.dataFolder,
      initialize,
      identity,
      supervised,
      onWritesRefused: (error) => {
        logger.error('disk_refusing', { host: file.id, detail: String(error) });
        onDiskState(true);
      },
      onWritesAccepted: (refusedMs) => {
        logger.info('disk_taking', { host: file.id, refusedMs });
        onDiskState(false);
      },
    });
  }

  /** Port for connections from the system's own processes. */
  get port(): number {
    return this.boundPort;
  }

  get adminPort(): number {
    return this.boundAdminPort;
  }

  async start(): Promise<void> {
    const { file, logger } = this.options;
    this.startedAtMs = this.clock.nowMs();
    this.boundPort = this.http.listening
      ? (this.http.address() as AddressInfo).port
      : await listen(this.http, file.listen.address, file.listen.port);
    const { adminListen } = file;
    this.boundAdminPort = await listen(this.adminHttp, adminListen.address, adminListen.port);
    const records = (await this.backendsFile?.load(this.clock.wallMs())) ?? [];
    const departures = (await this.departuresFile?.load()) ?? [];
    this.post({ type: ControlEventType.BackendsRestored, records, departures });
    this.syncLinks();
    this.timer = setInterval(() => this.tick(), TICK_MS);
    if (this.options.seeds) {
      this.joinTimer = setInterval(() => this.sendJoinRequests(), JOIN_INTERVAL_MS);
      this.sendJoinRequests();
    }
    logger.info('control_started', {
      host: file.id,
      port: this.boundPort,
      adminPort: this.adminPort,
      term: this.reducer.raft.state.term,
      lastIndex: this.reducer.raft.state.log.lastIndex,
    });
  }

  /**
   * Completes the administration requests in progress, for a limited time, then steps down and
   * ends. From then on nothing is handled, written, sent or confirmed; writes queued before are
   * completed.
   */
  stop(): Promise<void> {
    this.stopped ??= this.end();
    return this.stopped;
  }

  private async end(): Promise<void> {
    await this.admin.stop(ADMIN_FINISH_MS);
    clearInterval(this.timer);
    clearInterval(this.joinTimer);
    this.loop.dispose();
    this.sender.dispose();
    this.runEffects(this.reducer.reduce(this.withTimes({ type: ControlEventType.Stop })));
    this.failPendingRequests();
    this.links.dispose();
    this.messages.dispose();
    await this.backendsFile?.close();
    await this.departuresFile?.close();
    await this.storage.close();
    // Last: whoever has this address may use the data folder.
    await closeServer(this.http);
    this.options.logger.info('control_stopped', { host: this.options.file.id });
  }

  /** Answers the requests whose events were not handled before the stop. */
  private failPendingRequests(): void {
    const error = new EgretError(ErrorKind.NoQuorum, 'The control host is stopping.');
    [...this.pendingAdminRequests.values()].forEach((answer) => answer({ body: null, error }));
    [...this.pendingAnnouncements.values()].forEach((answer) => answer(false));
  }

  /** Handles an announcement; resolves with false if another control host should be tried. */
  announce(record: BackendRecord): Promise<boolean> {
    return this.submitAnnouncement((requestId) =>
      this.post({ type: ControlEventType.Announce, requestId, record }),
    );
  }

  /** Handles the departure of a backend server; resolves like {@link announce}. */
  announceDeparture(id: string, bornMs: number | undefined): Promise<boolean> {
    return this.submitAnnouncement((requestId) =>
      this.post({ type: ControlEventType.Departure, requestId, id, bornMs }),
    );
  }

  /** Member that currently leads, if it is known and is not this host. */
  remoteLeader(): Member | undefined {
    const { state } = this.reducer.raft;
    const { voters, learners } = state.log.membership;
    if (state.leaderId === state.id) return undefined;
    return [...voters, ...learners].find((member) => member.id === state.leaderId);
  }

  /**
   * Control host that takes announcements in the place of this one, if this one has no disk; any voter
   * that can be reached, another one each time. Undefined if this host takes them itself.
   *
   * @throws EgretError of kind no-quorum if no voter can be reached
   */
  announcementHost(): Member | undefined {
    if (!this.options.observer) return undefined;
    const { voters } = this.reducer.raft.state.log.membership;
    const reachable = voters.filter(({ id }) => this.links.isOpen(id));
    const chosen = reachable[Math.floor(this.random.next() * reachable.length)];
    if (chosen) return chosen;
    throw new EgretError(ErrorKind.NoQuorum, 'No control host with a disk can be reached.');
  }

  /** Submits a request of an actor that another part of the process has authenticated. */
  submitAuthenticated(request: AdminRequest, actor: Actor): Promise<AdminResult> {
    return this.submitAdmin(request, '', actor);
  }

  /** Submits an administration request to the reducer; times out without an answer. */
  submitAdmin(request: AdminRequest, tokenHash: string, actor?: Actor): Promise<AdminResult> {
    const requestId = String(this.nextRequestId);
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      const finish = (result: AdminResult) => {
        this.pendingAdminRequests.delete(requestId);
        resolve(result);
      };
      const refuse = (detail: string) =>
        finish({ body: null, error: new EgretError(ErrorKind.NoQuorum, detail) });
      const timer = setTimeout(() => refuse('No majority answered in time.'), ADMIN_TIMEOUT_MS);
      this.pendingAdminRequests.set(requestId, (result) => {
        clearTimeout(timer);
        finish(result);
      });
      const type = ControlEventType.Admin;
      if (!this.post({ type, requestId, tokenHash, request, actor })) {
        clearTimeout(timer);
        refuse(`The control host is ${this.stopped ? 'stopping' : 'overloaded'}.`);
      }
    });
  }

  private submitAnnouncement(post: (requestId: string) => boolean): Promise<boolean> {
    const requestId = String(this.nextRequestId);
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      this.pendingAnnouncements.set(requestId, (confirmed) => {
        this.pendingAnnouncements.delete(requestId);
        resolve(confirmed);
      });
      if (!post(requestId)) this.pendingAnnouncements.get(requestId)?.(false);
    });
  }

  /** Sends join requests to the seeds and members if this host may not be a member. */
  private sendJoinRequests(): void {
    const { state } = this.reducer.raft;
    const { file, secret, logger } = this.options;
    const member = this.self();
    membersToInvite(state).forEach((target) => requestJoin(target, member, secret));
    if (!shouldRequestJoin(state, this.clock.nowMs(), this.startedAtMs)) return;
    const otherMembers = state.log.membersExcept(file.id);
    const requesters = this.reducer.joinRequesters(this.clock.nowMs());
    if (this.options.wasEmptied) this.emptiedIds.learn(state.log.membership);
    const reports = shouldReportEmptied(state, this.clock.nowMs());
    const emptiedIds = reports ? this.emptiedIds.list() : [];
    // This host is the first witness that its earlier ids are gone.
    if (emptiedIds.length > 0) this.post({ type: ControlEventType.Join, member, emptiedIds });
    [...(this.options.seeds?.() ?? []), ...requesters, ...otherMembers]
      .filter((target) => target.address !== member.address || target.port !== member.port)
      .forEach((target) => {
        requestJoin(target, member, secret, emptiedIds).then(
          (membership) => {
            if (this.stopped || !membership) return;
            if (this.options.wasEmptied) this.emptiedIds.learn(membership);
            if (state.log.membership.voters.length > 0) return;
            if (state.log.lastIndex > 0 || membership.voters.length === 0) return;
            state.log.adoptMembership(membership);
            logger.info('membership_learned', {
              host: file.id,
              from: target.address,
              voters: membership.voters.map((voter) => voter.id).join(','),
            });
            this.linkedMembershipIndex = -1;
            this.syncLinks();
          },
          (error: unknown) => logger.warn('join_failed', { detail: String(error) }),
        );
      });
  }

  /** This host as a member. */
  private self(): Member {
    const { file, observer } = this.options;
    const { address } = file.listen;
    return { id: file.id, address, port: this.boundPort, ...(observer && { observer }) };
  }

  private withTimes(event: Untimed<ControlEvent>): ControlEvent {
    const times = { nowMs: this.clock.nowMs(), wallMs: this.clock.wallMs() };
    return { ...event, ...times } as ControlEvent;
  }

  private post(event: Untimed<ControlEvent>): boolean {
    return this.loop.post(this.withTimes(event));
  }

  /** Queues an event that no other one repeats; it is not refused while many others wait. */
  private postReliably(event: Untimed<ControlEvent>): void {
    this.loop.postCompletion(this.withTimes(event));
  }

  private tick(): void {
    this.admission.tick();
    this.loop.postCompletion(
      this.withTimes({ type: ControlEventType.Tick, random: this.random.next() }),
    );
  }

  private handle(event: ControlEvent): void {
    try {
      this.runEffects(this.reducer.reduce(event));
    } catch (error) {
      this.options.onFatal(error);
    }
  }

  private onMessage(session: ServerSession, message: object): void {
    if (session.role === LinkRole.Control) {
      if ((message as { type: string }).type in CONTROL_PEER_FIELDS) {
        const peerMessage = message as ControlPeerMessage;
        if (peerMessage.from !== session.clientId) return;
        // Changes are sent once: one that is lost is missing until the link opens again.
        this.postReliably({ type: ControlEventType.ControlPeerMessage, message: peerMessage });
        return;
      }
      const raftMessage = message as RaftMessage;
      // A host may only send messages under its own id.
      if (raftMessage.from !== session.clientId) return;
      const event = { type: ControlEventType.RaftMessage, message: raftMessage } as const;
      this.loop.postUrgent(this.withTimes(event));
      return;
    }
    const { sessionId } = session;
    const received = message as EntryToControlMessage;
    const hasForeignId =
      received.type === ControlMessageType.Hello && received.entryHost.id !== session.clientId;
    if (hasForeignId) return;
    const event = { type: ControlEventType.SessionMessage, sessionId, message: received } as const;
    if (SENT_ONCE.has(received.type)) this.postReliably(event);
    else this.post(event);
  }

  private runEffects(effects: readonly ControlEffect[]): void {
    effects.forEach((effect) => {
      const handler = this.effectHandlers[effect.type] as (received: ControlEffect) => void;
      handler(effect);
    });
    this.syncLinks();
  }

  private syncLinks(): void {
    const { log } = this.reducer.raft.state;
    if (log.membershipIndex === this.linkedMembershipIndex) return;
    this.linkedMembershipIndex = log.membershipIndex;
    const { file, observer: isObserver } = this.options;
    this.links.sync(linkedMembers(log, { selfId: file.id, isObserver }));
  }

  private readonly effectHandlers = {
    [ControlEffectType.Persist]: (effect: EffectOf<ControlEffectType.Persist>) =>
      this.sender.persist(effect.write),
    [ControlEffectType.SaveSnapshot]: (effect: EffectOf<ControlEffectType.SaveSnapshot>) =>
      this.sender.saveSnapshot(effect.snapshot, effect.received, this.reducer.raft.state),
    [ControlEffectType.SendRaft]: (effect: EffectOf<ControlEffectType.SendRaft>) =>
      this.sender.send(effect.to, effect.message, effect.early),
    [ControlEffectType.SendSession]: (effect: EffectOf<ControlEffectType.SendSession>) =>
      this.sendSession(effect),
    [ControlEffectType.Broadcast]: (effect: EffectOf<ControlEffectType.Broadcast>) =>
      this.broadcast(effect),
    [ControlEffectType.AnswerAdmin]: (effect: EffectOf<ControlEffectType.AnswerAdmin>) =>
      this.pendingAdminRequests.get(effect.requestId)?.({ body: effect.body, error: effect.error }),
    [ControlEffectType.SendControl]: (effect: EffectOf<ControlEffectType.SendControl>) =>
      this.sendControl(effect.to, effect.message),
    [ControlEffectType.AnswerAnnouncement]: (
      effect: EffectOf<ControlEffectType.AnswerAnnouncement>,
    ) => this.pendingAnnouncements.get(effect.requestId)?.(effect.confirmed),
    [ControlEffectType.SaveBackends]: (effect: EffectOf<ControlEffectType.SaveBackends>) => {
      this.backendsFile?.save(effect.records, this.clock.wallMs());
    },
    [ControlEffectType.SaveDepartures]: (effect: EffectOf<ControlEffectType.SaveDepartures>) =>
      this.saveDepartures(effect.saveId, effect.records),
    [ControlEffectType.RoleChanged]: (effect: EffectOf<ControlEffectType.RoleChanged>) =>
      this.options.logger.info('role_changed', {
        host: this.options.file.id,
        role: effect.role,
        term: effect.term,
        leader: effect.leaderId ?? 'none',
      }),
    [ControlEffectType.Log]: (effect: EffectOf<ControlEffectType.Log>) =>
      this.options.logger.info(effect.event, effect.fields),
  };

  /** Sends a message to several sessions; it is encoded once in each form. */
  private broadcast({
    sessionIds,
    message,
    compressedIds,
  }: EffectOf<ControlEffectType.Broadcast>): void {
    sessionIds.forEach((sessionId) => {
      const isCompressed = compressedIds?.has(sessionId) === true;
      const bytes = isCompressed
        ? this.compressor.compress(message)
        : this.compressor.encode(message);
      this.sessions.get(sessionId)?.sendEncoded(bytes, message.type);
    });
  }

  private sendSession(effect: EffectOf<ControlEffectType.SendSession>): void {
    const session = this.sessions.get(effect.sessionId);
    if (!session) return;
    const message = this.packer.packFor(effect);
    if (message.type === ControlMessageType.PackedRouting) {
      session.sendEncoded(this.compressor.encode(message), message.type);
    } else if (effect.acceptsCompressed) {
      session.sendEncoded(this.compressor.compress(message), message.type);
    } else session.send(message);
  }

  /** Sends a message to another control host in a form that its version knows. */
  private sendControl(to: string, message: ControlPeerMessage): void {
    const supported = this.links.supports(to, PEER_PROTOCOLS[message.type] ?? 1);
    if (supported) this.links.send(to, message);
    else if (message.type === ControlMessageType.BackendRenewals) {
      const records = this.reducer.backends.registry.recordsOf(message.ids);
      const type = ControlMessageType.BackendRelay;
      this.links.send(to, { type, from: message.from, batchId: 0, records });
    }
  }

  /** Saves departures; a host without a disk, which never votes, only holds them in memory. */
  private saveDepartures(saveId: number, records: readonly BackendRecord[]): void {
    const saving = this.departuresFile?.save(records) ?? Promise.resolve(true);
    saving.then(
      (saved) => {
        if (!saved) return;
        const event = { type: ControlEventType.DeparturesSaved, saveId } as const;
        this.loop.postCompletion(this.withTimes(event));
      },
      (error: unknown) => this.options.onFatal(error),
    );
  }
}
