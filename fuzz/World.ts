import { v7 as uuidV7 } from 'uuid';
import { ZoneState } from '../src/common/Enums.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import type { SettingsTree } from '../src/common/SettingsSchema.js';
import { AuditOutcome, type ChangeResult } from '../src/control/ReplicatedState.js';
import { AdminRequestType, ControlEventType } from '../src/control/Types.js';
import { EntryEventType } from '../src/entry/Types.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { ADMIN_TOKEN, buildTree, serviceToken } from '../standin/Deployments.js';
import { BackendHost } from './BackendHost.js';
import { ControlHost } from './ControlHost.js';
import { EntryHostModel, type ModelResult } from './EntryHostModel.js';
import { Network, type NetworkOptions } from './Network.js';
import { Oracle } from './Oracle.js';
import { Timeline } from './Timeline.js';

/** Options of a {@link World}. */
export interface WorldOptions {
  readonly seed: number;
  readonly controlHosts?: number;
  readonly entryHosts?: number;
  readonly backends?: number;
  readonly slots?: number;
  readonly coldRequests?: number;
  readonly network?: Partial<NetworkOptions>;
  readonly snapshotEvery?: number;
  readonly endsTruncatedCleanly?: boolean;
}

export const ZONES = ['north', 'south'] as const;
export const SERVICE = 'orders';
const TEAM = 'team';
const WALL_START_MS = 1_700_000_000_000;
const SYSTEM = {
  leaseMs: 1_000,
  announcementIntervalMs: 250,
  configLeaseMs: 1_500,
  configPingIntervalMs: 250,
};
const DEFAULT_NETWORK: NetworkOptions = {
  minDelayMs: 0.2,
  maxDelayMs: 8,
  dropRatio: 0.01,
  duplicateRatio: 0.01,
};
/** Largest relative deviation of the speed of a clock. */
const CLOCK_SPREAD = 0.004;
/** Time within which entry hosts must apply an acknowledged change, or admit no calls. */
const ACTIVATION_GRACE_MS = 4_000;
const RECONNECT_MS = 300;
const MEASURING_PER_SECOND = 6;

/** Announcements above the budget that the start and the lease moves of an incarnation may need. */
const MEASURING_BURST = 12;
/** Time after which an operator ignores the answer to a change. */
const CHANGE_TIMEOUT_MS = 2_000;

/** Several hosts of every kind, built on the real reducers, in virtual time. */
export class World {
  readonly timeline = new Timeline();

  readonly oracle = new Oracle();

  readonly random: RandomSource;

  readonly network: Network;

  readonly controls: ControlHost[];

  readonly entries: EntryHostModel[];

  readonly backends: BackendHost[];

  /** Entry hosts that announcements do not reach. */
  readonly announcementsBlockedAt = new Set<string>();

  /** Results of calls, newest last. */
  readonly results: ModelResult[] = [];

  /** Acknowledged changes. */
  readonly acknowledged: { readonly revision: number; readonly atMs: number }[] = [];

  /** Unanswered calls with the boot of their entry host. */
  private readonly pendingCalls = new Map<string, string>();

  private nextCall = 1;

  private readonly tree: SettingsTree;

  constructor(private readonly options: WorldOptions) {
    this.random = createRandom(options.seed);
    this.network = new Network(this.timeline, this.random, {
      ...DEFAULT_NETWORK,
      ...options.network,
    });
    this.tree = this.buildTree();
    const controlIds = Array.from(
      { length: options.controlHosts ?? 3 },
      (unused, index) => `control-${index}`,
    );
    const voters = controlIds.map((id) => ({ id, address: id, port: 1 }));
    this.controls = controlIds.map(
      (id) =>
        new ControlHost({
          id,
          voters,
          timeline: this.timeline,
          random: this.random,
          tree: this.tree,
          clockRate: this.drawClockRate(),
          snapshotEvery: options.snapshotEvery ?? 40,
          sendRaft: (to, message) =>
            this.network.send(id, to, () =>
              this.control(to)?.handle({ type: ControlEventType.RaftMessage, message }),
            ),
          sendSession: (sessionId, message) => {
            const entry = this.entries[sessionId];
            if (!entry) return;
            this.network.send(id, entry.options.id, () =>
              entry.handle({ type: EntryEventType.ControlMessage, controlHostId: id, message }),
            );
          },
        }),
    );
    this.entries = [];
    this.addEntries(controlIds);
    this.backends = this.createBackends();
    this.reconnect();
  }

  /** Advances virtual time. */
  run(spanMs: number): void {
    this.timeline.advance(spanMs);
  }

  /** Runs until the initial settings and leases are in place. */
  settle(): void {
    this.run(6_000);
  }

  /** Ends all partitions and lets announcements reach every entry host again. */
  heal(): void {
    this.network.heal();
    this.announcementsBlockedAt.clear();
  }

  /** Sends a call through an entry host. */
  call(entryIndex: number, options: { key?: string; crashesBackend?: boolean } = {}): string {
    const requestId = `request-${this.nextCall}`;
    this.nextCall += 1;
    const entry = this.entries[entryIndex % this.entries.length]!;
    const key = options.key ?? null;
    this.network.exchange(() => {
      if (!entry.alive) return;
      this.pendingCalls.set(requestId, entry.bootName);
      entry.receive({
        requestId,
        key,
        crashesBackend: options.crashesBackend ?? false,
        method: key === null ? 'GET' : 'POST',
        service: SERVICE,
        callerId: `caller-${pickIndex(this.random, 3)}`,
        forwarded: false,
        timeoutMs: null,
        onResult: (result) => {
          this.results.push(result);
          this.pendingCalls.delete(requestId);
          this.oracle.onAnswered({ requestId, key, ...result });
        },
      });
    });
    return requestId;
  }

  /** Creates an idempotency key with the current time. */
  createKey(): string {
    const random = Uint8Array.from({ length: 16 }, () => pickIndex(this.random, 256));
    return uuidV7({ msecs: WALL_START_MS + Math.floor(this.timeline.nowMs), random });
  }

  /** Changes the state of an availability zone through one control host, as an operator does. */
  changeZone(controlIndex: number, zone: string, state: ZoneState, changeId: string): void {
    const control = this.controls[controlIndex % this.controls.length]!;
    if (state === ZoneState.In) this.oracle.onZoneOpening(zone);
    const sentAtMs = this.timeline.nowMs;
    const path = `/teams/${TEAM}/availabilityZones/${zone}/state`;
    const request = {
      type: AdminRequestType.Change,
      changeId,
      baseRevision: control.reducer.replicatedState.subtreeRevision(TEAM),
      path,
      value: state,
    } as const;
    control.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      const result = body as ChangeResult | null;
      const late = this.timeline.nowMs - sentAtMs > CHANGE_TIMEOUT_MS;
      if (error || late || result?.outcome !== AuditOutcome.Accepted) return;
      this.oracle.onAcknowledged(result.revision);
      this.acknowledged.push({ revision: result.revision, atMs: this.timeline.nowMs });
      this.recordZoneChange(zone, state);
    });
  }

  /** Checks the invariants that must hold once all faults have ended. */
  checkHealed(): void {
    const leader = this.controls.find((control) => control.alive && control.reducer.raft.isLeader);
    if (leader) this.oracle.onReplicated(leader.reducer.replicatedState.revision);
    this.backends
      .filter((backend) => backend.alive)
      .forEach((backend) => {
        const allowed = backend.upForSeconds * MEASURING_PER_SECOND + MEASURING_BURST;
        this.oracle.onAnnouncements(backend.backendId, backend.answeredAnnouncements, allowed);
      });
    const boots = this.entries.map((entry) => entry.bootName);
    const unanswered = [...this.pendingCalls].filter(([, boot]) => boots.includes(boot));
    this.oracle.onUnanswered(unanswered.map(([requestId]) => requestId));
  }

  control(id: string): ControlHost | undefined {
    return this.controls.find((control) => control.options.id === id);
  }

  entry(id: string): EntryHostModel | undefined {
    return this.entries.find((entry) => entry.options.id === id);
  }

  /** Reopens sessions that a lost message or a restart ended, as real links do. */
  private reconnect(): void {
    this.controls.forEach((control) => {
      this.entries.forEach((entry, sessionId) => {
        const running = control.alive && entry.alive;
        const controlHostId = control.options.id;
        if (!running || !this.network.isConnected(controlHostId, entry.options.id)) return;
        if (control.reducer.sessions.has(sessionId)) return;
        entry.handle({ type: EntryEventType.ControlClosed, controlHostId });
        entry.handle({ type: EntryEventType.ControlConnected, controlHostId });
      });
    });
    this.timeline.after(RECONNECT_MS, () => this.reconnect());
  }

  /** Starts the check of a closed zone, unless no control host has it closed any more. */
  private recordZoneChange(zone: string, state: ZoneState): void {
    const zoneStates = this.controls.map(
      (control) => control.reducer.replicatedState.tree.teams[TEAM]?.availabilityZones[zone]?.state,
    );
    const closed = state === ZoneState.Out && zoneStates.includes(ZoneState.Out);
    this.oracle.onZoneAccepted(zone, closed, this.timeline.nowMs);
  }

  private drawClockRate(): number {
    return 1 + (this.random.next() - 0.5) * 2 * CLOCK_SPREAD;
  }

  private buildTree(): SettingsTree {
    const deployment = {
      team: TEAM,
      availabilityZones: ZONES,
      slots: this.options.slots ?? 3,
      services: [{ service: SERVICE, backends: 1 }],
    };
    return buildTree([deployment], SYSTEM, {
      leaseholders: 2,
      timeoutMs: 1_000,
      measuringPerSecond: MEASURING_PER_SECOND,
    });
  }

  /** Revision that every entry host that admits calls must have applied by now. */
  private requiredRevision(): number {
    const beforeMs = this.timeline.nowMs - ACTIVATION_GRACE_MS;
    return this.acknowledged
      .filter((item) => item.atMs < beforeMs)
      .reduce((highest, item) => Math.max(highest, item.revision), 0);
  }

  private addEntries(controlIds: readonly string[]): void {
    for (let index = 0; index < (this.options.entryHosts ?? 3); index += 1) {
      const id = `entry-${index}`;
      this.entries.push(
        new EntryHostModel({
          id,
          controlIds,
          zone: ZONES[index % ZONES.length]!,
          timeline: this.timeline,
          random: this.random,
          network: this.network,
          clockRate: this.drawClockRate(),
          findBackend: (backendId) => this.backends.find((item) => item.backendId === backendId),
          findEntry: (entryId) => this.entry(entryId),
          sendControl: (controlId, message) =>
            this.network.send(id, controlId, () =>
              this.control(controlId)?.handle({
                type: ControlEventType.SessionMessage,
                sessionId: index,
                message,
              }),
            ),
          sendPeer: (peerId, message) =>
            this.network.send(id, peerId, () =>
              this.entry(peerId)?.handle({
                type: EntryEventType.PeerMessage,
                from: id,
                message,
              }),
            ),
          onAdmitted: (boot, revision) =>
            this.oracle.onAdmitted(boot, revision, this.requiredRevision()),
          onApplied: (boot, revision) => this.oracle.onApplied(boot, revision),
          endsTruncatedCleanly: this.options.endsTruncatedCleanly ?? false,
        }),
      );
    }
  }

  private createBackends(): BackendHost[] {
    const tokenHash = hashToken(serviceToken(SERVICE));
    return Array.from(
      { length: this.options.backends ?? 4 },
      (unused, index) =>
        new BackendHost({
          id: `backend-${index}`,
          port: index + 1,
          service: SERVICE,
          zone: ZONES[index % ZONES.length]!,
          slots: this.options.slots ?? 3,
          timeline: this.timeline,
          random: this.random,
          oracle: this.oracle,
          coldRequests: this.options.coldRequests ?? 3,
          entryIds: this.entries.map((entry) => entry.options.id),
          onCrash: () =>
            this.entries.forEach((entry) =>
              this.network.exchange(() =>
                entry.handle({
                  type: EntryEventType.TargetClosed,
                  targetId: `backend:${index + 1}`,
                }),
              ),
            ),
          announce: (entryId, announcement, onAnswer) =>
            this.network.exchange(() => {
              const entry = this.entry(entryId);
              if (!entry?.alive || this.announcementsBlockedAt.has(entryId)) {
                this.network.exchange(() => onAnswer(null));
                return;
              }
              entry.announce(announcement, tokenHash, (answer) =>
                this.network.exchange(() => onAnswer(answer)),
              );
            }),
        }),
    );
  }
}
