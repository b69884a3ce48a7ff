import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createTable } from '../src/common/routing/fixtures.js';
import { AdminRequestType } from '../src/control/Types.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { ADMIN_TOKEN } from '../standin/Deployments.js';
import { ContactOracle } from './ContactOracle.js';
import { ControlCluster } from './ControlCluster.js';
import type { ControlHost } from './ControlHost.js';
import { Invariant, InvariantViolation } from './InvariantViolation.js';
import { LinkedGateway } from './LinkedGateway.js';
import { PeerLinks } from './PeerLinks.js';
import type { VirtualLink } from './VirtualLink.js';

/** Options of a {@link RoutingWorld}. */
export interface RoutingWorldOptions {
  readonly seed: number;
  readonly gateways?: number;
  /** Number of control hosts; three or five by seed. */
  readonly controls?: number;
}

/** Counts of a {@link RoutingWorld}, which show what its runs have covered. */
export interface RoutingWorldCounts {
  confirmed: number;
  /** Checks of a gateway in touch while a change that it must apply was confirmed. */
  checks: number;
  /** Such checks at which the gateway refused calls. */
  refusing: number;
  /** Such checks at which the gateway took itself for cut off. */
  cutOff: number;
}

/** Time after its confirmation by which a change is in force at gateways in touch. */
const IN_FORCE_MS = 2_000;

const CHECK_INTERVAL_MS = 20;

/** Longest time between two faults or changes. */
const STEP_MAX_MS = 1_250;

/** Interval and number of the sends of a change by an operator. */
const RESEND_MS = 500;
const SENDS_MAX = 16;

/** Share of the gateways with slow links, and the longest transfer of a routing on them. */
const SLOW_SHARE = 0.3;
const ROUTING_MAX_MS = 1_500;

/** Lines of the trace in the message of a violation. */
const TRACE_LINES = 60;

/**
 * Changes of the routing while control hosts and gateways are paused, ended and cut off. Checks that
 * no gateway in touch serves by an older routing later than 2 s after the confirmation of a newer one.
 */
export class RoutingWorld {
  readonly cluster: ControlCluster;

  readonly gateways: readonly LinkedGateway[];

  readonly counts: RoutingWorldCounts = { confirmed: 0, checks: 0, refusing: 0, cutOff: 0 };

  private readonly oracle: ContactOracle;

  private readonly random: RandomSource;

  private readonly linksOfSessions = new Map<number, VirtualLink>();

  private readonly acknowledged: { version: number; atMs: number }[] = [];

  private readonly trace: string[] = [];

  private nextVersion = 1;

  private nextSessionId = 1;

  constructor(private readonly options: RoutingWorldOptions) {
    const { seed, controls = seed % 2 === 0 ? 5 : 3 } = options;
    this.random = createRandom(seed);
    this.cluster = new ControlCluster({
      seed,
      count: controls,
      holdsMessages: true,
      sendSession: (sessionId, message) =>
        this.linksOfSessions.get(sessionId)?.receive(sessionId, message),
      log: (event, fields, from) => this.note(from, event, fields),
    });
    const { timeline, network, hosts } = this.cluster;
    this.oracle = new ContactOracle({
      network,
      nowMs: () => timeline.nowMs,
      hosts: [...hosts.values()],
    });
    const ids = [...hosts.keys()];
    this.gateways = Array.from({ length: options.gateways ?? 4 }, (unused, index) => {
      const id = `gateway-${index}`;
      return new LinkedGateway({
        id,
        availabilityZone: ids[index % ids.length]!,
        timeline,
        network,
        hosts,
        // Some links are slow for the size of a routing.
        routingMs: this.random.next() < SLOW_SHARE ? this.random.next() * ROUTING_MAX_MS : 0,
        openSession: (link) => this.openSession(link),
        log: (event, fields) => this.note(id, event, fields),
      });
    });
    this.checkLinks(new PeerLinks(this.cluster, this.random));
    this.check();
  }

  /** Runs random faults and changes, then a calm time. */
  run(steps: number): void {
    this.cluster.run(4_000);
    // Worlds with few faults have more time in which gateways are in touch.
    const stepMaxMs = this.random.next() < 0.5 ? STEP_MAX_MS : STEP_MAX_MS * 3;
    for (let step = 0; step < steps; step += 1) {
      this.actions[pickIndex(this.random, this.actions.length)]!();
      this.cluster.run(50 + this.random.next() * stepMaxMs);
      if (this.random.next() < 0.3) this.change();
    }
    this.cluster.run(15_000);
    this.checkRecovered();
  }

  private get hosts(): ControlHost[] {
    return [...this.cluster.hosts.values()];
  }

  private readonly actions: (() => void)[] = [
    () => this.change(),
    () => this.change(),
    () => this.change(),
    () => this.change(),
    () => this.pauseControl(),
    () => this.pauseControl(),
    () => this.endControl(),
    () => this.endControl(),
    () => this.cutControl(),
    () => this.cutControl(),
    () => this.cutControls(),
    () => this.cutGateway(),
    () => this.cutZone(),
    () => this.pauseGateway(),
    () => this.restartGateway(),
    () => this.resetGateway(),
    () => this.endAllControls(),
  ];

  private note(from: string, event: string, fields: object = {}): void {
    const atMs = this.cluster ? Math.round(this.cluster.timeline.nowMs) : 0;
    this.trace.push(`${atMs} ${from} ${event} ${JSON.stringify(fields)}`);
  }

  private openSession(link: VirtualLink): number {
    const sessionId = this.nextSessionId;
    this.nextSessionId += 1;
    this.linksOfSessions.set(sessionId, link);
    return sessionId;
  }

  private pick<T>(items: readonly T[]): T {
    return items[pickIndex(this.random, items.length)]!;
  }

  /** A control host; often the leader, on which most depends. */
  private pickControl(): ControlHost {
    const leader = this.hosts.find((host) => host.alive && host.reducer.raft.isLeader);
    return leader && this.random.next() < 0.3 ? leader : this.pick(this.hosts);
  }

  /** Duration of a fault: often short, and sometimes longer than all time bounds. */
  private faultMs(): number {
    const share = this.random.next();
    return share < 0.5 ? 200 + share * 4_000 : 1_000 + share * 8_000;
  }

  private later(delayMs: number, action: () => void): void {
    this.cluster.timeline.after(delayMs, action);
  }

  private change(): void {
    const version = this.nextVersion;
    this.nextVersion += 1;
    this.send(version, undefined, SENDS_MAX);
  }

  /** Sends a change to a leader until it is confirmed, as operators do. */
  private send(version: number, base: number | undefined, sendsLeft: number): void {
    if (sendsLeft === 0 || this.acknowledged.some((change) => change.version >= version)) return;
    const leaders = this.hosts.filter((host) => host.alive && host.reducer.raft.isLeader);
    const leader = leaders.length > 0 ? this.pick(leaders) : undefined;
    const baseVersion = base ?? leader?.reducer.replicatedState.routing.view.version;
    this.later(RESEND_MS, () => this.send(version, baseVersion, sendsLeft - 1));
    if (!leader || baseVersion === undefined || baseVersion >= version) return;
    const request = {
      type: AdminRequestType.ChangeRouting,
      changeId: `change-${version}`,
      baseVersion,
      version,
      edit: { table: createTable() },
    } as const;
    leader.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      if (error || this.acknowledged.some((change) => change.version === version)) return;
      this.counts.confirmed += 1;
      this.acknowledged.push({ version, atMs: this.cluster.timeline.nowMs });
      this.note(leader.options.id, 'confirmed', { version });
    });
  }

  private pauseControl(): void {
    const host = this.pickControl();
    if (!host.alive || host.paused) return;
    const { epoch } = host;
    const pauseMs = this.faultMs();
    this.note(host.options.id, 'paused', { pauseMs });
    this.oracle.noteCore();
    host.pause();
    this.later(pauseMs, () => {
      if (host.epoch !== epoch) return;
      this.note(host.options.id, 'resumed', {});
      this.oracle.noteCore();
      host.resume(this.random.next() < 0.5);
    });
  }

  private endControl(host = this.pickControl(), downMs = this.faultMs()): void {
    if (!host.alive) return;
    const isPowerless = this.random.next() < 0.5;
    this.note(host.options.id, 'ended', { isPowerless, downMs });
    this.oracle.noteCore();
    host.crash();
    host.powerless = isPowerless;
    if (!isPowerless) this.gateways.forEach((gateway) => gateway.onHostEnded(host));
    this.later(downMs, () => {
      this.note(host.options.id, 'started', {});
      this.oracle.noteCore();
      host.start();
    });
  }

  private endAllControls(): void {
    const downMs = 200 + this.random.next() * 2_000;
    this.hosts.forEach((host) => this.endControl(host, downMs + this.random.next() * 300));
  }

  /** Cuts the ways between two sets of hosts, in both directions or in one. */
  private cutBetween(some: readonly string[], others: readonly string[]): void {
    const direction = this.random.next();
    const pairs = some
      .flatMap((a) => others.map((b) => [a, b] as const))
      .flatMap(([a, b]) => [
        ...(direction < 0.8 ? [[a, b] as const] : []),
        ...(direction < 0.6 || direction >= 0.8 ? [[b, a] as const] : []),
      ]);
    const cutMs = this.faultMs();
    const isCore = [...some, ...others].every((id) => this.cluster.hosts.has(id));
    const gateways = this.gateways.filter(({ id }) => some.includes(id) || others.includes(id));
    const noteEvent = () => {
      if (isCore) this.oracle.noteCore();
      gateways.forEach((gateway) => this.oracle.noteGateway(gateway));
    };
    this.note(some.join('+'), 'cut', { others, cutMs, direction });
    noteEvent();
    const unblocks = pairs.map(([from, to]) => this.cluster.network.block(from, to));
    this.later(cutMs, () => {
      this.note(some.join('+'), 'joined', { others });
      noteEvent();
      unblocks.forEach((unblock) => unblock());
    });
  }

  /** Cuts a control host, or two of five, off from the other control hosts only. */
  private cutControl(): void {
    const ids = this.hosts.map((host) => host.options.id);
    const first = this.pickControl().options.id;
    const cut = ids.length > 3 && this.random.next() < 0.5 ? [first, this.pick(ids)] : [first];
    this.cutBetween(
      [...new Set(cut)],
      ids.filter((id) => !cut.includes(id)),
    );
  }

  private cutControls(): void {
    const [a, b] = [this.pick(this.hosts), this.pick(this.hosts)];
    if (a !== b) this.cutBetween([a.options.id], [b.options.id]);
  }

  private cutGateway(): void {
    this.cutBetween([this.pick(this.gateways).id], [this.pick(this.hosts).options.id]);
  }

  /** Cuts a control host and the gateways of its zone off from all others. */
  private cutZone(): void {
    const zone = this.pickControl().options.id;
    const inZone = this.gateways.filter((gateway) => gateway.options.availabilityZone === zone);
    const ids = [zone, ...inZone.map(({ id }) => id)];
    const all = [
      ...this.hosts.map((host) => host.options.id),
      ...this.gateways.map(({ id }) => id),
    ];
    this.oracle.noteCore();
    this.cutBetween(
      ids,
      all.filter((id) => !ids.includes(id)),
    );
  }

  private pauseGateway(): void {
    const gateway = this.pick(this.gateways);
    const { process } = gateway;
    if (!gateway.runs) return;
    const pauseMs = this.faultMs();
    this.note(gateway.id, 'paused', { pauseMs });
    process.paused = true;
    this.oracle.noteGateway(gateway);
    this.later(pauseMs, () => {
      if (process.ended) return;
      this.note(gateway.id, 'resumed', {});
      this.oracle.noteGateway(gateway);
      process.resume(this.random.next() < 0.5);
    });
  }

  private restartGateway(): void {
    const gateway = this.pick(this.gateways);
    if (gateway.process.ended) return;
    this.note(gateway.id, 'ended', {});
    gateway.crash();
    this.later(100 + this.random.next() * 1_500, () => {
      this.note(gateway.id, 'started', {});
      this.oracle.noteGateway(gateway);
      gateway.start();
    });
  }

  private resetGateway(): void {
    const gateway = this.pick(this.gateways);
    this.note(gateway.id, 'reset', {});
    this.oracle.noteGateway(gateway);
    gateway.resetLinks();
  }

  private checkLinks(links: PeerLinks): void {
    links.check();
    this.later(CHECK_INTERVAL_MS, () => this.checkLinks(links));
  }

  private check(): void {
    const { nowMs } = this.cluster.timeline;
    const due = this.acknowledged.filter(({ atMs }) => nowMs - atMs > IN_FORCE_MS);
    const newest = Math.max(0, ...due.map(({ version }) => version));
    this.gateways.forEach((gateway) => {
      this.oracle.update(gateway);
      if (newest > 0 && this.oracle.isInTouch(gateway)) this.checkInTouch(gateway, newest);
    });
    this.later(CHECK_INTERVAL_MS, () => this.check());
  }

  private checkInTouch(gateway: LinkedGateway, newest: number): void {
    this.counts.checks += 1;
    if (gateway.routing.isCutOff) this.counts.cutOff += 1;
    if (!gateway.serves) this.counts.refusing += 1;
    else if (gateway.routing.active.version < newest) {
      this.fail(`${gateway.id} serves by ${gateway.routing.active.version}, not ${newest}`);
    }
  }

  /** After a calm time every gateway serves by the newest routing. */
  private checkRecovered(): void {
    const newest = Math.max(0, ...this.acknowledged.map(({ version }) => version));
    const late = this.gateways.find(
      (gateway) => !gateway.serves || gateway.routing.active.version < newest,
    );
    if (late && newest > 0) this.fail(`${late.id} is not back with ${newest}`);
  }

  private fail(detail: string): never {
    const at = `(seed ${this.options.seed}, ${Math.round(this.cluster.timeline.nowMs)} ms)`;
    const trace = this.trace.slice(-TRACE_LINES).join('\n');
    throw new InvariantViolation(Invariant.ActiveConfig, `${detail} ${at}\n${trace}`);
  }
}
