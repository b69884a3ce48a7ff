import {
  ControlMessageType,
  EntryHostUpdates,
  type CompressedMessage,
  type ControlToEntryMessage,
  type CrashReportMessage,
  type LimitReportMessage,
  type PackedRoutingMessage,
  type PongMessage,
  type UsageReportMessage,
  type RolloutEvidenceMessage,
} from '../../common/Messages.js';
import { ENTRY_HEARTBEAT_INTERVAL_MS } from '../../common/Constants.js';
import type { Disposable } from '../../common/Disposable.js';
import { decompressMessage } from '../../control/server/MessageCompressor.js';
import { CONTROL_FIELDS } from '../../control/server/MessageFields.js';
import { unpackRouting } from '../../control/server/RoutingPacker.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import { checkMessage } from '../../runtime/MessageCheck.js';
import { FAST_LINK_TIMING, MessageClient } from '../../runtime/MessageClient.js';
import { chooseWatchTargets, isUsable, WATCH_TARGETS, type WatchLink } from '../WatchTargets.js';
import type { ControlAddress, ControlClient, ControlWatchOptions } from './ControlWatchTypes.js';

/** State of the link to one control host. */
interface ControlLink {
  readonly client: ControlClient;
  availabilityZone: string | undefined;
  /** Time at which the open link was subscribed; undefined while it is not. */
  watchedAtMs: number | undefined;
  /** Time since which the host answers that its routing is not current; undefined while it is. */
  staleSinceMs: number | undefined;
}

function startInterval(intervalMs: number, fire: () => void): () => void {
  const timer = setInterval(fire, intervalMs);
  return () => clearInterval(timer);
}

/** Index of no membership. */
const UNKNOWN_INDEX = -1;

/** Silence after which a control host counts as unresponsive; it answers every 400 ms. */
const UNRESPONSIVE_AFTER_MS = 900;

/**
 * Time after which a control host that says that it is not current lacks contact with a majority: two
 * answers. A regular change of leader takes less.
 */
const STALE_AFTER_MS = 800;

/** Time after which a new subscription has delivered its lists, and older ones may end. */
const SETTLED_AFTER_MS = 2_000;

/** Time without a usable link after which the seeds are tried again. */
const SEEDS_AFTER_MS = 1_500;

function keyOf(target: ControlAddress): string {
  return `${target.address}:${target.port}`;
}

/** Protocol version of control hosts that share their lists of entry hosts with each other. */
const SHARING_PROTOCOL = 2;

/** Protocol version of control hosts that sum up the usage of customers. */
const USAGE_PROTOCOL = 3;

/**
 * Links of one entry host to control hosts, for heartbeats, lists of hosts, routing and backend
 * servers. It links to all voters to choose among them, and then keeps the chosen ones only, unless
 * a control host has a version that does not share the heartbeats with the others.
 */
export class ControlWatch implements Disposable {
  private readonly links = new Map<string, ControlLink>();

  private membershipIndex = UNKNOWN_INDEX;

  /** All control hosts that may be linked to. */
  private known: readonly ControlAddress[] = [];

  private pingId = 0;

  private readonly nowMs: () => number;

  private linkedAtMs: number;

  private readonly endInterval: () => void;

  constructor(private readonly options: ControlWatchOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.linkedAtMs = this.nowMs();
    this.sync(options.seeds());
    const start = options.setInterval ?? startInterval;
    this.endInterval = start(ENTRY_HEARTBEAT_INTERVAL_MS, () => this.tick());
  }

  /** Number of open links. */
  get openLinks(): number {
    return [...this.links.values()].filter(({ client }) => client.isOpen).length;
  }

  /** Number of control hosts that are watched. */
  get watchedLinks(): number {
    return [...this.links.values()].filter((link) => link.watchedAtMs !== undefined).length;
  }

  /** Sends a heartbeat at once, for example when the host begins to stop. */
  ping(): void {
    this.pingId += 1;
    this.options.onPing?.(this.pingId);
    this.links.forEach(({ client }) => this.sendPing(client));
  }

  /** Sends a report to the other entry hosts, through one control host if it informs the others. */
  report(message: CrashReportMessage | LimitReportMessage | RolloutEvidenceMessage): void {
    const open = [...this.links.values()].filter(({ client }) => client.isOpen);
    const sharing = open.find(({ client }) => client.serverProtocol >= SHARING_PROTOCOL);
    const targets = sharing && this.allShare ? [sharing] : open;
    targets.forEach(({ client }) => client.send(message));
  }

  /** Link that usage is reported on; another one after it was lost or has become silent. */
  private usageLink: ControlLink | undefined;

  /**
   * Sends a usage report to one watched control host.
   *
   * @param takeReport - creates the report; its argument is true for the first report on the link
   */
  reportUsage(takeReport: (isFirst: boolean) => UsageReportMessage | undefined): void {
    const nowMs = this.nowMs();
    const usable = [...this.links.values()].filter(
      ({ client, watchedAtMs }) =>
        client.isOpen &&
        watchedAtMs !== undefined &&
        client.serverProtocol >= USAGE_PROTOCOL &&
        nowMs - client.lastReceivedAtMs < UNRESPONSIVE_AFTER_MS,
    );
    const isKept = this.usageLink !== undefined && usable.includes(this.usageLink);
    const link = isKept ? this.usageLink : usable[0];
    this.usageLink = link;
    const report = link && takeReport(!isKept);
    if (report) link.client.send(report);
  }

  dispose(): void {
    this.endInterval();
    this.links.forEach(({ client }) => client.dispose());
    this.links.clear();
  }

  private tick(): void {
    const nowMs = this.nowMs();
    if (this.openWatchLinks().some(isUsable)) this.linkedAtMs = nowMs;
    else if (nowMs - this.linkedAtMs > SEEDS_AFTER_MS) {
      this.linkedAtMs = nowMs;
      this.options.seeds().forEach((seed) => this.open(seed));
    }
    this.ping();
    this.syncWatches();
  }

  /** Open links, as far as the choice among them depends on it. */
  private openWatchLinks(): WatchLink[] {
    const nowMs = this.nowMs();
    return [...this.links]
      .filter(([, { client }]) => client.isOpen)
      .map(([key, { client, availabilityZone, staleSinceMs = nowMs }]) => ({
        key,
        availabilityZone,
        isResponsive: nowMs - client.lastReceivedAtMs < UNRESPONSIVE_AFTER_MS,
        isCurrent: nowMs - staleSinceMs < STALE_AFTER_MS,
      }));
  }

  /** Watches the chosen control hosts, and ends other subscriptions once the chosen ones deliver. */
  private syncWatches(): void {
    const nowMs = this.nowMs();
    const open = [...this.links].filter(([, { client }]) => client.isOpen);
    const { id, availabilityZone } = this.options.self();
    const links = this.openWatchLinks();
    const targets = new Set(chooseWatchTargets({ selfId: id, availabilityZone, links }));
    const areUsable = links.every((link) => isUsable(link) || !targets.has(link.key));
    const isSettled = [...targets].every((key) => {
      const watchedAtMs = this.links.get(key)?.watchedAtMs ?? Number.POSITIVE_INFINITY;
      return nowMs - watchedAtMs > SETTLED_AFTER_MS;
    });
    open.forEach(([key, link]) => {
      const isWatched = link.watchedAtMs !== undefined;
      if (targets.has(key) && !isWatched) this.startWatch(link);
      else if (!targets.has(key) && isWatched && isSettled) this.endWatch(key, link);
    });
    if (targets.size < WATCH_TARGETS || !areUsable) this.known.forEach((key) => this.open(key));
    else if (isSettled && this.allShare) this.closeExcept(targets);
  }

  /** Closes the links to control hosts that are not watched. */
  private closeExcept(targets: ReadonlySet<string>): void {
    this.links.forEach(({ client }, key) => {
      if (targets.has(key)) return;
      client.dispose();
      this.links.delete(key);
      this.options.onLost(key);
    });
  }

  /** True if all linked control hosts share the heartbeats that they receive. */
  private get allShare(): boolean {
    return [...this.links.values()]
      .filter(({ client }) => client.isOpen)
      .every(({ client }) => client.serverProtocol >= SHARING_PROTOCOL);
  }

  private startWatch(link: ControlLink): void {
    link.watchedAtMs = this.nowMs();
    link.client.send({
      type: ControlMessageType.Watch,
      routingIndex: this.options.routingIndex(),
      departures: this.options.departures(),
      acceptsPacked: true,
      acceptsCompressed: true,
      entryHostUpdates: EntryHostUpdates.Changes,
    });
  }

  private endWatch(key: string, link: ControlLink): void {
    link.watchedAtMs = undefined;
    link.client.send({
      type: ControlMessageType.Watch,
      routingIndex: this.options.routingIndex(),
      ends: true,
    });
    this.options.onLost(key);
  }

  private sendPing(client: ControlClient, membershipIndex = this.membershipIndex): void {
    client.send({
      type: ControlMessageType.Ping,
      pingId: this.pingId,
      appliedIndex: this.options.routingIndex(),
      knownIndex: this.options.knownIndex?.() ?? this.options.routingIndex(),
      subscribe: false,
      stopping: this.options.self().stopping,
      cutOff: this.options.self().cutOff ?? false,
      membershipIndex,
    });
  }

  private sync(targets: readonly ControlAddress[]): void {
    const knownKeys = new Set(this.known.map(keyOf));
    const isUnchanged =
      targets.length === knownKeys.size && targets.every((target) => knownKeys.has(keyOf(target)));
    if (isUnchanged) return;
    this.known = targets.map(({ address, port }) => ({ address, port }));
    const targetKeys = new Set(targets.map(keyOf));
    targets.forEach((target) => this.open(target));
    this.links.forEach(({ client }, key) => {
      if (targetKeys.has(key)) return;
      client.dispose();
      this.links.delete(key);
      this.options.onLost(key);
    });
  }

  private open(target: ControlAddress): void {
    const key = keyOf(target);
    if (this.links.has(key)) return;
    const { logger, secret, self } = this.options;
    const createClient = this.options.createClient ?? ((link) => new MessageClient(link));
    const client: ControlClient = createClient({
      ...target,
      id: self().id,
      role: LinkRole.Entry,
      secret,
      logger,
      fields: CONTROL_FIELDS,
      timing: FAST_LINK_TIMING,
      availabilityZone: self().availabilityZone,
      onBytes: this.options.onBytes,
      onOpen: () => {
        logger.info('control_regained', { control: key });
        this.links.get(key)!.staleSinceMs = undefined;
        this.options.onLinked?.(key);
        const entryHostUpdates = EntryHostUpdates.None;
        client.send({ type: ControlMessageType.Hello, entryHost: self(), entryHostUpdates });
        this.pingId += 1;
        this.options.onPing?.(this.pingId);
        // The answer to an unknown index describes the control host.
        this.sendPing(client, UNKNOWN_INDEX);
        this.syncWatches();
      },
      onMessage: (message) => this.receive(key, message as ControlToEntryMessage),
      onClose: (lost) => {
        logger.warn('control_lost', { control: key, ...lost });
        this.links.get(key)!.watchedAtMs = undefined;
        this.options.onLost(key);
        this.syncWatches();
      },
    });
    const state = { availabilityZone: undefined, watchedAtMs: undefined, staleSinceMs: undefined };
    this.links.set(key, { client, ...state });
  }

  private receive(key: string, message: ControlToEntryMessage): void {
    const link = this.links.get(key)!;
    if (message.type === ControlMessageType.Pong) {
      link.availabilityZone = message.availabilityZone ?? link.availabilityZone;
      // Control hosts of earlier versions do not state it, and answers behind a long message are late.
      if (message.isCurrent !== false) link.staleSinceMs = undefined;
      else link.staleSinceMs ??= this.nowMs();
      this.options.onPong?.(message, key);
      this.onPong(message);
      return;
    }
    // An ended subscription may still deliver; its lists are no longer kept up to date.
    if (link.watchedAtMs === undefined) return;
    if (message.type === ControlMessageType.Compressed) {
      this.onCompressed(key, message);
      return;
    }
    if (message.type === ControlMessageType.PackedRouting) {
      this.onPackedRouting(message, key);
      return;
    }
    this.options.onMessage(message, key);
    if (message.type === ControlMessageType.Backends && message.batchId > 0) {
      link.client.send({ type: ControlMessageType.BackendsAck, batchId: message.batchId });
    }
  }

  private onCompressed(key: string, { bytes }: CompressedMessage): void {
    const message = decompressMessage(bytes).andThen((inner) =>
      checkMessage(inner, CONTROL_FIELDS),
    );
    if (message.isOk) {
      this.receive(key, message.value as unknown as ControlToEntryMessage);
      return;
    }
    this.options.logger.warn('message_refused', { from: key, detail: message.error.detail });
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
    this.options.onRoutingRefused?.(message.index);
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
