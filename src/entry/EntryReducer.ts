import { WhenStale } from '../common/Enums.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import {
  ControlMessageType,
  type ClaimReplyMessage,
  type ControlToEntryMessage,
} from '../common/Messages.js';
import type { EntryHost } from '../common/Placement.js';
import type { RandomSource } from '../common/Random.js';
import { CallFlow, holdMsOf } from './CallFlow.js';
import { ClaimFlow } from './ClaimFlow.js';
import { ControlSessions } from './ControlSessions.js';
import { SettingsFreshness } from './SettingsFreshness.js';
import { Directory } from './Directory.js';
import type { ServicePool } from './dispatch/ServicePool.js';
import { EntryContext } from './EntryContext.js';
import { EntryRoster } from './EntryRoster.js';
import { LeaseTable } from './LeaseTable.js';
import { PeerCapacity } from './PeerCapacity.js';
import { PeerFlow } from './PeerFlow.js';
import { Pools } from './Pools.js';
import { SettingsView } from './SettingsView.js';
import { EntryEffectType, EntryEventType, type EntryEffect, type EntryEvent } from './Types.js';

type EventOf<T extends EntryEventType> = Extract<EntryEvent, { type: T }>;
type ControlMessageOf<T extends ControlMessageType> = Extract<ControlToEntryMessage, { type: T }>;

/** Options of an {@link EntryReducer}. */
export interface EntryReducerOptions {
  readonly self: EntryHost;
  readonly random: RandomSource;
  /** Distinguishes this run of the process from earlier ones. */
  readonly bootId: string;
}

/** Figures of the entry host, for metrics and readiness. */
export interface EntryStatus {
  readonly revision: number;
  readonly settingsIndex: number;
  readonly current: boolean;
  readonly controlSessions: number;
  readonly entryHosts: number;
  readonly calls: number;
  readonly unsettledClaims: number;
}

/** Reducer of an entry host: settings, leases, calls, peers. */
export class EntryReducer {
  readonly settings = new SettingsView();

  readonly pools: Pools;

  private readonly context: EntryContext;

  private readonly freshness = new SettingsFreshness();

  private readonly roster: EntryRoster;

  private readonly capacity = new PeerCapacity();

  private readonly directory: Directory;

  private readonly sessions: ControlSessions;

  private readonly leases: LeaseTable;

  private readonly claims: ClaimFlow;

  private readonly calls: CallFlow;

  private readonly peers: PeerFlow;

  constructor(options: EntryReducerOptions) {
    const context = new EntryContext(options.self, options.random, options.bootId);
    const { settings, capacity } = this;
    const pools = new Pools(settings);
    const roster = new EntryRoster(options.self);
    this.context = context;
    this.pools = pools;
    this.roster = roster;
    this.directory = new Directory(settings, roster, options.random);
    this.sessions = new ControlSessions(context, settings, this.freshness, () =>
      this.onSettingsChanged(),
    );
    this.leases = new LeaseTable(context, roster, pools, (ended) =>
      this.peers.confirmCrashes(ended.pool, ended.backendId, ended.incarnation),
    );
    this.peers = new PeerFlow({
      context,
      settings,
      roster,
      pools,
      capacity,
      freshness: this.freshness,
      leases: this.leases,
      onSettingsChanged: () => {
        this.onSettingsChanged();
        this.sessions.ping();
      },
    });
    this.claims = new ClaimFlow({
      context,
      holdMsOf,
      leaderId: () => this.sessions.leaderId(),
      onReply: (callId, reply) => this.calls.onClaimReply(callId, reply),
    });
    this.calls = new CallFlow({
      context,
      settings,
      roster,
      pools,
      capacity,
      claims: this.claims,
      mayDispatch: () => this.mayDispatch(),
      onReleasedAttemptEnded: (record) => this.leases.onReleasedAttemptEnded(record),
      onSuspicion: (call, attempt, confirmed) => this.peers.onSuspicion(call, attempt, confirmed),
    });
  }

  /** Handles one event and returns its effects in order. */
  reduce(event: EntryEvent): EntryEffect[] {
    this.context.begin(event.nowMs);
    const handler = this.eventHandlers[event.type] as (received: EntryEvent) => void;
    handler(event);
    return this.context.takeEffects();
  }

  /** Figures as of the last event. */
  status(): EntryStatus {
    return {
      revision: this.settings.revision,
      settingsIndex: this.settings.index,
      current: this.isCurrent(),
      controlSessions: this.sessions.size,
      entryHosts: this.roster.size,
      calls: this.calls.size,
      unsettledClaims: this.claims.unsettledCount,
    };
  }

  private readonly eventHandlers = {
    [EntryEventType.Tick]: () => this.onTick(),
    [EntryEventType.ControlConnected]: (event: EventOf<EntryEventType.ControlConnected>) =>
      this.sessions.open(event.controlHostId),
    [EntryEventType.ControlMessage]: (event: EventOf<EntryEventType.ControlMessage>) => {
      const handler = this.controlHandlers[
        event.message.type as keyof typeof this.controlHandlers
      ] as ((from: string, message: ControlToEntryMessage) => void) | undefined;
      handler?.(event.controlHostId, event.message);
    },
    [EntryEventType.ControlClosed]: (event: EventOf<EntryEventType.ControlClosed>) => {
      this.sessions.close(event.controlHostId);
      this.roster.dropList(event.controlHostId, event.nowMs);
    },
    [EntryEventType.PeerMessage]: (event: EventOf<EntryEventType.PeerMessage>) => {
      this.peers.onMessage(event.from, event.message);
      this.pools.forEach((pool) => this.dispatchIfQueued(pool));
    },
    [EntryEventType.PeerUnreachable]: (event: EventOf<EntryEventType.PeerUnreachable>) =>
      this.roster.markUnreachable(event.peerId, event.nowMs),
    [EntryEventType.Announcement]: (event: EventOf<EntryEventType.Announcement>) =>
      this.onAnnouncement(event),
    [EntryEventType.DirectoryRequested]: (event: EventOf<EntryEventType.DirectoryRequested>) => {
      const result = this.directory.answer(event);
      this.context.emit({
        type: EntryEffectType.AnswerDirectory,
        requestId: event.requestId,
        answer: result.isOk ? result.value : null,
        error: result.isErr ? result.error : null,
      });
    },
    [EntryEventType.CallArrived]: (event: EventOf<EntryEventType.CallArrived>) =>
      this.calls.onCallArrived(event.call),
    [EntryEventType.CallerDisconnected]: (event: EventOf<EntryEventType.CallerDisconnected>) =>
      this.calls.onCallerDisconnected(event.callId),
    [EntryEventType.AttemptHeaders]: (event: EventOf<EntryEventType.AttemptHeaders>) =>
      this.calls.onHeaders(event.callId, event.attemptId),
    [EntryEventType.AttemptEnded]: (event: EventOf<EntryEventType.AttemptEnded>) =>
      this.calls.onAttemptEnded(event),
    [EntryEventType.TargetClosed]: (event: EventOf<EntryEventType.TargetClosed>) =>
      this.pools.findBackend(event.targetId)?.onDisconnected(),
    [EntryEventType.Stop]: (event: EventOf<EntryEventType.Stop>) => {
      this.context.self = { ...this.context.self, stopping: true };
      this.context.answerByMs = event.answerByMs ?? Number.POSITIVE_INFINITY;
      this.roster.setSelf(this.context.self, this.context.nowMs);
      this.sessions.ping();
      this.calls.refuseTooLate();
    },
    [EntryEventType.StopExpired]: () => {
      this.context.answerByMs = Number.NEGATIVE_INFINITY;
      this.calls.answerOpen();
    },
  };

  private readonly controlHandlers = {
    [ControlMessageType.Pong]: (from: string, pong: ControlMessageOf<ControlMessageType.Pong>) =>
      this.sessions.onPong(from, pong),
    [ControlMessageType.Settings]: (
      from: string,
      message: ControlMessageOf<ControlMessageType.Settings>,
    ) => this.sessions.onSettings(from, message),
    [ControlMessageType.SettingsDelta]: (
      from: string,
      message: ControlMessageOf<ControlMessageType.SettingsDelta>,
    ) => this.sessions.onSettings(from, message),
    [ControlMessageType.EntryHosts]: (
      from: string,
      message: ControlMessageOf<ControlMessageType.EntryHosts>,
    ) => this.roster.setList(from, message.entryHosts, this.context.nowMs),
    [ControlMessageType.ClaimReply]: (from: string, reply: ClaimReplyMessage) =>
      this.claims.onClaimReply(reply),
    [ControlMessageType.SettleReply]: (
      from: string,
      reply: ControlMessageOf<ControlMessageType.SettleReply>,
    ) => this.claims.onSettleReply(reply),
  };

  private isCurrent(): boolean {
    return this.freshness.currentForMs(this.settings.index, this.context.nowMs) > 0;
  }

  private mayDispatch(): boolean {
    const { index, catalog } = this.settings;
    return this.isCurrent() || (catalog.system.whenStale === WhenStale.Serve && index > 0);
  }

  private onTick(): void {
    this.sessions.tick();
    this.roster.tick(this.context.nowMs);
    this.leases.tick(this.settings.catalog.system.leaseMs);
    this.claims.tick();
    this.calls.tick();
    this.peers.tick();
    if (!this.mayDispatch()) {
      const detail = 'The settings may be out of date.';
      this.calls.refuseQueued(() => new EgretError(ErrorKind.NotCurrent, detail));
    }
  }

  private onSettingsChanged(): void {
    this.roster.invalidate(this.context.nowMs);
    this.pools.onSettingsChanged();
    this.context.log('settings_applied', {
      revision: this.settings.revision,
      index: this.settings.index,
    });
  }

  private onAnnouncement(event: EventOf<EntryEventType.Announcement>): void {
    const { announcement, requestId, tokenHash } = event;
    const entry = this.settings.catalog.services.get(announcement.service);
    const refuse = (kind: ErrorKind, detail: string) =>
      this.context.emit({
        type: EntryEffectType.AnswerAnnouncement,
        requestId,
        answer: null,
        error: new EgretError(kind, detail),
      });
    if (!entry) {
      refuse(ErrorKind.UnknownService, `No service ${announcement.service}.`);
      return;
    }
    if (entry.settings.announcementTokenHash !== tokenHash) {
      refuse(ErrorKind.Unauthorized, `The token is not valid for ${announcement.service}.`);
      return;
    }
    if (!entry.settings.availabilityZones.includes(announcement.availabilityZone)) {
      const detail = `availabilityZone ${announcement.availabilityZone} is unknown to the service.`;
      refuse(ErrorKind.InvalidAnnouncement, detail);
      return;
    }
    const result = this.leases.announce(announcement, entry);
    this.context.emit({
      type: EntryEffectType.AnswerAnnouncement,
      requestId,
      answer: result.isOk ? result.value : null,
      error: result.isErr ? result.error : null,
    });
    const pool = this.pools.getOrCreate(entry);
    if (result.isOk && pool.policy.leaseless) this.peers.relayAnnouncement(announcement);
    this.dispatchIfQueued(pool);
  }

  private dispatchIfQueued(pool: ServicePool): void {
    if (pool.queue.length > 0) this.calls.dispatchQueued(pool);
  }
}
