import { ENTRY_HEARTBEAT_INTERVAL_MS } from '../src/common/Constants.js';
import { createRandom } from '../src/common/Random.js';
import {
  ControlMessageType,
  type ControlToEntryMessage,
  type EntryToControlMessage,
} from '../src/common/Messages.js';
import { BackendPool, PROVISIONAL_TTL_MS } from '../src/gateway/BackendPool.js';
import { createEntryHost } from '../src/gateway/fixtures.js';
import { ActiveRouting } from '../src/gateway/ActiveRouting.js';
import type { Timeline } from './Timeline.js';

/** Options of a {@link GatewayModel}. */
export interface GatewayModelOptions {
  readonly id: string;
  readonly timeline: Timeline;
  readonly send: (control: string, message: EntryToControlMessage) => void;
}

/** Gateway without sockets and calls: its state, and its messages to control hosts. */
export class GatewayModel {
  pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(1) });

  routing = new ActiveRouting(createRandom(1));

  alive = true;

  /** Time of the last start. */
  startedAtMs = 0;

  /** Incremented at every crash. */
  epoch = 0;

  /** Control hosts with an open link. */
  readonly links = new Set<string>();

  constructor(private readonly options: GatewayModelOptions) {
    this.tick(this.epoch);
  }

  crash(): void {
    this.alive = false;
    this.epoch += 1;
    this.links.clear();
  }

  start(): void {
    this.pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(1) });
    this.routing = new ActiveRouting(createRandom(1));
    this.alive = true;
    this.startedAtMs = this.options.timeline.nowMs;
    this.tick(this.epoch);
  }

  /** Sends the first messages on a new link to a control host. */
  onLinkOpened(control: string): void {
    this.links.add(control);
    const { id, send } = this.options;
    send(control, { type: ControlMessageType.Hello, entryHost: createEntryHost(id) });
    this.ping(control);
    send(control, {
      type: ControlMessageType.Watch,
      routingIndex: this.routing.logIndex,
      departures: this.pool.departures(),
    });
  }

  receive(message: ControlToEntryMessage, control: string): void {
    const { nowMs } = this.options.timeline;
    if (message.type === ControlMessageType.Routing) {
      if (this.routing.apply(message.view)) this.pool.setClosedZones(message.view.closedZones);
      return;
    }
    if (message.type !== ControlMessageType.Backends) return;
    if (message.provisional) {
      this.applyProvisional(message.records);
      return;
    }
    this.pool.apply(message.records, nowMs);
    this.pool.expire(message.expiredIds);
    const { batchId } = message;
    if (batchId > 0) {
      this.options.send(control, { type: ControlMessageType.BackendsAck, batchId });
    }
  }

  private applyProvisional(records: Parameters<BackendPool['applyProvisional']>[0]): void {
    const { timeline } = this.options;
    const { epoch } = this;
    if (this.pool.applyProvisional(records, timeline.nowMs) === 0) return;
    timeline.after(PROVISIONAL_TTL_MS, () => {
      if (epoch === this.epoch) this.pool.dropProvisional();
    });
  }

  private ping(control: string): void {
    this.options.send(control, {
      type: ControlMessageType.Ping,
      pingId: 1,
      appliedIndex: this.routing.logIndex,
      subscribe: false,
      stopping: false,
    });
  }

  private tick(epoch: number): void {
    if (epoch !== this.epoch || !this.alive) return;
    this.links.forEach((control) => this.ping(control));
    this.options.timeline.after(ENTRY_HEARTBEAT_INTERVAL_MS, () => this.tick(epoch));
  }
}
