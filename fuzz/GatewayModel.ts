import { ENTRY_HEARTBEAT_INTERVAL_MS } from '../src/common/Constants.js';
import type { EntryHost } from '../src/common/Placement.js';
import { createRandom } from '../src/common/Random.js';
import {
  ControlMessageType,
  EntryHostUpdates,
  type ControlToEntryMessage,
  type EntryToControlMessage,
} from '../src/common/Messages.js';
import { BackendPool, PROVISIONAL_TTL_MS } from '../src/gateway/BackendPool.js';
import { ActiveRouting } from '../src/gateway/ActiveRouting.js';
import { BackendSources } from '../src/gateway/BackendSources.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import { EntryHostView } from '../src/gateway/EntryDirectory.js';
import { createEntryHost } from '../src/gateway/fixtures.js';
import { RequestLimiter } from '../src/gateway/RequestLimiter.js';
import type { LimitReading } from '../src/gateway/Types.js';
import type { Timeline } from './Timeline.js';

/** Options of a {@link GatewayModel}. */
export interface GatewayModelOptions {
  readonly id: string;
  readonly timeline: Timeline;
  /** Sends messages that arrive in this order, as on one connection. */
  readonly send: (control: string, ...messages: readonly EntryToControlMessage[]) => void;
}

/** Gateway without sockets and calls: its state, and its messages to control hosts. */
export class GatewayModel {
  pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(1) });

  routing = new ActiveRouting(createRandom(1));

  limits: RequestLimiter;

  private entryHosts = new EntryHostView();

  private sources = new BackendSources();

  alive = true;

  /** True while it reaches no backend server. */
  cutOff = false;

  /** Time of the last start. */
  startedAtMs = 0;

  /** Incremented at every crash. */
  epoch = 0;

  /** Control hosts with an open link. */
  readonly links = new Set<string>();

  constructor(private readonly options: GatewayModelOptions) {
    this.limits = this.createLimiter();
    this.tick(this.epoch);
  }

  get id(): string {
    return this.options.id;
  }

  crash(): void {
    this.alive = false;
    this.epoch += 1;
    this.links.clear();
  }

  start(): void {
    this.pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(1) });
    this.routing = new ActiveRouting(createRandom(1));
    this.limits = this.createLimiter();
    this.entryHosts = new EntryHostView();
    this.sources = new BackendSources();
    this.alive = true;
    this.cutOff = false;
    this.startedAtMs = this.options.timeline.nowMs;
    this.tick(this.epoch);
  }

  /** Sends the first messages on a new link to a control host. */
  onLinkOpened(control: string): void {
    this.links.add(control);
    const { id, send } = this.options;
    const entryHost = { ...createEntryHost(id), cutOff: this.cutOff };
    send(
      control,
      {
        type: ControlMessageType.Hello,
        entryHost,
        entryHostUpdates: EntryHostUpdates.None,
      },
      this.createPing(),
      {
        type: ControlMessageType.Watch,
        routingIndex: this.routing.logIndex,
        departures: this.pool.departures(),
        entryHostUpdates: EntryHostUpdates.Changes,
      },
    );
  }

  receive(message: ControlToEntryMessage, control: string): void {
    const { nowMs } = this.options.timeline;
    if (message.type === ControlMessageType.Routing) {
      if (!this.routing.apply(message.view)) return;
      this.pool.setClosedZones(message.view.closedZones);
      this.sendPings();
      return;
    }
    if (message.type === ControlMessageType.EntryHosts) {
      this.entryHosts.update(control, message.entryHosts);
      this.limits.setEntryHosts(this.entryHosts.hosts());
      return;
    }
    if (message.type === ControlMessageType.EntryHostChanges) {
      this.entryHosts.applyChanges(control, message.entryHosts, message.removedIds);
      this.limits.setEntryHosts(this.entryHosts.hosts());
      return;
    }
    if (message.type === ControlMessageType.LimitReport) {
      this.limits.noteReport(message, nowMs);
      return;
    }
    if (message.type !== ControlMessageType.Backends) return;
    if (message.provisional) {
      this.applyProvisional(message.records);
      return;
    }
    const { pool, sources } = this;
    pool.apply(message.records, nowMs);
    pool.expire(sources.note(control, message, () => pool.announcedIds()));
    const { batchId } = message;
    if (batchId > 0) {
      this.options.send(control, { type: ControlMessageType.BackendsAck, batchId });
    }
  }

  /** Closes the link to a control host. */
  onLinkClosed(control: string): void {
    this.links.delete(control);
    this.entryHosts.remove(control);
    this.sources.remove(control);
  }

  /** Gateways as the control hosts list them. */
  get knownHosts(): EntryHost[] {
    return this.entryHosts.hosts();
  }

  /** Sends a request to a backend server if its limit allows it; returns true if it was sent. */
  trySend(view: BackendView): boolean {
    const { nowMs } = this.options.timeline;
    if (!this.limits.maySend(view, nowMs)) return false;
    this.limits.noteSent(view, nowMs);
    return true;
  }

  noteLimit(view: BackendView, reading: LimitReading, sentAtMs: number): void {
    this.limits.noteReading(view, reading, sentAtMs, this.options.timeline.nowMs);
  }

  private createLimiter(): RequestLimiter {
    const { id, send } = this.options;
    return new RequestLimiter({
      selfId: id,
      broadcast: (report) => {
        const [control] = this.links;
        if (control) send(control, { type: ControlMessageType.LimitReport, ...report });
      },
      isKnown: () => true,
      log: () => {},
    });
  }

  private applyProvisional(records: Parameters<BackendPool['applyProvisional']>[0]): void {
    const { timeline } = this.options;
    const { epoch } = this;
    if (this.pool.applyProvisional(records, timeline.nowMs) === 0) return;
    timeline.after(PROVISIONAL_TTL_MS, () => {
      if (epoch === this.epoch) this.pool.dropProvisional();
    });
  }

  private createPing(): EntryToControlMessage {
    return {
      type: ControlMessageType.Ping,
      pingId: 1,
      appliedIndex: this.routing.logIndex,
      subscribe: false,
      stopping: false,
      cutOff: this.cutOff,
    };
  }

  private sendPings(): void {
    this.links.forEach((control) => this.options.send(control, this.createPing()));
  }

  private tick(epoch: number): void {
    if (epoch !== this.epoch || !this.alive) return;
    this.sendPings();
    this.options.timeline.after(ENTRY_HEARTBEAT_INTERVAL_MS, () => this.tick(epoch));
  }
}
