import {
  ControlMessageType,
  type ControlToEntryMessage,
  type CrashReportMessage,
  type LimitReportMessage,
  type PackedRoutingMessage,
  type PongMessage,
} from '../../common/Messages.js';
import type { BackendRecord } from '../../common/backends/Types.js';
import { ENTRY_HEARTBEAT_INTERVAL_MS } from '../../common/Constants.js';
import type { Disposable } from '../../common/Disposable.js';
import type { EntryHost } from '../../common/Placement.js';
import { CONTROL_FIELDS } from '../../control/server/MessageFields.js';
import { unpackRouting } from '../../control/server/RoutingPacker.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import type { Logger } from '../../runtime/Logger.js';
import { FAST_LINK_TIMING, MessageClient } from '../../runtime/MessageClient.js';

/** Address of a control host, with its port for internal connections. */
export interface ControlAddress {
  readonly address: string;
  readonly port: number;
}

/** Options of a {@link ControlWatch}. */
export interface ControlWatchOptions {
  readonly self: () => EntryHost;
  readonly secret: string;
  readonly logger: Logger;
  /** Initial control hosts; read again whenever no control host can be reached. */
  readonly seeds: () => readonly ControlAddress[];
  /** False to keep to the seeds and ignore the members that control hosts report. */
  readonly followMembership?: boolean;
  readonly routingIndex: () => number;
  /** Departing and departed backend servers, sent on every new link. */
  readonly departures: () => readonly BackendRecord[];
  readonly onMessage: (message: ControlToEntryMessage, control: string) => void;
  readonly onLost: (control: string) => void;
}

/** Time without an open link after which the seeds are tried again. */
const SEEDS_AFTER_MS = 1_500;

function keyOf(target: ControlAddress): string {
  return `${target.address}:${target.port}`;
}

/** Links of one entry host to all control hosts, for heartbeats, routing and backend servers. */
export class ControlWatch implements Disposable {
  private readonly clients = new Map<string, MessageClient>();

  private membershipIndex = -1;

  private pingId = 0;

  private linkedAtMs = performance.now();

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ControlWatchOptions) {
    this.sync(options.seeds());
    this.timer = setInterval(() => this.tick(), ENTRY_HEARTBEAT_INTERVAL_MS);
  }

  /** Number of open links. */
  get openLinks(): number {
    return [...this.clients.values()].filter((client) => client.isOpen).length;
  }

  /** Sends a heartbeat at once, for example when the host begins to stop. */
  ping(): void {
    this.pingId += 1;
    this.clients.forEach((client) => this.sendPing(client));
  }

  /** Sends a report to the other entry hosts through one control host. */
  report(message: CrashReportMessage | LimitReportMessage): void {
    const linked = [...this.clients.values()].find((client) => client.isOpen);
    linked?.send(message);
  }

  dispose(): void {
    clearInterval(this.timer);
    this.clients.forEach((client) => client.dispose());
    this.clients.clear();
  }

  private tick(): void {
    const nowMs = performance.now();
    if (this.openLinks > 0) this.linkedAtMs = nowMs;
    else if (nowMs - this.linkedAtMs > SEEDS_AFTER_MS) {
      this.linkedAtMs = nowMs;
      this.options.seeds().forEach((seed) => this.open(seed));
    }
    this.ping();
  }

  private sendPing(client: MessageClient): void {
    client.send({
      type: ControlMessageType.Ping,
      pingId: this.pingId,
      appliedIndex: this.options.routingIndex(),
      subscribe: false,
      stopping: this.options.self().stopping,
      cutOff: this.options.self().cutOff ?? false,
      membershipIndex: this.membershipIndex,
    });
  }

  private sync(targets: readonly ControlAddress[]): void {
    const targetKeys = new Set(targets.map(keyOf));
    targets.forEach((target) => this.open(target));
    this.clients.forEach((client, key) => {
      if (targetKeys.has(key)) return;
      client.dispose();
      this.clients.delete(key);
      this.options.onLost(key);
    });
  }

  private open(target: ControlAddress): void {
    const key = keyOf(target);
    if (this.clients.has(key)) return;
    const { logger, secret, self } = this.options;
    const client: MessageClient = new MessageClient({
      ...target,
      id: self().id,
      role: LinkRole.Entry,
      secret,
      logger,
      fields: CONTROL_FIELDS,
      timing: FAST_LINK_TIMING,
      onOpen: () => {
        logger.info('control_regained', { control: key });
        client.send({ type: ControlMessageType.Hello, entryHost: self() });
        this.sendPing(client);
        const routingIndex = this.options.routingIndex();
        const departures = this.options.departures();
        client.send({
          type: ControlMessageType.Watch,
          routingIndex,
          departures,
          acceptsPacked: true,
        });
      },
      onMessage: (message) => this.receive(client, key, message as ControlToEntryMessage),
      onClose: () => {
        logger.warn('control_lost', { control: key });
        this.options.onLost(key);
      },
    });
    this.clients.set(key, client);
  }

  private receive(client: MessageClient, key: string, message: ControlToEntryMessage): void {
    if (message.type === ControlMessageType.Pong) {
      this.onPong(message);
      return;
    }
    if (message.type === ControlMessageType.PackedRouting) {
      this.onPackedRouting(message, key);
      return;
    }
    this.options.onMessage(message, key);
    if (message.type === ControlMessageType.Backends && message.batchId > 0) {
      client.send({ type: ControlMessageType.BackendsAck, batchId: message.batchId });
    }
  }

  private onPackedRouting(message: PackedRoutingMessage, key: string): void {
    // Every control host sends each version.
    if (message.index <= this.options.routingIndex()) return;
    const view = unpackRouting(message);
    if (view.isOk) {
      this.options.onMessage({ type: ControlMessageType.Routing, view: view.value }, key);
      return;
    }
    const { detail } = view.error;
    this.options.logger.warn('message_refused', { from: key, detail });
  }

  private onPong(pong: PongMessage): void {
    if (this.options.followMembership === false) return;
    if (pong.membershipIndex <= this.membershipIndex || pong.voters.length === 0) return;
    this.membershipIndex = pong.membershipIndex;
    this.sync(pong.voters);
    this.options.logger.info('control_members', {
      index: pong.membershipIndex,
      voters: pong.voters.map(keyOf).join(','),
    });
  }
}
