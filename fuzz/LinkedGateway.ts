import { createRandom } from '../src/common/Random.js';
import { ControlMessageType, type ControlToEntryMessage } from '../src/common/Messages.js';
import { createEntryHost } from '../src/gateway/fixtures.js';
import { GatewayRouting } from '../src/gateway/GatewayRouting.js';
import { ControlWatch } from '../src/gateway/server/ControlWatch.js';
import { silentLogger } from '../src/runtime/Logger.js';
import type { ControlHost } from './ControlHost.js';
import type { Network } from './Network.js';
import { PausableProcess } from './PausableProcess.js';
import type { Timeline } from './Timeline.js';
import { VirtualLink } from './VirtualLink.js';

/** Options of a {@link LinkedGateway}. */
export interface LinkedGatewayOptions {
  readonly id: string;
  readonly availabilityZone: string;
  readonly timeline: Timeline;
  readonly network: Network;
  /** Control hosts by name, of which the first are the seeds. */
  readonly hosts: ReadonlyMap<string, ControlHost>;
  /** Time that the transfer of a routing takes on a link. */
  readonly routingMs: number;
  readonly openSession: (link: VirtualLink) => number;
  readonly log: (event: string, fields?: object) => void;
}

/** Number of control hosts that a gateway is told of at its start. */
const SEEDS = 3;

/** The gateway's own routing and links to control hosts, in virtual time and without calls. */
export class LinkedGateway {
  process!: PausableProcess;

  routing!: GatewayRouting;

  private watch!: ControlWatch;

  private readonly links = new Set<VirtualLink>();

  constructor(readonly options: LinkedGatewayOptions) {
    this.start();
  }

  get id(): string {
    return this.options.id;
  }

  get runs(): boolean {
    return !this.process.ended && !this.process.paused;
  }

  /** True if a call that arrives now is served by the applied routing. */
  get serves(): boolean {
    return this.runs && this.routing.active.table !== null && !this.routing.refusal();
  }

  crash(): void {
    this.process.ended = true;
    this.links.forEach((link) => link.dispose());
    this.links.clear();
  }

  resetLinks(): void {
    this.links.forEach((link) => link.reset());
  }

  /** The process of a control host ended, which resets its connections. */
  onHostEnded(host: ControlHost): void {
    this.links.forEach((link) => {
      if (link.options.host === host) link.reset();
    });
  }

  start(): void {
    const { id, availabilityZone, timeline, network, hosts, log } = this.options;
    const { routingMs, openSession } = this.options;
    const process = new PausableProcess(timeline);
    this.process = process;
    this.routing = new GatewayRouting({
      random: createRandom(1),
      nowMs: () => process.nowMs,
      setTimer: (delayMs, fire) => process.after(delayMs, fire),
      ping: () => this.watch.ping(),
      onUsableChange: () => this.watch.ping(),
      gauge: () => {},
      log,
    });
    const { routing } = this;
    const logger = { ...silentLogger, info: log, warn: log };
    this.watch = new ControlWatch({
      self: () => createEntryHost(id, availabilityZone),
      secret: '',
      logger,
      seeds: () => [...hosts.keys()].slice(0, SEEDS).map((address) => ({ address, port: 1 })),
      routingIndex: () => routing.active.logIndex,
      knownIndex: () => routing.knownIndex,
      departures: () => [],
      onMessage: (message, control) => this.receive(message, control),
      onLinked: (control) => routing.noteLinked(control),
      onPing: (pingId) => routing.notePing(pingId),
      onPong: (pong, control) => routing.notePong(pong, control),
      onLost: (control) => routing.noteLost(control),
      createClient: (client) => {
        const host = hosts.get(client.address)!;
        const link = new VirtualLink({ network, process, host, client, routingMs, openSession });
        this.links.add(link);
        return link;
      },
      nowMs: () => process.nowMs,
      setInterval: (intervalMs, fire) => process.every(intervalMs, fire),
    });
  }

  private receive(message: ControlToEntryMessage, control: string): void {
    if (message.type === ControlMessageType.Routing) this.routing.apply(message.view, control);
  }
}
