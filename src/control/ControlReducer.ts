import {
  ClaimReplyVerdict,
  ControlMessageType,
  EntryHostUpdates,
  type ClaimMessage,
  type ControlPeerMessage,
  type ControlToEntryMessage,
  type CrashReportMessage,
  type LimitReportMessage,
  type PingMessage,
  type RolloutEvidenceMessage,
  type SettleMessage,
  type EntryToControlMessage,
} from '../common/Messages.js';
import type { SettingsTree } from '../common/SettingsSchema.js';
import { AutoMembership, type AutoMembershipOptions } from './AutoMembership.js';
import { AdminFlow, type ProposalCallbacks } from './AdminFlow.js';
import { ReplicatedState, type SettingsDelta } from './ReplicatedState.js';
import { CommandType, type Command } from './Commands.js';
import type { CapBounds } from '../common/caps/Types.js';
import type { Customer } from '../common/routing/Types.js';
import { UsageFlow } from './caps/UsageFlow.js';
import { EntrySessions } from './EntrySessions.js';
import { ExchangePeers } from './ExchangePeers.js';
import { GatewayProgress } from './GatewayProgress.js';
import { withInstanceIds } from './MembershipChange.js';
import { RegistryFlow } from './RegistryFlow.js';
import { RoutingDelivery } from './RoutingDelivery.js';
import { RoutingInForce } from './RoutingInForce.js';
import { RoutingProgress } from './RoutingProgress.js';
import { DEFAULT_SNAPSHOT_POLICY, isSnapshotDue, type SnapshotPolicy } from './SnapshotPolicy.js';
import { SharedEntryHosts } from './SharedEntryHosts.js';
import { isCaughtUp } from './raft/CaughtUp.js';
import { RaftNode } from './raft/RaftNode.js';
import type { RolloutSettings } from '../common/rollouts/Types.js';
import { RolloutSteering } from './rollouts/RolloutSteering.js';
import type { RaftOptions } from './raft/RaftState.js';
import { hasCommittedInTerm } from './raft/Replication.js';
import {
  RaftEffectType,
  RaftEventType,
  type LogEntry,
  type Member,
  type RaftEffect,
} from './raft/Types.js';
import {
  ControlEffectType,
  ControlEventType,
  type ControlEffect,
  type ControlEvent,
} from './Types.js';

type EventOf<T extends ControlEventType> = Extract<ControlEvent, { type: T }>;
type RaftEffectOf<T extends RaftEffectType> = Extract<RaftEffect, { type: T }>;
type SessionMessageOf<T extends ControlMessageType> = Extract<EntryToControlMessage, { type: T }>;

/** Options of a {@link ControlReducer}. */
export interface ControlOptions {
  readonly raft: RaftOptions;
  /** Tree that the first leader of a new cluster proposes. */
  readonly initialSettings: SettingsTree | null;
  /** Number of applied log entries after which a snapshot is taken, if not earlier by their size. */
  readonly snapshotEvery?: number;
  /** Present if lost control hosts are replaced without an operator. */
  readonly autoMembership?: AutoMembershipOptions;
  /** Availability zone of this host. */
  readonly availabilityZone?: string;
  /** Bounds of the customers' usage caps; omitted in deployments without caps. */
  readonly capBounds?: CapBounds;
  /** Time without a heartbeat until a host is unlisted; two configuration leases by default. */
  readonly entryHeartbeatTimeoutMs?: number;
  /** Limits of rollouts; those of the requirement by default. */
  readonly rollouts?: RolloutSettings;
  /** True for a host without a disk, which takes no announcements and serves no entry hosts. */
  readonly observer?: boolean;
}

/** Callbacks of a proposed command, with the term of the proposal. */
interface PendingProposal extends ProposalCallbacks {
  readonly term: number;
}

/** Customers of a routing that has none. */
const NO_CUSTOMERS: readonly Customer[] = [];

/** Configuration leases without a heartbeat after which an entry-host session ends. */
const SESSION_TIMEOUT_LEASES = 2;

/**
 * Reducer of a control host: replicated log and state, entry-host sessions, registry of backend
 * servers, administration.
 */
export class ControlReducer {
  readonly raft: RaftNode;

  readonly replicatedState = new ReplicatedState();

  readonly sessions: EntrySessions;

  readonly steering: RolloutSteering;

  readonly routingInForce: RoutingInForce;

  private readonly gateways = new GatewayProgress();

  private readonly delivery = new RoutingDelivery();

  private readonly routingProgress: RoutingProgress;

  private readonly peers: ExchangePeers;

  private readonly sharedHosts: SharedEntryHosts;

  readonly backends: RegistryFlow;

  private readonly usage: UsageFlow | null;

  private readonly autoMembership: AutoMembership | null;

  private readonly admin: AdminFlow;

  private readonly availabilityZone: string | undefined;

  private readonly isObserver: boolean;

  private readonly snapshotPolicy: SnapshotPolicy;

  private readonly initialSettings: SettingsTree | null;

  /** Proposals by log index. */
  private readonly pendingProposals = new Map<number, PendingProposal>();

  /** Sessions that receive the routing. */
  private readonly watchers = new Set<number>();

  /** Watchers that accept a compressed routing. */
  private readonly packedWatchers = new Set<number>();

  /** True if a session may be due to receive the routing. */
  private deliveryDue = false;

  private snapshotRunning = false;

  private effects: ControlEffect[] = [];

  private nowMs = 0;

  private wallMs = 0;

  constructor(options: ControlOptions) {
    const hostsLostAtOnce = options.autoMembership?.hostsLostAtOnce;
    this.raft = new RaftNode({ ...options.raft, hostsLostAtOnce });
    this.steering = new RolloutSteering({ settings: options.rollouts });
    this.isObserver = options.observer ?? false;
    this.peers = new ExchangePeers({
      selfId: options.raft.id,
      log: this.raft.state.log,
      isObserver: this.isObserver,
    });
    this.sharedHosts = new SharedEntryHosts({
      selfId: options.raft.id,
      peerIds: () => this.peers.ids(),
      send: (to, message) => this.emit({ type: ControlEffectType.SendControl, to, message }),
    });
    this.routingProgress = new RoutingProgress({
      raft: this.raft.state,
      peers: this.peers,
      gateways: this.gateways,
      routingIndex: () => this.replicatedState.routing.view.index,
      send: (to, message) => this.emit({ type: ControlEffectType.SendControl, to, message }),
    });
    this.routingInForce = new RoutingInForce({
      missing: (index, nowMs) => this.routingProgress.missing(index, nowMs),
      log: (event, fields) => this.emit({ type: ControlEffectType.Log, event, fields }),
    });
    this.sessions = new EntrySessions({
      unlistAfterMs: options.entryHeartbeatTimeoutMs,
      shared: () => this.sharedHosts.hosts(),
      onListed: (entryHosts, nowMs) => this.sharedHosts.share(entryHosts, nowMs),
    });
    this.replicatedState.restore(options.raft.snapshot.bytes);
    this.initialSettings = options.initialSettings;
    this.availabilityZone = options.availabilityZone;
    const { snapshotEvery = DEFAULT_SNAPSHOT_POLICY.entries } = options;
    this.snapshotPolicy = { ...DEFAULT_SNAPSHOT_POLICY, entries: snapshotEvery };
    this.autoMembership = options.autoMembership
      ? new AutoMembership(options.autoMembership)
      : null;
    this.backends = new RegistryFlow({
      raft: this.raft.state,
      peers: this.peers,
      sessions: this.sessions,
      emit: (effect) => this.emit(effect),
    });
    this.usage = options.capBounds ? this.createUsageFlow(options.capBounds) : null;
    this.admin = new AdminFlow({
      raft: this.raft,
      replicatedState: this.replicatedState,
      sessions: this.sessions,
      propose: (command, callbacks) => this.propose(command, callbacks),
      requestRead: (readId) =>
        this.stepRaft({ type: RaftEventType.Read, nowMs: this.nowMs, readId }),
      missing: (index, nowMs) => this.routingProgress.missing(index, nowMs),
      coverage: (nowMs) => this.routingProgress.coverage(nowMs),
      log: (event, fields) => this.emit({ type: ControlEffectType.Log, event, fields }),
      answer: (requestId, body, error) =>
        this.emit({ type: ControlEffectType.AnswerAdmin, requestId, body, error }),
      delaysConfirmation: () =>
        this.autoMembership?.delaysConfirmation(
          this.raft.state,
          this.committedMembership().voters.length,
        ) ?? false,
    });
  }

  /** Handles one event and returns its effects in order. */
  reduce(event: ControlEvent): ControlEffect[] {
    this.effects = [];
    this.nowMs = event.nowMs;
    this.wallMs = event.wallMs;
    this.admin.beginEvent(event);
    this.backends.beginEvent(event.nowMs);
    const handler = this.eventHandlers[event.type] as (received: ControlEvent) => void;
    handler(event);
    // One push for all entries of an event, so that the replay after a start sends no old version.
    if (this.deliveryDue) this.deliverRouting();
    return this.effects;
  }

  private readonly eventHandlers = {
    [ControlEventType.Tick]: (event: EventOf<ControlEventType.Tick>) => this.onTick(event),
    [ControlEventType.RaftMessage]: (event: EventOf<ControlEventType.RaftMessage>) =>
      this.stepRaft({
        type: RaftEventType.Message,
        nowMs: event.nowMs,
        message: event.message,
      }),
    [ControlEventType.Persisted]: (event: EventOf<ControlEventType.Persisted>) =>
      this.stepRaft({
        type: RaftEventType.Persisted,
        nowMs: event.nowMs,
        index: event.index,
        generation: event.generation,
      }),
    [ControlEventType.SnapshotSaved]: (event: EventOf<ControlEventType.SnapshotSaved>) => {
      if (!event.received) this.snapshotRunning = false;
      this.stepRaft({
        type: RaftEventType.SnapshotSaved,
        nowMs: event.nowMs,
        snapshot: event.snapshot,
        received: event.received,
      });
    },
    [ControlEventType.SessionMessage]: (event: EventOf<ControlEventType.SessionMessage>) =>
      this.onSessionMessage(event.sessionId, event.message),
    [ControlEventType.SessionClosed]: (event: EventOf<ControlEventType.SessionClosed>) => {
      this.gateways.close(event.sessionId, event.nowMs);
      this.backends.loseSession(event.sessionId);
      this.sessions.close(event.sessionId);
      this.endWatch(event.sessionId);
      this.usage?.closeSession(event.sessionId);
    },
    [ControlEventType.Admin]: (event: EventOf<ControlEventType.Admin>) =>
      this.admin.request(event.requestId, event.tokenHash, event.request, event.actor),
    [ControlEventType.Announce]: (event: EventOf<ControlEventType.Announce>) =>
      this.backends.announce(event.requestId, event.record),
    [ControlEventType.Departure]: (event: EventOf<ControlEventType.Departure>) =>
      this.backends.announceDeparture(event.requestId, event.id, event.bornMs),
    [ControlEventType.ControlPeerMessage]: (event: EventOf<ControlEventType.ControlPeerMessage>) =>
      this.onControlPeerMessage(event.message),
    [ControlEventType.ControlLinkOpened]: (event: EventOf<ControlEventType.ControlLinkOpened>) => {
      const { memberId, random, nowMs, protocol } = event;
      this.stepRaft({ type: RaftEventType.MemberLinked, nowMs, memberId, random });
      this.peers.onControlLink(memberId, protocol);
      this.routingProgress.onControlLink(memberId);
      if (!this.peers.includes(memberId)) return;
      this.backends.onControlLink(memberId);
      this.sharedHosts.sendWhole(memberId);
      this.usage?.onControlLink(memberId, nowMs);
    },
    [ControlEventType.Join]: (event: EventOf<ControlEventType.Join>) => this.onJoin(event),
    [ControlEventType.DiskState]: ({ nowMs, refuses }: EventOf<ControlEventType.DiskState>) =>
      this.stepRaft({ type: RaftEventType.DiskState, nowMs, refuses }),
    [ControlEventType.BackendsRestored]: (event: EventOf<ControlEventType.BackendsRestored>) =>
      this.backends.restore(event.records, event.departures),
    [ControlEventType.DeparturesSaved]: (event: EventOf<ControlEventType.DeparturesSaved>) =>
      this.backends.onDeparturesSaved(event.saveId),
    [ControlEventType.Stop]: () => this.runRaftEffects(this.raft.stepDown()),
  };

  private readonly raftHandlers = {
    [RaftEffectType.Persist]: (effect: RaftEffectOf<RaftEffectType.Persist>) =>
      this.emit({ type: ControlEffectType.Persist, write: effect }),
    [RaftEffectType.Send]: (effect: RaftEffectOf<RaftEffectType.Send>) =>
      this.emit({
        type: ControlEffectType.SendRaft,
        to: effect.to,
        message: effect.message,
        early: effect.early,
      }),
    [RaftEffectType.Apply]: (effect: RaftEffectOf<RaftEffectType.Apply>) =>
      this.applyEntry(effect.entry),
    [RaftEffectType.SaveSnapshot]: (effect: RaftEffectOf<RaftEffectType.SaveSnapshot>) =>
      this.emit({
        type: ControlEffectType.SaveSnapshot,
        snapshot: effect.snapshot,
        received: effect.received,
      }),
    [RaftEffectType.Restore]: (effect: RaftEffectOf<RaftEffectType.Restore>) => {
      this.replicatedState.restore(effect.snapshot.bytes);
      this.pushFull();
      this.admin.recordRouting();
      this.deliveryDue = true;
    },
    [RaftEffectType.ReadReady]: (effect: RaftEffectOf<RaftEffectType.ReadReady>) =>
      this.admin.finishRead(effect.readId),
    [RaftEffectType.ReadFailed]: (effect: RaftEffectOf<RaftEffectType.ReadFailed>) =>
      this.admin.failRead(effect.readId),
    [RaftEffectType.RoleChanged]: (effect: RaftEffectOf<RaftEffectType.RoleChanged>) => {
      this.steering.reset();
      this.routingProgress.onRoleChanged();
      this.routingInForce.reset();
      if (!this.raft.isLeader) {
        this.failPendingProposals();
        this.admin.failConfirmations();
      }
      if (this.raft.isLeader && this.raft.state.recoveryIds.length > 0) this.logRecovery();
      this.emit({
        type: ControlEffectType.RoleChanged,
        role: effect.role,
        term: effect.term,
        leaderId: effect.leaderId,
      });
    },
    [RaftEffectType.ElectionStalled]: (effect: RaftEffectOf<RaftEffectType.ElectionStalled>) => {
      const { quorum, granted, emptied, missing, recovery } = effect;
      const fields = {
        quorum,
        granted: granted.join(','),
        emptied: emptied.join(','),
        missing: missing.join(','),
        recovery,
      };
      this.emit({ type: ControlEffectType.Log, event: 'election_stalled', fields });
    },
  };

  private readonly sessionHandlers = {
    [ControlMessageType.Hello]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.Hello>,
    ) => {
      const updates = message.entryHostUpdates ?? EntryHostUpdates.Whole;
      this.sessions.open(sessionId, message.entryHost, this.nowMs, updates);
      if (updates === EntryHostUpdates.Whole) {
        this.sendSession(sessionId, this.sessions.listMessage(this.nowMs));
      }
    },
    [ControlMessageType.Ping]: (sessionId: number, message: PingMessage) =>
      this.onPing(sessionId, message),
    [ControlMessageType.FetchSettings]: (sessionId: number) => this.sendSettings(sessionId),
    [ControlMessageType.Claim]: (sessionId: number, message: ClaimMessage) =>
      this.onClaim(sessionId, message),
    [ControlMessageType.Settle]: (sessionId: number, message: SettleMessage) =>
      this.onSettle(sessionId, message),
    [ControlMessageType.Watch]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.Watch>,
    ) => {
      this.sessions.resume(sessionId, this.nowMs);
      if (message.ends === true) {
        this.endWatch(sessionId);
        return;
      }
      // It learns by the answers to its heartbeats that it has to watch others.
      if (this.isObserver) return;
      const { departures, entryHostUpdates, acceptsCompressed = false } = message;
      const gatewayId = this.sessions.entryHostId(sessionId);
      this.gateways.watch(sessionId, gatewayId, message.routingIndex, this.nowMs);
      const list = entryHostUpdates && this.sessions.setUpdates(sessionId, entryHostUpdates);
      if (list) {
        const type = ControlEffectType.SendSession;
        this.emit({ type, sessionId, message: list, acceptsCompressed });
      }
      this.backends.watch(sessionId, departures, acceptsCompressed);
      this.watchers.add(sessionId);
      if (message.acceptsPacked === true) this.packedWatchers.add(sessionId);
      else this.packedWatchers.delete(sessionId);
      this.delivery.watch(sessionId, message.routingIndex);
      this.deliveryDue = true;
    },
    [ControlMessageType.BackendsAck]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.BackendsAck>,
    ) => this.backends.acknowledge(sessionId, message.batchId),
    [ControlMessageType.CrashReport]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.CrashReport>,
    ) => this.forwardReport(sessionId, message),
    [ControlMessageType.LimitReport]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.LimitReport>,
    ) => this.forwardReport(sessionId, message),
    [ControlMessageType.UsageReport]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.UsageReport>,
    ) => this.usage?.onReport(sessionId, message, this.nowMs),
    [ControlMessageType.RolloutEvidence]: (
      sessionId: number,
      message: SessionMessageOf<ControlMessageType.RolloutEvidence>,
    ) => this.receiveEvidence(message),
  };

  /** Takes evidence as the leader, or passes it on to the leader. */
  private receiveEvidence(evidence: RolloutEvidenceMessage): void {
    const { id, leaderId } = this.raft.state;
    if (this.raft.isLeader) this.steering.receive(evidence, this.nowMs);
    else if (leaderId !== null && leaderId !== id) {
      const type = ControlMessageType.RolloutEvidenceRelay;
      const message = { type, from: id, evidence } as const;
      this.emit({ type: ControlEffectType.SendControl, to: leaderId, message });
    }
  }

  private onControlPeerMessage(message: ControlPeerMessage): void {
    // Any message is a sign of life, for which confirmations of departures wait.
    this.backends.noteContact(message.from);
    switch (message.type) {
      case ControlMessageType.EntryHostsShare:
        if (message.isWhole) this.backends.noteReports(message.from, message.reportsDelivery);
        this.sharedHosts.receive(message, this.nowMs);
        return;
      case ControlMessageType.ReportRelay:
        this.sendToWatchers(message.report);
        return;
      case ControlMessageType.UsageShare:
        this.usage?.onShare(message, this.nowMs);
        return;
      case ControlMessageType.RolloutEvidenceRelay:
        // Evidence that arrives after a change of leader comes again with the next report.
        if (this.raft.isLeader) this.steering.receive(message.evidence, this.nowMs);
        return;
      case ControlMessageType.RoutingProgress:
        this.routingProgress.receive(message);
        return;
      default:
        this.backends.onControlPeerMessage(message);
    }
  }

  /** Time from the arrival of the latest change of the routing to its confirmation, on the leader. */
  get latestChangeMs(): number {
    return this.admin.latestChangeMs;
  }

  /** Number of gateways in contact that have not applied the newest routing of this host. */
  gatewaysBehind(nowMs: number): number {
    return this.gateways.behind(this.replicatedState.routing.view.index, nowMs).length;
  }

  /** Hosts other than members that a join request or report should also be sent to. */
  joinRequesters(nowMs: number): readonly Member[] {
    return this.autoMembership?.requesters(nowMs) ?? [];
  }

  /** Handles a join request and the report of an emptied disk that it may carry; also its own. */
  private onJoin({ member, emptiedIds = [], nowMs }: EventOf<ControlEventType.Join>): void {
    if (!this.autoMembership) return;
    if (member.id !== this.raft.state.id) this.autoMembership.join(member, nowMs);
    if (emptiedIds.length === 0) return;
    const countBefore = this.raft.state.emptiedIds.size;
    this.stepRaft({ type: RaftEventType.HostEmptied, nowMs, reporter: member, emptiedIds });
    if (this.raft.state.emptiedIds.size === countBefore) return;
    const fields = { member: member.id, address: member.address, emptied: emptiedIds.join(',') };
    this.emit({ type: ControlEffectType.Log, event: 'host_emptied', fields });
  }

  private logRecovery(): void {
    const { term, recoveryIds } = this.raft.state;
    const fields = { term, emptied: recoveryIds.join(',') };
    this.emit({ type: ControlEffectType.Log, event: 'recovery_elected', fields });
  }

  /** Ends the subscription of a session, whose heartbeats may go on. */
  private endWatch(sessionId: number): void {
    this.sessions.setUpdates(sessionId, EntryHostUpdates.None);
    this.watchers.delete(sessionId);
    this.gateways.endWatch(sessionId);
    this.delivery.end(sessionId);
    this.packedWatchers.delete(sessionId);
    this.backends.closeSession(sessionId);
  }

  /** Forwards a report of one entry host to all others, also through the other control hosts. */
  private forwardReport(sessionId: number, report: CrashReportMessage | LimitReportMessage): void {
    this.sendToWatchers(report, sessionId);
    const { id } = this.raft.state;
    const message = { type: ControlMessageType.ReportRelay, from: id, report } as const;
    this.peers
      .ids()
      .forEach((to) => this.emit({ type: ControlEffectType.SendControl, to, message }));
  }

  private sendToWatchers(message: ControlToEntryMessage, exceptSessionId?: number): void {
    const sessionIds = [...this.watchers].filter((other) => other !== exceptSessionId);
    if (sessionIds.length === 0) return;
    this.emit({ type: ControlEffectType.Broadcast, sessionIds, message });
  }

  private emit(effect: ControlEffect): void {
    this.effects.push(effect);
  }

  private sendSession(sessionId: number, message: ControlToEntryMessage): void {
    this.emit({ type: ControlEffectType.SendSession, sessionId, message });
  }

  private stepRaft(event: Parameters<RaftNode['reduce']>[0]): void {
    this.runRaftEffects(this.raft.reduce(event));
  }

  private runRaftEffects(effects: readonly RaftEffect[]): void {
    effects.forEach((effect) => {
      const handler = this.raftHandlers[effect.type] as (received: RaftEffect) => void;
      handler(effect);
    });
  }

  private onTick(event: EventOf<ControlEventType.Tick>): void {
    this.stepRaft({ type: RaftEventType.Tick, nowMs: event.nowMs, random: event.random });
    this.sessions.expire(
      this.nowMs,
      this.replicatedState.tree.system.configLeaseMs * SESSION_TIMEOUT_LEASES,
    );
    this.sessions.takeListUpdates(this.nowMs).forEach((update) => {
      const { compressedWatchers: compressedIds } = this.backends;
      this.emit({ type: ControlEffectType.Broadcast, ...update, compressedIds });
    });
    this.backends.tick();
    this.tickUsage();
    this.proposeAsLeader();
    this.routingProgress.report(this.nowMs);
    this.routingInForce.check(this.nowMs);
    this.admin.releaseConfirmations();
    this.maybeSnapshot();
    this.deliveryDue = true;
  }

  private tickUsage(): void {
    if (!this.usage) return;
    const customers = this.replicatedState.routing.view.table?.customers ?? NO_CUSTOMERS;
    this.usage.setCustomers(customers, this.nowMs);
    this.usage.tick(this.nowMs);
  }

  private createUsageFlow(bounds: CapBounds): UsageFlow {
    const { id } = this.raft.state;
    return new UsageFlow({
      bounds,
      selfId: id,
      peerIds: () => this.peers.ids(),
      sendControl: (to, message) => this.emit({ type: ControlEffectType.SendControl, to, message }),
      broadcast: (sessionIds, message) =>
        this.emit({ type: ControlEffectType.Broadcast, sessionIds, message }),
      hasQuorum: () => this.backends.hasQuorum(),
      gatewayIdOf: (sessionId) => this.sessions.entryHostId(sessionId) || undefined,
      gatewayIds: () => this.sessions.listedIds(this.nowMs),
      log: (event, fields) => this.emit({ type: ControlEffectType.Log, event, fields }),
    });
  }

  /** As a leader that has committed in its term, proposes initial settings or a membership. */
  private proposeAsLeader(): void {
    if (!this.raft.isLeader || !hasCommittedInTerm(this.raft.state)) return;
    this.steerRollouts();
    if (
      this.replicatedState.revision === 0 &&
      this.initialSettings &&
      this.pendingProposals.size === 0
    ) {
      const tree = this.initialSettings;
      this.propose({ type: CommandType.Bootstrap, tree, atMs: this.wallMs });
    }
    const { state } = this.raft;
    const withReportedIds =
      state.log.membershipIndex <= state.commitIndex ? withInstanceIds(state) : undefined;
    const membership = withReportedIds ?? this.autoMembership?.plan(state, this.nowMs);
    if (membership) {
      this.emit({
        type: ControlEffectType.Log,
        event: 'membership_proposed',
        fields: {
          voters: membership.voters.map((member) => member.id).join(','),
          learners: membership.learners.map((member) => member.id).join(','),
        },
      });
      const command = { type: CommandType.Membership, membership } as const;
      this.propose({ ...command, actor: 'system', atMs: this.wallMs });
    }
  }

  private steerRollouts(): void {
    const { view } = this.replicatedState.routing;
    this.steering.tick(view, this.nowMs, this.wallMs).forEach((change) => {
      const { service, state, share, reason } = change;
      this.emit({
        type: ControlEffectType.Log,
        event: 'rollout_steered',
        fields: { service, state, share, reason, exposedCalls: this.steering.exposedCalls },
      });
      const type = CommandType.RolloutVerdict;
      this.propose({ type, ...change, actor: 'system', atMs: this.wallMs });
    });
  }

  private maybeSnapshot(): void {
    const { state } = this.raft;
    if (this.snapshotRunning || !isSnapshotDue(state, this.snapshotPolicy)) return;
    const term = state.log.termAt(state.appliedIndex);
    if (term === undefined) return;
    this.snapshotRunning = true;
    this.emit({
      type: ControlEffectType.SaveSnapshot,
      received: false,
      snapshot: {
        index: state.appliedIndex,
        term,
        membership: this.committedMembership(),
        bytes: this.replicatedState.toBytes(),
      },
    });
  }

  /** Membership at the applied index; a later, uncommitted one stays in the log. */
  private committedMembership() {
    const { state } = this.raft;
    if (state.log.membershipIndex <= state.appliedIndex) return state.log.membership;
    for (let index = state.appliedIndex; index > state.log.snapshot.index; index -= 1) {
      const command = state.log.entryAt(index)?.command;
      if (command?.type === CommandType.Membership) return command.membership;
    }
    return state.log.snapshot.membership;
  }

  /** Proposes a command; returns false if this host is not the leader. */
  private propose(command: Command, callbacks?: ProposalCallbacks): boolean {
    if (!this.raft.isLeader) return false;
    const index = this.raft.state.log.lastIndex + 1;
    if (callbacks) this.pendingProposals.set(index, { term: this.raft.state.term, ...callbacks });
    this.stepRaft({ type: RaftEventType.Propose, nowMs: this.nowMs, command });
    return true;
  }

  private applyEntry(entry: LogEntry): void {
    const result = this.replicatedState.apply(entry.index, entry.command);
    if (result.delta || result.replaced) this.admin.recordApplied(entry.index);
    if (result.replaced) this.pushFull();
    if (result.delta) this.pushDelta(result.delta);
    if (result.routingChanged) {
      const { version, closedZones } = this.replicatedState.routing.view;
      this.emit({
        type: ControlEffectType.Log,
        event: 'routing_applied',
        fields: { index: entry.index, version, closedZones: closedZones.join(',') },
      });
      this.deliveryDue = true;
      this.admin.recordRouting();
      if (this.raft.isLeader) this.routingInForce.noteCommitted(entry.index, version, this.nowMs);
    }
    const proposal = this.pendingProposals.get(entry.index);
    if (!proposal) return;
    this.pendingProposals.delete(entry.index);
    if (proposal.term === entry.term) proposal.onApplied(result);
    else proposal.onLost();
  }

  private failPendingProposals(): void {
    const lost = [...this.pendingProposals.values()];
    this.pendingProposals.clear();
    lost.forEach((proposal) => proposal.onLost());
  }

  private pushFull(): void {
    this.sessions.subscribers().forEach((session) => this.sendSettings(session.sessionId));
  }

  /** Sends the newest routing to the sessions that are due. */
  private deliverRouting(): void {
    this.deliveryDue = false;
    const { view } = this.replicatedState.routing;
    const times = {
      nowMs: this.nowMs,
      isCaughtUp: isCaughtUp(this.raft.state, this.nowMs),
      hasQuorum: this.backends.hasQuorum(),
    };
    this.delivery.takeDue(view.index, times).forEach((sessionId) =>
      this.emit({
        type: ControlEffectType.SendSession,
        sessionId,
        message: { type: ControlMessageType.Routing, view },
        acceptsPacked: this.packedWatchers.has(sessionId),
      }),
    );
  }

  private pushDelta(delta: SettingsDelta): void {
    this.sessions.subscribers().forEach((session) => {
      this.sendSession(session.sessionId, { type: ControlMessageType.SettingsDelta, ...delta });
    });
  }

  private sendSettings(sessionId: number): void {
    if (this.replicatedState.settingsIndex === 0) return;
    this.sendSession(sessionId, {
      type: ControlMessageType.Settings,
      index: this.replicatedState.settingsIndex,
      revision: this.replicatedState.revision,
      tree: this.replicatedState.tree,
    });
  }

  private onSessionMessage(sessionId: number, message: EntryToControlMessage): void {
    const handler = this.sessionHandlers[message.type] as
      ((id: number, received: EntryToControlMessage) => void) | undefined;
    handler?.(sessionId, message);
  }

  /** Log index of the newest settings change in the log, committed or not. */
  private newestSettingsIndex(): number {
    const { state } = this.raft;
    for (let index = state.log.lastIndex; index > state.appliedIndex; index -= 1) {
      const type = state.log.entryAt(index)?.command.type;
      if (type === CommandType.Change || type === CommandType.Bootstrap) return index;
    }
    return this.replicatedState.settingsIndex;
  }

  private onPing(sessionId: number, message: PingMessage): void {
    const session = this.sessions.ping(sessionId, message, this.nowMs);
    const { appliedIndex } = message;
    this.delivery.noteApplied(sessionId, appliedIndex);
    const reported = { appliedIndex, knownIndex: message.knownIndex ?? appliedIndex };
    if (this.gateways.noteHeartbeat(sessionId, reported, this.nowMs)) this.deliveryDue = true;
    if (!session) return;
    const { state } = this.raft;
    const { membershipIndex } = state.log;
    const { availabilityZone } = this;
    const isNew = message.membershipIndex !== membershipIndex;
    const routingIndex = this.replicatedState.routing.view.index;
    // A gateway that learns of a change ceases to serve by the one before, also without the change itself.
    const isUnaware = message.knownIndex !== undefined && message.knownIndex < routingIndex;
    const isDue = isNew || isUnaware || message.subscribe;
    if (!isDue && !this.sessions.isPongDue(sessionId, this.nowMs)) return;
    this.sendSession(sessionId, {
      type: ControlMessageType.Pong,
      pingId: message.pingId,
      newestSettingsIndex: this.newestSettingsIndex(),
      leaderId: state.leaderId,
      membershipIndex,
      // Sent only if changed: pongs are most of the traffic between zones under normal load.
      voters: isNew ? state.log.membership.voters : [],
      isVoter: state.isVoter,
      routingIndex,
      isCurrent: !this.isObserver && isCaughtUp(state, this.nowMs),
      ...(isNew && availabilityZone !== undefined && { availabilityZone }),
    });
    if (message.subscribe && message.appliedIndex < this.replicatedState.settingsIndex) {
      this.sendSettings(sessionId);
    }
  }

  private onClaim(sessionId: number, message: ClaimMessage): void {
    const reply = (verdict: ClaimReplyVerdict) =>
      this.sendSession(sessionId, {
        type: ControlMessageType.ClaimReply,
        requestId: message.requestId,
        verdict,
        answer: null,
        refusal: null,
      });
    const proposed = this.propose(
      {
        type: CommandType.Claim,
        key: message.key,
        service: message.service,
        fingerprint: message.fingerprint,
        attemptId: message.attemptId,
        entryHostId: this.sessions.entryHostId(sessionId),
        holdMs: message.holdMs,
        atMs: this.wallMs,
      },
      {
        onApplied: ({ claim }) => {
          if (!claim) return;
          this.sendSession(sessionId, {
            type: ControlMessageType.ClaimReply,
            requestId: message.requestId,
            ...claim,
          });
        },
        onLost: () => reply(ClaimReplyVerdict.Unavailable),
      },
    );
    if (!proposed) reply(ClaimReplyVerdict.Unavailable);
  }

  private onSettle(sessionId: number, message: SettleMessage): void {
    const { requestId, key, service, attemptId, outcome, answer } = message;
    const reply = (durable: boolean) =>
      this.sendSession(sessionId, { type: ControlMessageType.SettleReply, requestId, durable });
    const command = { type: CommandType.Settle, key, service, attemptId, outcome, answer } as const;
    const proposed = this.propose(
      { ...command, atMs: this.wallMs },
      { onApplied: () => reply(true), onLost: () => reply(false) },
    );
    if (!proposed) reply(false);
  }
}
