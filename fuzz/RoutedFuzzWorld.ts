import { BackendState, type BackendRecord } from '../src/common/backends/Types.js';
import { ENTRY_HEARTBEAT_TIMEOUT_MS } from '../src/common/Constants.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createTable } from '../src/common/routing/fixtures.js';
import { AdminRequestType, ControlEventType } from '../src/control/Types.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import { chooseEntryHosts } from '../src/gateway/EntryDirectory.js';
import { createBackend } from '../src/gateway/fixtures.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { ADMIN_TOKEN } from '../standin/Deployments.js';
import { WATCH_TARGETS } from '../src/gateway/WatchTargets.js';
import { LimitReadingType } from '../src/gateway/Types.js';
import { LimitAudit } from '../standin/LimitAudit.js';
import { Invariant, InvariantViolation } from './InvariantViolation.js';
import { ControlCluster } from './ControlCluster.js';
import type { ControlHost } from './ControlHost.js';
import { GatewayModel } from './GatewayModel.js';

/** Options of a {@link RoutedFuzzWorld}. */
export interface RoutedFuzzWorldOptions {
  readonly seed: number;
  readonly gateways?: number;
  readonly backends?: number;
}

/** State of a modelled backend server. */
interface RoutedBackend {
  record: BackendRecord;
  /** Time at which the departure was confirmed. */
  confirmedAtMs: number | undefined;
  /** False once it has ended. */
  alive: boolean;
  /** Time at which it ended; undefined while it runs. */
  endedAtMs: number | undefined;
  /** True once it only finishes its work after its departure; it announces nothing more. */
  silent: boolean;
  /** True once it announces its departure. */
  departing: boolean;
  /** Limit of requests that it names in its answers; undefined if it names none. */
  limitPerSecond: number | undefined;
  /** Requests since it last began to name a limit. */
  audit: LimitAudit;
}

/** Time bounds that the users' deployments promise. */
const DRAIN_MS = 2_000;
const ACTIVATION_MS = 2_000;
const CONTACT_MS = 3_000;
const RECOVERY_MS = 15_000;

/**
 * Time after the last repair by which gateways drop backend servers that ended: 15 s without an
 * announcement, at a control host that restarted up to 2.3 s after the repair, and two intervals
 * of the checks.
 */
const FORGOTTEN_MS = 20_000;

const ANNOUNCEMENT_INTERVAL_MS = 1_500;

/** Time for which some departed backend servers continue to serve. */
const FINISH_MS = 8_000;
const ANSWER_TIMEOUT_MS = 1_000;
const CHECK_INTERVAL_MS = 100;

/** Interval at which each gateway sends a request to each backend server, if it may. */
const CALL_INTERVAL_MS = 100;

/** Time of a request at a backend server, with the way there and back. */
const CALL_MS = 20;

/** Time by which all gateways know that one of them reaches no backend server, or does again. */
const CUT_KNOWN_MS = 1_000;

const NO_LIMIT = { type: LimitReadingType.None } as const;

/** Time by which every gateway has noticed that a limit ended, if it still sends requests. */
const LIMIT_END_MS = 120_000;

/** Control hosts, gateways, backend servers and an operator under faults; checks the invariants. */
export class RoutedFuzzWorld {
  readonly cluster: ControlCluster;

  readonly gateways: GatewayModel[];

  private readonly backends: RoutedBackend[] = [];

  private readonly random: RandomSource;

  /** Time of the last fault or repair of a control host or of the network. */
  private lastDisturbedAtMs = 0;

  /** Time at which the links of a gateway to the backend servers last changed. */
  private readonly linksChangedAtMs = new Map<GatewayModel, number>();

  private readonly contactSinceMs = new Map<GatewayModel, number>();

  private readonly touchSinceMs = new Map<GatewayModel, number>();

  /** Acknowledged changes of the routing. */
  private readonly acknowledged: { base: number; version: number; atMs: number }[] = [];

  private readonly highestVersions = new Map<string, number>();

  private nextVersion = 1;

  constructor(private readonly options: RoutedFuzzWorldOptions) {
    this.random = createRandom(options.seed);
    this.cluster = new ControlCluster({
      seed: options.seed,
      entryHeartbeatTimeoutMs: ENTRY_HEARTBEAT_TIMEOUT_MS,
      sendSession: (sessionId, message, from) => {
        const gateway = this.gateways[sessionId - 1]!;
        const { epoch } = gateway;
        this.cluster.network.sendInOrder(from, `gateway-${sessionId}`, () => {
          const open = gateway.alive && gateway.epoch === epoch && gateway.links.has(from);
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
        send: (control, ...messages) =>
          network.sendInOrder(name, control, () =>
            messages.forEach((message) =>
              this.cluster.host(control).handle({
                type: ControlEventType.SessionMessage,
                sessionId: index + 1,
                message,
              }),
            ),
          ),
      });
    });
    for (let index = 0; index < (options.backends ?? 4); index += 1) this.addBackend();
    this.checkLinks();
    this.check();
    this.sendCalls();
  }

  /** Runs random faults and changes, then heals the network and checks the recovered state. */
  run(steps: number): void {
    this.cluster.run(2_000);
    for (let step = 0; step < steps; step += 1) {
      this.actions[pickIndex(this.random, this.actions.length)]!();
      this.cluster.run(100 + this.random.next() * 900);
    }
    this.heal();
    this.joinLinks();
    this.cluster.run(RECOVERY_MS);
    this.checkRecovered();
    this.checkEnded();
    this.checkLimits();
  }

  private get hosts(): ControlHost[] {
    return [...this.cluster.hosts.values()];
  }

  private readonly actions: (() => void)[] = [
    () => this.changeRouting(),
    () => this.changeRouting(),
    () => this.raceOperators(),
    () => this.depart(),
    () => this.depart(),
    () => this.addBackend(),
    () => this.endBackend(),
    () => this.crashControl(1),
    () => this.crashControl(3),
    () => this.restartGateway(),
    () => this.losePower(),
    () => this.departAndLosePower(),
    () => this.departDuringPartition(),
    () => this.departInMinority(),
    () => this.cut([`control-${pickIndex(this.random, 3)}`]),
    () => this.cut([`gateway-${1 + pickIndex(this.random, this.gateways.length)}`]),
    () => this.cut(['control-0', 'gateway-1']),
    () => this.heal(),
    () => this.heal(),
    () => this.cutLinks(),
    () => this.joinLinks(),
    () => this.nameLimit(),
    () => this.nameLimit(),
    () => this.endLimit(),
  ];

  private noteDisturbance(): void {
    this.lastDisturbedAtMs = this.cluster.timeline.nowMs;
  }

  private cut(names: readonly string[]): void {
    this.noteDisturbance();
    this.cluster.network.cut(names, 1 + pickIndex(this.random, 2));
    names.forEach((name) => {
      const gateway = this.gateways.find(({ id }) => id === name);
      if (gateway) this.excuse(gateway);
    });
  }

  /** Excuses a gateway from limits until it receives them again, as after a restart or cut. */
  private excuse(gateway: GatewayModel): void {
    this.backends.forEach(({ audit }) => audit.noteDisturbed(gateway.id));
  }

  /** Cuts some gateways off from all backend servers. */
  private cutLinks(): void {
    const count = 1 + pickIndex(this.random, this.gateways.length);
    for (let index = 0; index < count; index += 1) {
      const gateway = this.gateways[pickIndex(this.random, this.gateways.length)]!;
      gateway.cutOff = true;
      this.linksChangedAtMs.set(gateway, this.cluster.timeline.nowMs);
      this.excuse(gateway);
    }
  }

  private joinLinks(): void {
    this.gateways.forEach((gateway) => {
      if (!gateway.cutOff) return;
      gateway.cutOff = false;
      this.linksChangedAtMs.set(gateway, this.cluster.timeline.nowMs);
    });
  }

  /** Checks that a gateway knows which others reach no backend server, and whom it names instead. */
  private checkDirectory(gateway: GatewayModel, name: string): void {
    const { nowMs } = this.cluster.timeline;
    const isSettled = this.gateways.every(
      (other, index) =>
        nowMs - (this.linksChangedAtMs.get(other) ?? 0) > CUT_KNOWN_MS &&
        this.hasStableContact(other, `gateway-${index + 1}`),
    );
    if (!isSettled) return;
    const wrong = gateway.knownHosts.find(
      ({ id, cutOff }) => this.gateways.find((other) => other.id === id)?.cutOff !== cutOff,
    );
    const missing = this.gateways.find(
      ({ id }) => !gateway.knownHosts.some((host) => host.id === id),
    );
    if (missing) this.fail(Invariant.Directory, `${name} does not know ${missing.id}`);
    if (wrong) this.fail(Invariant.Directory, `${name} takes ${wrong.id} for ${wrong.cutOff}`);
    const reaching = this.gateways.filter(({ cutOff }) => !cutOff).length;
    const named = chooseEntryHosts({
      entryHosts: gateway.knownHosts,
      availabilityZone: 'perth',
      random: this.random,
    });
    const cut = named.filter(({ cutOff }) => cutOff === true).length;
    if (named.length === 0 || (reaching >= 2 && cut > 0)) {
      this.fail(Invariant.Directory, `${name} names ${named.length} hosts, ${cut} cut off`);
    }
  }

  /** A backend server begins to name a limit of requests. */
  private nameLimit(): void {
    const free = this.backends.filter((item) => item.alive && item.limitPerSecond === undefined);
    const backend = free[pickIndex(this.random, free.length)];
    if (!backend) return;
    const { nowMs } = this.cluster.timeline;
    this.checkLimit(backend);
    const small = this.random.next() < 0.7;
    backend.limitPerSecond = this.random.next() * (small ? 3 : 30);
    backend.audit = new LimitAudit();
    backend.audit.noteNamed(backend.limitPerSecond, nowMs);
  }

  private endLimit(): void {
    const limited = this.backends.filter((item) => item.limitPerSecond !== undefined);
    const backend = limited[pickIndex(this.random, limited.length)];
    if (!backend) return;
    backend.limitPerSecond = undefined;
    backend.audit.noteEnded(this.cluster.timeline.nowMs);
  }

  /** Sends requests of all gateways to the backend servers; answers name the limits. */
  private sendCalls(): void {
    const { timeline } = this.cluster;
    this.gateways.forEach((gateway) => {
      if (!gateway.alive || gateway.cutOff) return;
      this.backends.forEach((backend) => {
        const view = gateway.pool.get(backend.record.id);
        if (backend.alive && view && gateway.trySend(view)) this.sendCall(gateway, backend, view);
      });
    });
    timeline.after(CALL_INTERVAL_MS * (0.5 + this.random.next()), () => this.sendCalls());
  }

  private sendCall(gateway: GatewayModel, backend: RoutedBackend, view: BackendView): void {
    const { timeline, network } = this.cluster;
    const sentAtMs = timeline.nowMs;
    const { epoch } = gateway;
    const isCut = this.hosts.some((host) => !network.isConnected(gateway.id, host.options.id));
    if (!isCut) backend.audit.noteRequest(gateway.id, sentAtMs);
    timeline.after(CALL_MS, () => {
      if (!gateway.alive || gateway.epoch !== epoch || !backend.alive) return;
      const { limitPerSecond: perSecond } = backend;
      if (perSecond === undefined) gateway.noteLimit(view, NO_LIMIT, sentAtMs);
      else {
        if (!isCut) backend.audit.noteReceived(gateway.id, timeline.nowMs);
        gateway.noteLimit(view, { type: LimitReadingType.Named, perSecond }, sentAtMs);
      }
    });
  }

  private checkLimit({ record, audit }: RoutedBackend): void {
    const excess = audit.worstExcess();
    if (excess) this.fail(Invariant.RequestLimit, `${record.id}: ${JSON.stringify(excess)}`);
  }

  /** Checks the limits of the run, then that gateways notice their end. */
  private checkLimits(): void {
    this.backends.forEach((backend) => {
      this.checkLimit(backend);
      backend.limitPerSecond = undefined;
      backend.audit.noteEnded(this.cluster.timeline.nowMs);
    });
    this.cluster.run(LIMIT_END_MS);
    this.gateways.forEach((gateway) =>
      this.backends.forEach(({ record, alive }) => {
        const view = gateway.pool.get(record.id);
        if (alive && view && gateway.limits.isLimited(view)) {
          this.fail(Invariant.RequestLimit, `${gateway.id} still limits ${record.id}`);
        }
      }),
    );
  }

  private heal(): void {
    this.noteDisturbance();
    this.cluster.network.heal();
  }

  private crashControl(count: number): void {
    this.noteDisturbance();
    const { timeline } = this.cluster;
    const alive = this.hosts.filter((host) => host.alive);
    alive.slice(0, count).forEach((host) => {
      host.crash();
      timeline.after(300 + this.random.next() * 2_000, () => {
        this.noteDisturbance();
        host.start();
      });
    });
  }

  private restartGateway(
    gateway = this.gateways[pickIndex(this.random, this.gateways.length)]!,
  ): void {
    if (!gateway.alive) return;
    gateway.crash();
    this.excuse(gateway);
    this.cluster.timeline.after(200 + this.random.next() * 1_000, () => gateway.start());
  }

  private losePower(): void {
    this.crashControl(3);
    this.gateways.forEach((gateway) => this.restartGateway(gateway));
  }

  /** Departure of a backend server just before a power loss, with nothing else saved in between. */
  private departAndLosePower(): void {
    const backend = this.depart();
    this.cluster.timeline.after(100 + this.random.next() * 300, () => {
      if (backend) this.finish(backend);
      this.losePower();
    });
  }

  private addBackend(): void {
    const { nowMs } = this.cluster.timeline;
    const index = this.backends.length;
    const backend: RoutedBackend = {
      record: createBackend(`b-${index}`, { bornMs: 1 + Math.round(nowMs), sequence: 0 }),
      confirmedAtMs: undefined,
      alive: true,
      endedAtMs: undefined,
      silent: false,
      departing: false,
      limitPerSecond: undefined,
      audit: new LimitAudit(),
    };
    this.backends.push(backend);
    this.announcePeriodically(backend);
  }

  /** Announces a departure to a control host that is cut off and then crashes. */
  private departDuringPartition(): void {
    const { timeline } = this.cluster;
    const host = this.hosts[pickIndex(this.random, this.hosts.length)]!;
    if (!host.alive) return;
    this.cut([host.options.id]);
    timeline.after(700, () => {
      const backend = this.depart(host);
      timeline.after(300, () => {
        if (backend) this.finish(backend);
        this.noteDisturbance();
        host.crash();
        this.heal();
        timeline.after(500, () => {
          this.noteDisturbance();
          host.start();
        });
      });
    });
  }

  /** Announces a departure to a control host that stays cut off for long. */
  private departInMinority(): void {
    const host = this.hosts[pickIndex(this.random, this.hosts.length)]!;
    if (!host.alive) return;
    this.cut([host.options.id]);
    this.cluster.run(CONTACT_MS);
    this.depart(host);
    this.cluster.run(CONTACT_MS + DRAIN_MS);
  }

  private depart(first?: ControlHost): RoutedBackend | undefined {
    const staying = this.backends.filter((item) => item.alive && !item.departing);
    const backend = staying[pickIndex(this.random, staying.length)];
    if (!backend) return undefined;
    backend.departing = true;
    backend.record = { ...backend.record, state: BackendState.Draining };
    this.announce(backend, 3, first);
    return backend;
  }

  private endBackend(): void {
    const running = this.backends.filter((item) => item.alive);
    const backend = running[pickIndex(this.random, running.length)];
    if (backend) this.end(backend);
  }

  private end(backend: RoutedBackend): void {
    backend.alive = false;
    backend.endedAtMs ??= this.cluster.timeline.nowMs;
  }

  /** Stops announcing; the backend server serves for another {@link FINISH_MS} and then ends. */
  private finish(backend: RoutedBackend): void {
    backend.silent = true;
    this.cluster.timeline.after(FINISH_MS, () => this.end(backend));
  }

  private announcePeriodically(backend: RoutedBackend): void {
    if (!backend.alive || backend.silent) return;
    this.announce(backend, 3);
    this.cluster.timeline.after(ANNOUNCEMENT_INTERVAL_MS, () => this.announcePeriodically(backend));
  }

  /**
   * Announces to one control host after another until one confirms or no attempt is left. Backend
   * servers reach the hosts on all sides of a partition.
   */
  private announce(backend: RoutedBackend, attemptsLeft: number, first?: ControlHost): void {
    if (!backend.alive || backend.silent || attemptsLeft === 0) return;
    const { timeline } = this.cluster;
    const { sequence } = backend.record;
    backend.record = { ...backend.record, sequence: sequence + 1 };
    const announced = backend.record;
    const host = first ?? this.hosts[pickIndex(this.random, this.hosts.length)]!;
    let answered = false;
    const answer = (confirmed: boolean) => {
      if (answered) return;
      answered = true;
      if (!confirmed) this.announce(backend, attemptsLeft - 1);
      else if (announced.state !== BackendState.Ready) backend.confirmedAtMs ??= timeline.nowMs;
    };
    if (host.alive) timeline.after(1, () => host.alive && host.announce(announced, answer));
    timeline.after(ANSWER_TIMEOUT_MS, () => answer(false));
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
      const other = this.acknowledged.find((change) => change.base === base);
      if (other) this.fail(Invariant.ActiveConfig, `two changes of base ${base} acknowledged`);
      this.checkConfirmed(version);
      this.acknowledged.push({ base, version, atMs: timeline.nowMs });
    });
  }

  /** Checks that every gateway in touch applies a change that is being confirmed. */
  private checkConfirmed(version: number): void {
    this.gateways.forEach((gateway) => {
      if (!this.isInTouch(gateway) || gateway.routing.version >= version) return;
      this.fail(Invariant.ActiveConfig, `${version} confirmed before ${gateway.id} applies it`);
    });
  }

  /** Two operators send changes of the same base version, of which at most one may be accepted. */
  private raceOperators(): void {
    this.changeRouting();
    this.changeRouting();
  }

  /**
   * Opens links between running hosts that reach each other. A link that lost messages is closed:
   * TCP delivers all messages, if late, or none after the first lost one.
   */
  private checkLinks(): void {
    const { timeline } = this.cluster;
    this.gateways.forEach((gateway, index) =>
      this.hosts.forEach((host, position, hosts) =>
        this.checkLink(gateway, index + 1, hosts[(position + index) % hosts.length]!),
      ),
    );
    this.hosts.forEach((host) =>
      this.hosts
        .filter((other) => other !== host)
        .forEach((other) => this.checkControlLink(host, other)),
    );
    timeline.after(CHECK_INTERVAL_MS, () => this.checkLinks());
  }

  private checkLink(gateway: GatewayModel, sessionId: number, host: ControlHost): void {
    const control = host.options.id;
    const name = `gateway-${sessionId}`;
    const key = `${name} ${control}`;
    const epochs = `${gateway.epoch} ${host.epoch}`;
    const reachable =
      gateway.alive && host.alive && this.cluster.network.isConnected(name, control);
    const open = this.openLinks.get(key);
    if (open !== undefined && (!reachable || open !== epochs)) {
      this.openLinks.delete(key);
      gateway.onLinkClosed(control);
      host.handle({ type: ControlEventType.SessionClosed, sessionId });
    }
    if (!reachable || this.openLinks.has(key)) return;
    // Like gateways, the model links to a few control hosts, whichever it reaches first.
    const links = [...this.openLinks.keys()].filter((other) => other.startsWith(`${name} `));
    if (links.length >= WATCH_TARGETS) return;
    this.openLinks.set(key, epochs);
    gateway.onLinkOpened(control);
  }

  /** Opens links between control hosts, on which they first send each other all backend records. */
  private checkControlLink(host: ControlHost, other: ControlHost): void {
    const key = `${host.options.id} ${other.options.id}`;
    const epochs = `${host.epoch} ${other.epoch}`;
    const reachable =
      host.alive &&
      other.alive &&
      this.cluster.network.isConnected(host.options.id, other.options.id);
    if (!reachable) this.openLinks.delete(key);
    if (!reachable || this.openLinks.get(key) === epochs) return;
    this.openLinks.set(key, epochs);
    host.linkTo([other]);
  }

  private readonly openLinks = new Map<string, string>();

  /** True if a gateway has run and reached every control host for at least {@link CONTACT_MS}. */
  private hasStableContact(gateway: GatewayModel, name: string): boolean {
    const { network, timeline } = this.cluster;
    const isConnected =
      gateway.alive &&
      this.hosts.every((host) => host.alive && network.isConnected(name, host.options.id));
    if (!isConnected) this.contactSinceMs.delete(gateway);
    else if (!this.contactSinceMs.has(gateway)) this.contactSinceMs.set(gateway, timeline.nowMs);
    const sinceMs = this.contactSinceMs.get(gateway) ?? Number.POSITIVE_INFINITY;
    const stableMs =
      timeline.nowMs - Math.max(sinceMs, gateway.startedAtMs, this.lastDisturbedAtMs);
    return stableMs >= CONTACT_MS;
  }

  /**
   * True if a gateway has run and reached, for at least {@link CONTACT_MS}, every control host that
   * itself reaches a majority.
   */
  private isInTouch(gateway: GatewayModel): boolean {
    const { network, timeline } = this.cluster;
    const running = this.hosts.filter((host) => host.alive);
    const reaches = (a: ControlHost, b: ControlHost) =>
      a === b || network.isConnected(a.options.id, b.options.id);
    const inMajority = running.filter(
      (host) => running.filter((other) => reaches(host, other)).length * 2 > this.hosts.length,
    );
    const isConnected =
      gateway.alive &&
      inMajority.length > 0 &&
      inMajority.every((host) => network.isConnected(gateway.id, host.options.id));
    if (!isConnected) this.touchSinceMs.delete(gateway);
    else if (!this.touchSinceMs.has(gateway)) this.touchSinceMs.set(gateway, timeline.nowMs);
    const sinceMs = this.touchSinceMs.get(gateway) ?? Number.POSITIVE_INFINITY;
    const inTouchMs =
      timeline.nowMs - Math.max(sinceMs, gateway.startedAtMs, this.lastDisturbedAtMs);
    return inTouchMs >= CONTACT_MS;
  }

  private check(): void {
    const { timeline } = this.cluster;
    this.gateways.forEach((gateway, index) => {
      const name = `gateway-${index + 1}`;
      const gatewayRun = `${name} ${gateway.epoch}`;
      const { version } = gateway.routing;
      if (gateway.alive && version < (this.highestVersions.get(gatewayRun) ?? 0)) {
        this.fail(Invariant.ActiveConfig, `${name} reverted to version ${version}`);
      }
      if (gateway.alive) this.highestVersions.set(gatewayRun, version);
      if (this.isInTouch(gateway)) this.checkDepartures(gateway, name);
      if (!this.hasStableContact(gateway, name)) return;
      this.checkDirectory(gateway, name);
      const due = this.acknowledged.filter((item) => timeline.nowMs - item.atMs > ACTIVATION_MS);
      const newest = Math.max(0, ...due.map((change) => change.version));
      if (version < newest)
        this.fail(Invariant.ActiveConfig, `${name} has version ${version} in force, not ${newest}`);
    });
    timeline.after(CHECK_INTERVAL_MS, () => this.check());
  }

  private checkDepartures(gateway: GatewayModel, name: string): void {
    const { nowMs } = this.cluster.timeline;
    this.backends.forEach(({ record, confirmedAtMs, alive }) => {
      // An ended backend server receives no calls.
      if (!alive || confirmedAtMs === undefined || nowMs - confirmedAtMs <= DRAIN_MS) return;
      const view = gateway.pool.get(record.id);
      if (view && view.record.bornMs <= record.bornMs && gateway.pool.isUsable(view)) {
        this.fail(Invariant.Departure, `${name} still uses ${record.id}`);
      }
    });
  }

  private checkRecovered(): void {
    const newest = Math.max(0, ...this.acknowledged.map((change) => change.version));
    const staying = this.backends.filter((item) => item.alive && !item.departing && !item.silent);
    this.gateways.forEach((gateway, index) => {
      const name = `gateway-${index + 1}`;
      if (gateway.routing.version < newest) {
        this.fail(Invariant.ActiveConfig, `${name} lost ${newest}, has ${gateway.routing.version}`);
      }
      const missing = staying.find(({ record }) => !gateway.pool.get(record.id)?.isOpen);
      if (missing)
        this.fail(Invariant.Answered, `${name} has no open record of ${missing.record.id}`);
    });
  }

  /** Checks that no gateway still uses a backend server that ended without a departure. */
  private checkEnded(): void {
    const { nowMs } = this.cluster.timeline;
    const ended = this.backends.filter(
      ({ endedAtMs }) => endedAtMs !== undefined && endedAtMs <= nowMs,
    );
    this.cluster.run(FORGOTTEN_MS - RECOVERY_MS);
    this.gateways.forEach((gateway) => {
      const used = ended.find(({ record }) => gateway.pool.get(record.id)?.isOpen);
      if (used) this.fail(Invariant.Ended, `${gateway.id} still uses ${used.record.id}`);
    });
  }

  private fail(invariant: Invariant, detail: string): never {
    const { nowMs } = this.cluster.timeline;
    throw new InvariantViolation(invariant, `${detail} (seed ${this.options.seed}, ${nowMs} ms)`);
  }
}
