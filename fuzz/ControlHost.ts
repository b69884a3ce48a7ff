import type { SettingsTree } from '../src/common/SettingsSchema.js';
import type { RandomSource } from '../src/common/Random.js';
import type { AutoMembershipOptions } from '../src/control/AutoMembership.js';
import { isRestorable } from '../src/control/RestoredBackends.js';
import { ControlReducer } from '../src/control/ControlReducer.js';
import {
  RaftRole,
  type HardState,
  type LogEntry,
  type Member,
  type RaftMessage,
  type Snapshot,
} from '../src/control/raft/Types.js';
import {
  ControlEffectType,
  ControlEventType,
  type AdminRequest,
  type ControlEffect,
  type ControlEvent,
} from '../src/control/Types.js';
import type { EgretError } from '../src/common/Errors.js';
import type { BackendRecord } from '../src/common/backends/Types.js';
import type { ControlPeerMessage, ControlToEntryMessage } from '../src/common/Messages.js';
import type { Timeline } from './Timeline.js';

/** Durable part of a control host. */
interface Disk {
  instanceId: string;
  hardState: HardState;
  snapshot: Snapshot | null;
  entries: LogEntry[];
  /** Backend server records to restore at the next start. */
  backends: { readonly savedAtMs: number; readonly records: readonly BackendRecord[] };
  departures: readonly BackendRecord[];
}

/** Options of a {@link ControlHost}. */
export interface ControlHostOptions {
  readonly id: string;
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly voters: readonly Member[];
  readonly tree: SettingsTree;
  /** Speed of the host's clock relative to true time. */
  readonly clockRate: number;
  readonly snapshotEvery: number;
  readonly sendRaft: (to: string, message: RaftMessage) => void;
  readonly sendSession: (sessionId: number, message: ControlToEntryMessage) => void;
  /** Sends to another control host outside the replicated log; dropped by default. */
  readonly sendControl?: (to: string, message: ControlPeerMessage) => void;
  /** Present if lost control hosts are replaced without an operator. */
  readonly autoMembership?: AutoMembershipOptions;
  /** Called when the host becomes leader of a term. */
  readonly onElected?: (term: number) => void;
  /** Receives log lines; dropped by default. */
  readonly log?: (event: string, fields: LogFields) => void;
  /** Time without a heartbeat after which an entry host is no longer listed. */
  readonly entryHeartbeatTimeoutMs?: number;
  readonly availabilityZone?: string;
  /** True for a host without a disk. */
  readonly observer?: boolean;
}

/** Fields of a log line. */
export type LogFields = EffectOf<ControlEffectType.Log>['fields'];

type EffectOf<T extends ControlEffectType> = Extract<ControlEffect, { type: T }>;
type Untimed<E> = E extends unknown ? Omit<E, 'nowMs' | 'wallMs'> : never;

/** Receives the answer to an administration request. */
export type AdminCallback = (body: unknown, error: EgretError | null) => void;

const TICK_MS = 20;
const MAX_SYNC_MS = 6;
const WALL_START_MS = 1_700_000_000_000;

/** Control reducer with a simulated disk, which loses unsynced writes in a crash. */
export class ControlHost {
  reducer!: ControlReducer;

  alive = false;

  private disk!: Disk;

  /** Incremented at every start and crash, so that pending actions from before are dropped. */
  private currentEpoch = 0;

  /** Time at which the last queued write is durable. */
  private syncedAtMs = 0;

  private readonly adminCallbacks = new Map<string, AdminCallback>();

  private readonly announcementCallbacks = new Map<string, (confirmed: boolean) => void>();

  private nextRequest = 1;

  private diskCount = 0;

  constructor(readonly options: ControlHostOptions) {
    this.replaceDisk();
    this.start();
  }

  /** True while the machine is off: connections to it are neither refused nor reset. */
  powerless = false;

  /** What waits for the end of a pause, in order; undefined while the process runs. */
  private waiting: (() => void)[] | undefined;

  /** Tick that is due after a pause. */
  private dueTick: (() => void) | undefined;

  get paused(): boolean {
    return this.waiting !== undefined;
  }

  /** Stops the process, without an end; what arrives waits. */
  pause(): void {
    this.waiting ??= [];
  }

  /** Ends a pause; what has arrived is read before the timers run, or after. */
  resume(readsFirst: boolean): void {
    const waiting = this.waiting ?? [];
    const { dueTick } = this;
    this.waiting = undefined;
    this.dueTick = undefined;
    if (!readsFirst) dueTick?.();
    waiting.forEach((action) => action());
    if (readsFirst) dueTick?.();
  }

  /** Runs an action at once, or after a pause; never if the process ends before. */
  whenRunning(action: () => void): void {
    const { currentEpoch } = this;
    if (!this.waiting) action();
    else {
      this.waiting.push(() => {
        if (currentEpoch === this.currentEpoch) action();
      });
    }
  }

  /** Number that changes at every start and crash. */
  get epoch(): number {
    return this.currentEpoch;
  }

  /** Replaces the disk by an empty one with a new instance id. */
  replaceDisk(): void {
    this.diskCount += 1;
    this.disk = {
      instanceId: `${this.options.id}#${this.diskCount}`,
      hardState: { term: 0, votedFor: null },
      snapshot: null,
      entries: [],
      backends: { savedAtMs: 0, records: [] },
      departures: [],
    };
  }

  start(): void {
    const { id, voters, tree, snapshotEvery } = this.options;
    const { instanceId, hardState, snapshot, entries } = this.disk;
    this.currentEpoch += 1;
    this.alive = true;
    this.powerless = false;
    this.syncedAtMs = this.options.timeline.nowMs;
    this.reducer = new ControlReducer({
      raft: {
        id,
        instanceId,
        hardState,
        snapshot: snapshot ?? {
          index: 0,
          term: 0,
          membership: { voters, learners: [] },
          bytes: new Uint8Array(),
        },
        entries: [...entries],
      },
      initialSettings: tree,
      snapshotEvery,
      autoMembership: this.options.autoMembership,
      entryHeartbeatTimeoutMs: this.options.entryHeartbeatTimeoutMs,
      availabilityZone: this.options.availabilityZone,
      observer: this.options.observer,
    });
    const { savedAtMs, records } = this.disk.backends;
    const isRecent = isRestorable(savedAtMs, this.options.timeline.nowMs);
    this.handle({
      type: ControlEventType.BackendsRestored,
      records: isRecent ? records : [],
      departures: this.disk.departures,
    });
    this.tick(this.currentEpoch);
  }

  crash(): void {
    this.waiting = undefined;
    this.dueTick = undefined;
    this.alive = false;
    this.currentEpoch += 1;
    this.adminCallbacks.clear();
    this.announcementCallbacks.clear();
  }

  /** Index of the last entry on the disk. */
  get lastDurableIndex(): number {
    return this.disk.entries.at(-1)?.index ?? this.disk.snapshot?.index ?? 0;
  }

  /** Delays every write from now on until a time has passed. */
  stallDisk(stallMs: number): void {
    this.syncedAtMs = Math.max(this.syncedAtMs, this.options.timeline.nowMs + stallMs);
  }

  /** Receives an announcement; `answer` may never be called. */
  announce(record: BackendRecord, answer: (confirmed: boolean) => void): void {
    const requestId = this.expectConfirmation(answer);
    this.handle({ type: ControlEventType.Announce, requestId, record });
  }

  /** Receives the departure of a backend server; `answer` may never be called. */
  announceDeparture(id: string, bornMs: number, answer: (confirmed: boolean) => void): void {
    const requestId = this.expectConfirmation(answer);
    this.handle({ type: ControlEventType.Departure, requestId, id, bornMs });
  }

  private expectConfirmation(answer: (confirmed: boolean) => void): string {
    const requestId = String(this.nextRequest);
    this.nextRequest += 1;
    this.announcementCallbacks.set(requestId, answer);
    return requestId;
  }

  handle(event: Untimed<ControlEvent>): void {
    if (!this.alive) return;
    if (this.waiting) {
      this.whenRunning(() => this.handle(event));
      return;
    }
    const { nowMs } = this.options.timeline;
    const times = { nowMs: nowMs * this.options.clockRate, wallMs: WALL_START_MS + nowMs };
    const effects = this.reducer.reduce({ ...event, ...times } as ControlEvent);
    effects.forEach((effect) => {
      const handler = this.effectHandlers[effect.type] as (received: ControlEffect) => void;
      handler(effect);
    });
  }

  /** Opens links to other hosts, as the control server does. */
  linkTo(others: readonly ControlHost[]): void {
    others.forEach(({ options }) =>
      this.handle({
        type: ControlEventType.ControlLinkOpened,
        memberId: options.id,
        random: this.options.random.next(),
      }),
    );
  }

  /** Sends an administration request; `answer` may never be called. */
  admin(request: AdminRequest, tokenHash: string, answer: AdminCallback): void {
    const requestId = String(this.nextRequest);
    this.nextRequest += 1;
    this.adminCallbacks.set(requestId, answer);
    this.handle({ type: ControlEventType.Admin, requestId, tokenHash, request });
  }

  private tick(epoch: number): void {
    if (epoch !== this.currentEpoch) return;
    if (this.waiting) {
      this.dueTick = () => this.tick(epoch);
      return;
    }
    this.handle({ type: ControlEventType.Tick, random: this.options.random.next() });
    this.options.timeline.after(TICK_MS, () => this.tick(epoch));
  }

  /** Runs an action once every write so far is durable, unless the host crashes first. */
  private afterSync(extraMs: number, action: () => void): void {
    const { timeline } = this.options;
    const { currentEpoch } = this;
    this.syncedAtMs = Math.max(this.syncedAtMs, timeline.nowMs) + extraMs;
    timeline.after(this.syncedAtMs - timeline.nowMs, () => {
      if (currentEpoch === this.currentEpoch) this.whenRunning(action);
    });
  }

  private readonly effectHandlers = {
    [ControlEffectType.Persist]: ({ write }: EffectOf<ControlEffectType.Persist>) =>
      this.afterSync(this.options.random.next() * MAX_SYNC_MS, () => {
        const { disk } = this;
        if (write.hardState) disk.hardState = write.hardState;
        if (write.truncateFrom > 0) {
          disk.entries = disk.entries.filter((entry) => entry.index < write.truncateFrom);
        }
        disk.entries.push(...write.entries);
        const last = write.entries.at(-1);
        const { generation } = write;
        if (last) this.handle({ type: ControlEventType.Persisted, index: last.index, generation });
      }),
    [ControlEffectType.SaveSnapshot]: (effect: EffectOf<ControlEffectType.SaveSnapshot>) =>
      this.afterSync(MAX_SYNC_MS, () => {
        const { snapshot, received } = effect;
        const { disk } = this;
        const base = disk.entries.find((entry) => entry.index === snapshot.index);
        const keepTail = base?.term === snapshot.term || !received;
        disk.snapshot = snapshot;
        disk.entries = keepTail ? disk.entries.filter((entry) => entry.index > snapshot.index) : [];
        this.handle({ type: ControlEventType.SnapshotSaved, snapshot, received });
      }),
    [ControlEffectType.SendRaft]: (effect: EffectOf<ControlEffectType.SendRaft>) => {
      if (effect.early) this.options.sendRaft(effect.to, effect.message);
      else this.afterSync(0, () => this.options.sendRaft(effect.to, effect.message));
    },
    [ControlEffectType.SendSession]: (effect: EffectOf<ControlEffectType.SendSession>) =>
      this.options.sendSession(effect.sessionId, effect.message),
    [ControlEffectType.Broadcast]: ({
      sessionIds,
      message,
    }: EffectOf<ControlEffectType.Broadcast>) =>
      sessionIds.forEach((sessionId) => this.options.sendSession(sessionId, message)),
    [ControlEffectType.AnswerAdmin]: (effect: EffectOf<ControlEffectType.AnswerAdmin>) => {
      this.adminCallbacks.get(effect.requestId)?.(effect.body, effect.error);
      this.adminCallbacks.delete(effect.requestId);
    },
    [ControlEffectType.SendControl]: (effect: EffectOf<ControlEffectType.SendControl>) =>
      this.options.sendControl?.(effect.to, effect.message),
    [ControlEffectType.AnswerAnnouncement]: (
      effect: EffectOf<ControlEffectType.AnswerAnnouncement>,
    ) => {
      this.announcementCallbacks.get(effect.requestId)?.(effect.confirmed);
      this.announcementCallbacks.delete(effect.requestId);
    },
    [ControlEffectType.SaveBackends]: (effect: EffectOf<ControlEffectType.SaveBackends>) =>
      this.afterSync(0, () => {
        const { nowMs } = this.options.timeline;
        this.disk.backends = { savedAtMs: nowMs, records: effect.records };
      }),
    [ControlEffectType.SaveDepartures]: (effect: EffectOf<ControlEffectType.SaveDepartures>) =>
      this.afterSync(this.options.random.next() * MAX_SYNC_MS, () => {
        this.disk.departures = effect.records;
        this.handle({ type: ControlEventType.DeparturesSaved, saveId: effect.saveId });
      }),
    [ControlEffectType.RoleChanged]: (effect: EffectOf<ControlEffectType.RoleChanged>) => {
      if (effect.role === RaftRole.Leader) this.options.onElected?.(effect.term);
    },
    [ControlEffectType.Log]: ({ event, fields }: EffectOf<ControlEffectType.Log>) =>
      this.options.log?.(event, fields),
  };
}
