import { BackendState, type BackendRecord } from '../src/common/backends/Types.js';
import { ENTRY_HEARTBEAT_TIMEOUT_MS } from '../src/common/Constants.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createTable } from '../src/common/routing/fixtures.js';
import { AdminRequestType, ControlEventType } from '../src/control/Types.js';
import { createBackend } from '../src/gateway/fixtures.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { ADMIN_TOKEN } from '../standin/Deployments.js';
import { BrokenPromise, Promised } from './BrokenPromise.js';
import { ControlCluster } from './ControlCluster.js';
import type { ControlHost } from './ControlHost.js';
import { GatewayModel } from './GatewayModel.js';

/** Options of a {@link RoutedFuzzWorld}. */
export interface RoutedFuzzWorldOptions {
  readonly seed: number;
  readonly gateways?: number;
  readonly backends?: number;
}

/** Backend server with what it knows of itself. */
interface Announcer {
  record: BackendRecord;
  /** Time at which a departure was confirmed. */
  confirmedAtMs: number | undefined;
  /** False once it has ended. */
  alive: boolean;
  /** True where it has said goodbye and only finishes its work; it tells nothing more. */
  silent: boolean;
  /** True where it calls itself leaving. */
  leaving: boolean;
}

/** Bounds that the users' deployments promise. */
const DRAIN_MS = 2_000;
const IN_FORCE_MS = 2_000;
const CONTACT_MS = 3_000;
const RECOVERY_MS = 15_000;

const BEAT_MS = 1_500;

/** Departed backend servers go on serving for this long, at times. */
const FINISH_MS = 8_000;
const ANSWER_MS = 1_000;
const LINK_CHECK_MS = 100;

/** Control hosts, gateways, backend servers and an operator under faults, with the promises checked. */
export class RoutedFuzzWorld {
  readonly cluster: ControlCluster;

  readonly gateways: GatewayModel[];

  private readonly announcers: Announcer[] = [];

  private readonly random: RandomSource;

  /** Since when nothing has disturbed the control hosts and the path to each gateway. */
  private calmSinceMs = 0;

  private readonly contactSinceMs = new Map<GatewayModel, number>();

  /** Changes of the routing that were acknowledged: base, version, time. */
  private readonly acknowledged: { base: number; version: number; atMs: number }[] = [];

  private readonly seenVersions = new Map<string, number>();

  private nextVersion = 1;

  constructor(private readonly options: RoutedFuzzWorldOptions) {
    this.random = createRandom(options.seed);
    this.cluster = new ControlCluster({
      seed: options.seed,
      entryHeartbeatTimeoutMs: ENTRY_HEARTBEAT_TIMEOUT_MS,
      sendSession: (sessionId, message, from) => {
        const gateway = this.gateways[sessionId - 1]!;
        const { life } = gateway;
        this.cluster.network.send(from, `gateway-${sessionId}`, () => {
          const open = gateway.alive && gateway.life === life && gateway.links.has(from);
          if (open) gateway.receive(message, from);
        });
      },
    });
    const { timeline, network } = this.cluster;
    this.gateways = Array.from({ length: options.gateways ?? 3 }, (unused, index) => {
      const name = `gateway-${index + 1}`;
      return new GatewayModel({
        id: name,
        timeline,
        send: (control, message) =>
          network.send(name, control, () =>
            this.cluster.host(control).handle({
              type: ControlEventType.SessionMessage,
              sessionId: index + 1,
              message,
            }),
          ),
      });
    });
    for (let index = 0; index < (options.backends ?? 4); index += 1) this.addBackend();
    this.checkLinks();
    this.check();
  }

  /** Plays random faults and work, then heals everything and checks what must have recovered. */
  run(steps: number): void {
    this.cluster.run(2_000);
    for (let step = 0; step < steps; step += 1) {
      this.actions[pickIndex(this.random, this.actions.length)]!();
      this.cluster.run(100 + this.random.next() * 900);
    }
    this.heal();
    this.cluster.run(RECOVERY_MS);
    this.checkRecovered();
  }

  private get hosts(): ControlHost[] {
    return [...this.cluster.hosts.values()];
  }

  private readonly actions: (() => void)[] = [
    () => this.changeRouting(),
    () => this.changeRouting(),
    () => this.raceOperators(),
    () => this.leave(),
    () => this.leave(),
    () => this.addBackend(),
    () => this.endBackend(),
    () => this.crashControl(1),
    () => this.crashControl(3),
    () => this.restartGateway(),
    () => this.losePower(),
    () => this.departAndLosePower(),
    () => this.departBehindCut(),
    () => this.cut([`control-${pickIndex(this.random, 3)}`]),
    () => this.cut([`gateway-${1 + pickIndex(this.random, this.gateways.length)}`]),
    () => this.cut(['control-0', 'gateway-1']),
    () => this.heal(),
    () => this.heal(),
  ];

  private disturb(): void {
    this.calmSinceMs = this.cluster.timeline.nowMs;
  }

  private cut(names: readonly string[]): void {
    this.disturb();
    this.cluster.network.cut(names, 1 + pickIndex(this.random, 2));
  }

  private heal(): void {
    this.disturb();
    this.cluster.network.heal();
  }

  private crashControl(count: number): void {
    this.disturb();
    const { timeline } = this.cluster;
    const alive = this.hosts.filter((host) => host.alive);
    alive.slice(0, count).forEach((host) => {
      host.crash();
      timeline.after(300 + this.random.next() * 2_000, () => {
        this.disturb();
        host.start();
      });
    });
  }

  private restartGateway(
    gateway = this.gateways[pickIndex(this.random, this.gateways.length)]!,
  ): void {
    if (!gateway.alive) return;
    gateway.crash();
    this.cluster.timeline.after(200 + this.random.next() * 1_000, () => gateway.start());
  }

  private losePower(): void {
    this.crashControl(3);
    this.gateways.forEach((gateway) => this.restartGateway(gateway));
  }

  /** A backend server's departure is confirmed, it ends, and nothing else was saved before. */
  private departAndLosePower(): void {
    const announcer = this.leave();
    this.cluster.timeline.after(100 + this.random.next() * 300, () => {
      if (announcer) this.finish(announcer);
      this.losePower();
    });
  }

  private addBackend(): void {
    const { nowMs } = this.cluster.timeline;
    const at = this.announcers.length;
    const announcer: Announcer = {
      record: createBackend(`b-${at}`, { bornMs: 1 + nowMs, sequence: 0 }),
      confirmedAtMs: undefined,
      alive: true,
      silent: false,
      leaving: false,
    };
    this.announcers.push(announcer);
    this.beat(announcer);
  }

  /** A departure is told to a control host that is cut off and then loses its memory. */
  private departBehindCut(): void {
    const { timeline } = this.cluster;
    const host = this.hosts[pickIndex(this.random, this.hosts.length)]!;
    if (!host.alive) return;
    this.cut([host.options.id]);
    timeline.after(700, () => {
      const announcer = this.leave(host);
      timeline.after(300, () => {
        if (announcer) this.finish(announcer);
        this.disturb();
        host.crash();
        this.heal();
        timeline.after(500, () => {
          this.disturb();
          host.start();
        });
      });
    });
  }

  private leave(first?: ControlHost): Announcer | undefined {
    const staying = this.announcers.filter((one) => one.alive && !one.leaving);
    const announcer = staying[pickIndex(this.random, staying.length)];
    if (!announcer) return undefined;
    announcer.leaving = true;
    announcer.record = { ...announcer.record, state: BackendState.Draining };
    this.announce(announcer, 3, first);
    return announcer;
  }

  private endBackend(): void {
    const living = this.announcers.filter((one) => one.alive);
    const announcer = living[pickIndex(this.random, living.length)];
    if (announcer) announcer.alive = false;
  }

  /** Tells nothing more, serves on for some seconds, and ends. */
  private finish(announcer: Announcer): void {
    announcer.silent = true;
    this.cluster.timeline.after(FINISH_MS, () => {
      announcer.alive = false;
    });
  }

  private beat(announcer: Announcer): void {
    if (!announcer.alive || announcer.silent) return;
    this.announce(announcer, 3);
    this.cluster.timeline.after(BEAT_MS, () => this.beat(announcer));
  }

  /** Tells one control host after the other until one confirms; backend servers reach all sides. */
  private announce(announcer: Announcer, tries: number, first?: ControlHost): void {
    if (!announcer.alive || announcer.silent || tries === 0) return;
    const { timeline } = this.cluster;
    const { sequence } = announcer.record;
    announcer.record = { ...announcer.record, sequence: sequence + 1 };
    const told = announcer.record;
    const host = first ?? this.hosts[pickIndex(this.random, this.hosts.length)]!;
    let answered = false;
    const answer = (confirmed: boolean) => {
      if (answered) return;
      answered = true;
      if (!confirmed) this.announce(announcer, tries - 1);
      else if (told.state !== BackendState.Ready) announcer.confirmedAtMs ??= timeline.nowMs;
    };
    if (host.alive) timeline.after(1, () => host.alive && host.announce(told, answer));
    timeline.after(ANSWER_MS, () => answer(false));
  }

  private changeRouting(): void {
    const { timeline } = this.cluster;
    const leader = this.hosts.find((host) => host.alive && host.reducer.raft.isLeader);
    if (!leader) return;
    const base = leader.reducer.replicatedState.routing.view.version;
    const version = Math.max(this.nextVersion, base + 1);
    this.nextVersion = version + 1;
    const request = {
      type: AdminRequestType.ChangeRouting,
      changeId: `change-${version}`,
      baseVersion: base,
      version,
      edit: { table: createTable() },
    } as const;
    leader.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      if (error) return;
      const rival = this.acknowledged.find((one) => one.base === base);
      if (rival) this.fail(Promised.InForce, `two changes on top of ${base} acknowledged`);
      this.acknowledged.push({ base, version, atMs: timeline.nowMs });
    });
  }

  /** Two operators build on the same version; one of them may win. */
  private raceOperators(): void {
    this.changeRouting();
    this.changeRouting();
  }

  /**
   * Opens links where both ends live and hear each other. A link that lost messages is broken: TCP
   * delivers all of them, late, or none of what follows.
   */
  private checkLinks(): void {
    const { timeline } = this.cluster;
    this.gateways.forEach((gateway, index) =>
      this.hosts.forEach((host) => this.checkLink(gateway, index + 1, host)),
    );
    this.hosts.forEach((host) =>
      this.hosts
        .filter((other) => other !== host)
        .forEach((other) => this.checkControlLink(host, other)),
    );
    timeline.after(LINK_CHECK_MS, () => this.checkLinks());
  }

  private checkLink(gateway: GatewayModel, sessionId: number, host: ControlHost): void {
    const control = host.options.id;
    const name = `gateway-${sessionId}`;
    const key = `${name} ${control}`;
    const lives = `${gateway.life} ${host.life}`;
    const reachable =
      gateway.alive && host.alive && this.cluster.network.isConnected(name, control);
    const open = this.openLinks.get(key);
    if (open !== undefined && (!reachable || open !== lives)) {
      this.openLinks.delete(key);
      gateway.links.delete(control);
      host.handle({ type: ControlEventType.SessionClosed, sessionId });
    }
    if (!reachable || this.openLinks.has(key)) return;
    this.openLinks.set(key, lives);
    gateway.onOpen(control);
  }

  /** Control hosts tell each other everything when a link between them opens. */
  private checkControlLink(host: ControlHost, other: ControlHost): void {
    const key = `${host.options.id} ${other.options.id}`;
    const lives = `${host.life} ${other.life}`;
    const reachable =
      host.alive &&
      other.alive &&
      this.cluster.network.isConnected(host.options.id, other.options.id);
    if (!reachable) this.openLinks.delete(key);
    if (!reachable || this.openLinks.get(key) === lives) return;
    this.openLinks.set(key, lives);
    host.linkTo([other]);
  }

  private readonly openLinks = new Map<string, string>();

  /** True where a gateway has run and reached every control host for the whole contact time. */
  private isInTouch(gateway: GatewayModel, name: string): boolean {
    const { network, timeline } = this.cluster;
    const whole =
      gateway.alive &&
      this.hosts.every((host) => host.alive && network.isConnected(name, host.options.id));
    if (!whole) this.contactSinceMs.delete(gateway);
    else if (!this.contactSinceMs.has(gateway)) this.contactSinceMs.set(gateway, timeline.nowMs);
    const sinceMs = this.contactSinceMs.get(gateway) ?? Number.POSITIVE_INFINITY;
    const calmMs = timeline.nowMs - Math.max(sinceMs, gateway.startedAtMs, this.calmSinceMs);
    return calmMs >= CONTACT_MS;
  }

  private check(): void {
    const { timeline } = this.cluster;
    this.gateways.forEach((gateway, index) => {
      const name = `gateway-${index + 1}`;
      const lifetime = `${name} ${gateway.life}`;
      const { version } = gateway.routing;
      if (gateway.alive && version < (this.seenVersions.get(lifetime) ?? 0)) {
        this.fail(Promised.InForce, `${name} went back to ${version}`);
      }
      if (gateway.alive) this.seenVersions.set(lifetime, version);
      if (!this.isInTouch(gateway, name)) return;
      this.checkDepartures(gateway, name);
      const due = this.acknowledged.filter((one) => timeline.nowMs - one.atMs > IN_FORCE_MS);
      const newest = Math.max(0, ...due.map((one) => one.version));
      if (version < newest) this.fail(Promised.InForce, `${name} has ${version}, not ${newest}`);
    });
    timeline.after(LINK_CHECK_MS, () => this.check());
  }

  private checkDepartures(gateway: GatewayModel, name: string): void {
    const { nowMs } = this.cluster.timeline;
    this.announcers.forEach(({ record, confirmedAtMs, alive }) => {
      // Nothing reaches one that has ended.
      if (!alive || confirmedAtMs === undefined || nowMs - confirmedAtMs <= DRAIN_MS) return;
      const view = gateway.pool.get(record.id);
      if (view && view.record.bornMs <= record.bornMs && gateway.pool.isUsable(view)) {
        this.fail(Promised.Leaving, `${name} still uses ${record.id}`);
      }
    });
  }

  private checkRecovered(): void {
    const newest = Math.max(0, ...this.acknowledged.map((one) => one.version));
    const staying = this.announcers.filter((one) => one.alive && !one.leaving && !one.silent);
    this.gateways.forEach((gateway, index) => {
      const name = `gateway-${index + 1}`;
      if (gateway.routing.version < newest) {
        this.fail(Promised.InForce, `${name} lost ${newest}, has ${gateway.routing.version}`);
      }
      const missing = staying.find(({ record }) => !gateway.pool.get(record.id)?.isOpen);
      if (missing) this.fail(Promised.Answered, `${name} doesn't know ${missing.record.id}`);
    });
  }

  private fail(promised: Promised, detail: string): never {
    const { nowMs } = this.cluster.timeline;
    throw new BrokenPromise(promised, `${detail} (seed ${this.options.seed}, ${nowMs} ms)`);
  }
}
