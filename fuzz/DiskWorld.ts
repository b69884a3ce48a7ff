import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import { createTable } from '../src/common/routing/fixtures.js';
import {
  membersToInvite,
  requiredVoterCount,
  shouldRequestJoin,
} from '../src/control/AutoMembership.js';
import type { RoutingView } from '../src/common/routing/Types.js';
import { shouldReportEmptied } from '../src/control/raft/Recovery.js';
import type { Member } from '../src/control/raft/Types.js';
import { AdminRequestType, ControlEventType } from '../src/control/Types.js';
import { hashToken } from '../src/runtime/LinkAuth.js';
import { ADMIN_TOKEN, buildTree, OTARU } from '../standin/Deployments.js';
import { ControlHost } from './ControlHost.js';
import { Invariant, InvariantViolation } from './InvariantViolation.js';
import { Network } from './Network.js';
import { Timeline } from './Timeline.js';

/** Options of a {@link DiskWorld}. */
export interface DiskWorldOptions {
  readonly seed: number;
  /** Hosts with a disk, voters or not. */
  readonly hosts?: number;
  /** Voters of the first start; three by default. */
  readonly voters?: number;
  readonly hostsLostAtOnce?: number;
}

/** Network position of a host: its address outlives its disk and its member id. */
interface Site {
  readonly address: string;
  host: ControlHost;
  startedAtMs: number;
  /** True from the loss of its disk until the host has had {@link CATCH_UP_MS} without faults. */
  diskLost: boolean;
  /** True from an outage or a cut until the host has had {@link CATCH_UP_MS} without faults. */
  wasDown: boolean;
  /** True if its machine was taken away; another one replaces it at another address. */
  gone: boolean;
  /** Member ids that the host has learned it had before its disk was lost. */
  readonly emptiedIds: Set<string>;
}

const INITIAL_VOTERS = 3;
const JOIN_INTERVAL_MS = 500;
const OPERATOR_INTERVAL_MS = 40;

/** Time without faults after which a host with an emptied disk no longer counts as lost. */
const CATCH_UP_MS = 6_000;
const RECOVERY_MS = 15_000;

/** Longest stall of a disk; a voter is unreachable after 1.2 s. */
const MAX_STALL_MS = 1_000;

/** Longest time between the end of a host that is taken away and the start of its successor. */
const SUCCESSOR_DELAY_MS = 3_000;

/** Separates the address from the number of the disk in a member id. */
const DISK_SEPARATOR = '~';

function addressOf(id: string): string {
  return id.split(DISK_SEPARATOR)[0]!;
}

/** Marks sites as down until they have caught up. */
function noteDown(sites: readonly Site[]): void {
  sites.forEach((site) => {
    const target = site;
    target.wasDown = true;
  });
}

/**
 * Control hosts that replace lost voters by themselves, and an operator, while disks and power are
 * lost. Every confirmed change must be readable in the end, and no read may return an older one.
 */
export class DiskWorld {
  readonly timeline = new Timeline();

  readonly sites: Site[] = [];

  private readonly network: Network;

  private readonly random: RandomSource;

  private readonly hostsLostAtOnce: number;

  private readonly founders: readonly Member[];

  /** Ids of hosts that started with an empty disk after a loss. */
  private readonly replacedIds = new Set<string>();

  /** Leader of each term. */
  private readonly leaders = new Map<number, string>();

  private nextVersion = 1;

  private nextDisk = 1;

  /** Newest version whose change was confirmed. */
  confirmed = 0;

  /** End of the last fault. */
  private faultsUntilMs = 0;

  /** Called once, at the next confirmation. */
  private onConfirmed: (() => void) | undefined;

  constructor(private readonly options: DiskWorldOptions) {
    this.random = createRandom(options.seed);
    this.hostsLostAtOnce = options.hostsLostAtOnce ?? 2;
    const voters = options.voters ?? INITIAL_VOTERS;
    this.network = new Network(this.timeline, this.random, {
      minDelayMs: 0.5,
      maxDelayMs: 5,
      dropRatio: 0,
      duplicateRatio: 0,
    });
    const addresses = Array.from({ length: options.hosts ?? 8 }, (unused, index) => `h${index}`);
    this.founders = addresses
      .slice(0, voters)
      .map((address) => ({ id: address, address, port: 1 }));
    addresses.forEach((address, index) =>
      this.addSite(address, index < voters ? address : this.createId(address)),
    );
    this.operate();
  }

  /** Adds a host with an empty disk; it runs from now on. */
  private addSite(address: string, id: string): Site {
    const site: Site = {
      address,
      host: this.createHost(id),
      startedAtMs: this.timeline.nowMs,
      diskLost: false,
      wasDown: false,
      gone: false,
      emptiedIds: new Set<string>(),
    };
    this.sites.push(site);
    this.requestJoins(site);
    return site;
  }

  /** Runs random faults, then the loss of disks and power at a confirmation, then the checks. */
  run(faults: number): void {
    this.timeline.advance(this.random.next() * 1_500);
    for (let fault = 0; fault < faults; fault += 1) {
      this.checkCatchUp();
      this.faults[pickIndex(this.random, this.faults.length)]!();
      this.timeline.advance(this.random.next() * 4_000);
    }
    this.loseDisksAtConfirmation();
    this.check();
  }

  /** Loses disks and power at the first confirmation after a change of voters has begun. */
  runReplacement(): void {
    this.timeline.advance(3_000 + this.random.next() * 1_000);
    const voters = this.voterIds();
    if (this.random.next() < 0.5) this.suspend(1);
    else this.wipeOne();
    for (let waitedMs = 0; waitedMs < RECOVERY_MS && this.voterIds() === voters; waitedMs += 5) {
      this.timeline.advance(5);
    }
    this.loseDisksAtConfirmation();
    this.check();
  }

  /** Loses disks and power at the first confirmation in the first seconds. */
  runFirstStart(): void {
    if (this.random.next() < 0.5) this.timeline.advance(this.random.next() * 1_500);
    this.loseDisksAtConfirmation();
    this.check();
  }

  /**
   * Loses disks at a confirmation several times, each time as many as the setting allows, with a
   * recovery in between. Hosts that are down at that time count as lost.
   */
  runLosses(losses: number): void {
    for (let loss = 0; loss < losses; loss += 1) {
      this.timeline.advance(CATCH_UP_MS + this.random.next() * 1_500);
      this.checkCatchUp();
      const outage = this.random.next();
      if (outage < 0.25) this.suspend(1);
      else if (outage < 0.4) this.cut(1);
      else if (outage < 0.5) this.wipeOne();
      if (outage < 0.5) this.timeline.advance(this.random.next() * 4_000);
      if (this.random.next() < 0.5) this.stallOne();
      this.loseDisksAtConfirmation(this.random.next() < 0.5, this.random.next() < 0.5);
      this.check();
    }
  }

  /**
   * Replaces hosts by empty ones at other addresses, one after the other, and then loses as many disks
   * as the setting allows, once the last successor has had {@link CATCH_UP_MS}.
   */
  runSuccessors(count: number, amidFaults = false): void {
    for (let replaced = 0; replaced < count; replaced += 1) {
      this.timeline.advance(CATCH_UP_MS + this.random.next() * 1_500);
      this.checkCatchUp();
      if (amidFaults) {
        this.faults[pickIndex(this.random, this.faults.length)]!();
        this.timeline.advance(this.random.next() * 8_000);
      }
      this.replaceHost(this.random.next() < 0.5);
    }
    if (!amidFaults) this.timeline.advance(CATCH_UP_MS);
    this.checkCatchUp();
    this.loseDisksAtConfirmation(this.random.next() < 0.5, this.random.next() < 0.5);
    this.check();
  }

  /**
   * Replaces all hosts of the first start but one, and then loses the disk of that one, so that none of
   * its seeds is there. Returns true if it is a voter again.
   */
  readmitsWithoutSeeds(): boolean {
    const [last, ...others] = this.sites.filter(({ address }) =>
      this.founders.some((founder) => founder.address === address),
    );
    others.forEach((site) => {
      this.timeline.advance(CATCH_UP_MS);
      this.checkCatchUp();
      this.takeAway(site, false);
    });
    this.timeline.advance(CATCH_UP_MS);
    this.wipe(last!);
    this.timeline.advance(CATCH_UP_MS);
    return this.voterSites().includes(last!);
  }

  /**
   * Takes a voter away for good. Before its successor has caught up, disks are lost: as many as the
   * setting allows together with the voter that is gone.
   */
  runLossBeforeSuccessor(): void {
    this.timeline.advance(CATCH_UP_MS + this.random.next() * 1_500);
    this.checkCatchUp();
    const [gone] = this.pick(this.voterSites(), 1);
    gone!.gone = true;
    gone!.diskLost = true;
    gone!.host.crash();
    this.noteFault(0);
    const address = `h${this.sites.length}`;
    this.timeline.after(this.random.next() * SUCCESSOR_DELAY_MS, () =>
      this.addSite(address, this.createId(address, true)),
    );
    this.timeline.advance(this.random.next() * CATCH_UP_MS * 0.9);
    this.loseDisksAtConfirmation(this.random.next() < 0.5, this.random.next() < 0.5);
    this.check();
  }

  /** Takes a voter away for good; its successor starts up to 3 s later, or as long before. */
  private replaceHost(startsFirst: boolean): void {
    const [gone] = this.pick(this.voterSites(), 1);
    if (gone && this.disksLeft > 0) this.takeAway(gone, startsFirst);
  }

  private takeAway(site: Site, startsFirst: boolean): void {
    const gone = site;
    const address = `h${this.sites.length}`;
    const steps = [
      () => {
        gone.gone = true;
        gone.diskLost = true;
        gone.host.crash();
      },
      () => this.addSite(address, this.createId(address, true)),
    ];
    if (startsFirst) steps.reverse();
    steps[0]!();
    this.timeline.advance(this.random.next() * SUCCESSOR_DELAY_MS);
    steps[1]!();
    this.noteFault(0);
  }

  /** Delays the writes of one voter, so that the newest changes are on the other disks only. */
  private stallOne(): void {
    const [site] = this.pick(this.voterSites(), 1);
    site?.host.stallDisk(this.random.next() * MAX_STALL_MS);
  }

  private voterIds(): string | undefined {
    return this.leader()
      ?.reducer.raft.state.log.membership.voters.map((voter) => voter.id)
      .join();
  }

  /**
   * Empties disks, and cuts the power of all other hosts, as soon as a change is confirmed. The
   * disks are chosen at random, or are those of the voters with the newest entries.
   */
  loseDisksAtConfirmation(cutsPower = true, choosesNewest = false): void {
    let lost = false;
    this.onConfirmed = () => {
      lost = true;
      this.checkCatchUp();
      const running = this.sites.filter((site) => site.host.alive);
      const voters = this.voterSites().filter((site) => site.host.alive);
      const count = this.disksLeft;
      const wiped = choosesNewest
        ? voters.sort((a, b) => b.host.lastDurableIndex - a.host.lastDurableIndex).slice(0, count)
        : this.pick(this.random.next() < 0.7 ? voters : running, count);
      if (cutsPower) this.sites.forEach((site) => site.host.crash());
      wiped.forEach((site) => this.wipe(site));
    };
    for (let waitedMs = 0; !lost && waitedMs < RECOVERY_MS; waitedMs += 5) this.timeline.advance(5);
    this.onConfirmed = undefined;
  }

  /** Restarts all hosts, heals the network and checks that every confirmed change is readable. */
  check(): void {
    this.network.heal();
    this.sites.forEach((site) => this.restart(site, this.random.next() * 3_000));
    this.timeline.advance(3_000 + RECOVERY_MS);
    const { confirmed } = this;
    let version: number | undefined;
    const leader = this.leader();
    if (!leader) this.fail('no leader');
    leader.admin({ type: AdminRequestType.GetRouting }, hashToken(ADMIN_TOKEN), (body, error) => {
      version = error ? undefined : (body as RoutingView).version;
    });
    this.timeline.advance(1_000);
    if (version === undefined) this.fail('the routing is not readable');
    if (version < confirmed) this.fail(`version ${version} is in force, not ${confirmed}`);
  }

  /** Running leader of the highest term, if any. */
  leader(): ControlHost | undefined {
    return this.sites
      .map(({ host }) => host)
      .filter((host) => host.alive && host.reducer.raft.isLeader)
      .sort((a, b) => b.reducer.raft.state.term - a.reducer.raft.state.term)[0];
  }

  private readonly faults: readonly (() => void)[] = [
    () => this.suspend(1),
    () => this.suspend(1),
    () => this.suspend(2),
    () => this.suspend(3),
    () => this.cut(1 + pickIndex(this.random, 4)),
    () => this.cut(2),
    () => this.wipeOne(),
    () => this.loseVoterDuringCut(),
    () => this.sites.forEach((site) => this.powerCycle(site, 500 + this.random.next() * 1_000)),
  ];

  /** Number of further disks that may be lost now. */
  private get disksLeft(): number {
    const isLost = (site: Site) => site.diskLost || (this.countsOutages && site.wasDown);
    return Math.max(0, this.hostsLostAtOnce - this.sites.filter(isLost).length);
  }

  /** True if the hosts are too few for a majority after the loss: those that are down count as lost. */
  private get countsOutages(): boolean {
    return this.sites.length <= 2 * this.hostsLostAtOnce;
  }

  private outageMs(): number {
    return 1_000 + this.random.next() * 6_000;
  }

  /** Records that a fault lasts for a time from now. */
  private noteFault(durationMs: number): void {
    this.faultsUntilMs = Math.max(this.faultsUntilMs, this.timeline.nowMs + durationMs);
  }

  /** Lets hosts with emptied disks count as recovered after a time without faults. */
  private checkCatchUp(): void {
    if (this.timeline.nowMs - this.faultsUntilMs < CATCH_UP_MS) return;
    this.sites.forEach((site) => {
      const target = site;
      target.diskLost = false;
      target.wasDown = false;
    });
  }

  private pick(sites: readonly Site[], count: number): Site[] {
    const rest = [...sites];
    const picked: Site[] = [];
    while (picked.length < count && rest.length > 0) {
      picked.push(...rest.splice(pickIndex(this.random, rest.length), 1));
    }
    return picked;
  }

  private suspend(count: number): void {
    this.pick(this.voterSites(), count).forEach((site) => this.powerCycle(site, this.outageMs()));
  }

  private cut(count: number): void {
    const sites = this.pick(this.sites, count);
    noteDown(sites);
    this.network.cut(
      sites.map((site) => site.address),
      1,
    );
    const outageMs = this.outageMs();
    this.noteFault(outageMs);
    this.timeline.after(outageMs, () => this.network.heal());
  }

  private wipeOne(): void {
    if (this.disksLeft === 0) return;
    const [site] = this.pick(this.voterSites(), 1);
    if (site) this.wipe(site);
  }

  /** Cuts off two voters; then one of the others loses its disk and the rest their power. */
  private loseVoterDuringCut(): void {
    const [first, second, third, ...rest] = this.pick(this.voterSites(), INITIAL_VOTERS + 2);
    if (!first || !second || !third || this.disksLeft === 0) return;
    this.network.cut([first.address, second.address], 1);
    this.timeline.after(this.random.next() * 4_000, () => {
      if (this.disksLeft > 0) this.wipe(third);
      rest.forEach((site) => this.powerCycle(site, this.outageMs()));
    });
    const outageMs = this.outageMs();
    this.noteFault(outageMs);
    this.timeline.after(outageMs, () => this.network.heal());
  }

  /** Sites of the voters, according to the leader. */
  private voterSites(): Site[] {
    const voters = this.leader()?.reducer.raft.state.log.membership.voters ?? this.founders;
    const isVoter = (site: Site) => voters.some((voter) => voter.id === site.host.options.id);
    return this.sites.filter((site) => !site.gone && isVoter(site));
  }

  private powerCycle(site: Site, outageMs: number): void {
    noteDown([site]);
    site.host.crash();
    this.restart(site, outageMs);
  }

  /** Starts the host of a site after a delay, unless another start comes first. */
  private restart(site: Site, delayMs: number): void {
    this.noteFault(delayMs);
    this.timeline.after(delayMs, () => {
      if (site.host.alive || site.gone) return;
      const target = site;
      target.startedAtMs = this.timeline.nowMs;
      site.host.start();
    });
  }

  /** Replaces the disk of a site; its host comes back as a new member at the same address. */
  private wipe(site: Site): void {
    const target = site;
    site.host.crash();
    target.host = this.createHost(this.createId(site.address, true));
    target.host.crash();
    target.diskLost = true;
    this.restart(site, this.random.next() * 1_500);
  }

  private createId(address: string, isLater = false): string {
    this.nextDisk += 1;
    const id = `${address}${DISK_SEPARATOR}${this.nextDisk}`;
    if (isLater) this.replacedIds.add(id);
    return id;
  }

  private createHost(id: string): ControlHost {
    const from = addressOf(id);
    // A link leads to an address; the host there receives the message, whatever its member id.
    const send = (to: string, deliver: (host: ControlHost) => void) =>
      this.network.send(from, addressOf(to), () => {
        const target = this.sites.find((site) => site.address === addressOf(to));
        if (target) deliver(target.host);
      });
    return new ControlHost({
      id,
      timeline: this.timeline,
      random: this.random,
      voters: this.founders.some((founder) => founder.id === id) ? this.founders : [],
      tree: buildTree([OTARU]),
      clockRate: 1,
      snapshotEvery: 60,
      autoMembership: {
        targetVoters: requiredVoterCount(this.hostsLostAtOnce, this.founders.length),
        hostsLostAtOnce: this.hostsLostAtOnce,
      },
      onElected: (term) => this.checkTerm(term, id),
      sendRaft: (to, message) =>
        send(to, (host) => host.handle({ type: ControlEventType.RaftMessage, message })),
      sendSession: () => {},
      sendControl: (to, message) =>
        send(to, (host) => host.handle({ type: ControlEventType.ControlPeerMessage, message })),
    });
  }

  /** No two hosts may lead in one term, whatever became of their disks. */
  private checkTerm(term: number, id: string): void {
    const other = this.leaders.get(term);
    if (other !== undefined && other !== id) this.fail(`${other} and ${id} lead in term ${term}`);
    this.leaders.set(term, id);
  }

  /** Ids of the host before its disk was lost, as far as it has learned them. */
  private emptiedIdsOf(site: Site): string[] {
    const { host, address, emptiedIds } = site;
    const { state } = host.reducer.raft;
    if (!this.replacedIds.has(host.options.id)) return [];
    if (!shouldReportEmptied(state, this.timeline.nowMs)) return [];
    state.log.membership.voters
      .filter((voter) => voter.address === address && voter.id !== host.options.id)
      .forEach(({ id }) => emptiedIds.add(id));
    return [...emptiedIds];
  }

  /** Sends join requests periodically while the host of a site may not be a member. */
  private requestJoins(site: Site): void {
    this.timeline.after(JOIN_INTERVAL_MS, () => this.requestJoins(site));
    const { host, address } = site;
    const { state } = host.reducer.raft;
    const self = { id: host.options.id, address, port: 1 };
    if (host.alive) membersToInvite(state).forEach((member) => this.invite(self, member.address));
    if (!host.alive || !shouldRequestJoin(state, this.timeline.nowMs, site.startedAtMs)) return;
    const member = { id: host.options.id, address, port: 1 };
    const emptiedIds = this.emptiedIdsOf(site);
    const requesters = host.reducer.joinRequesters(this.timeline.nowMs);
    const targets = [...this.founders, ...requesters, ...state.log.membersExcept(member.id)];
    host.handle({ type: ControlEventType.Join, member, emptiedIds });
    new Set(targets.map((target) => target.address)).forEach((to) => {
      const target = this.sites.find((other) => other.address === to);
      if (!target || target === site) return;
      this.network.send(address, to, () => {
        if (!target.host.alive) return;
        target.host.handle({ type: ControlEventType.Join, member, emptiedIds });
        const { membership } = target.host.reducer.raft.state.log;
        this.network.send(to, address, () => {
          if (site.host !== host || !host.alive || membership.voters.length === 0) return;
          const { log } = host.reducer.raft.state;
          if (log.membership.voters.length === 0) log.adoptMembership(membership);
        });
      });
    });
  }

  /** Sends the join request of a leader to a member that it does not hear. */
  private invite(leader: Member, to: string): void {
    this.network.send(leader.address, to, () => {
      const target = this.sites.find((site) => site.address === to);
      if (target?.host.alive) target.host.handle({ type: ControlEventType.Join, member: leader });
    });
  }

  /** Sends a change and a read to every host that leads. */
  private operate(): void {
    this.timeline.after(this.random.next() * OPERATOR_INTERVAL_MS * 2, () => this.operate());
    this.sites
      .map(({ host }) => host)
      .filter((host) => host.alive && host.reducer.raft.isLeader)
      .forEach((host) => {
        this.read(host);
        this.change(host);
      });
  }

  /** Reads the routing; it must not be older than what was confirmed before. */
  private read(host: ControlHost): void {
    const { confirmed } = this;
    host.admin({ type: AdminRequestType.GetRouting }, hashToken(ADMIN_TOKEN), (body, error) => {
      const { version } = (body ?? { version: 0 }) as RoutingView;
      if (!error && version < confirmed) this.fail(`read ${version} after ${confirmed}`);
    });
  }

  private change(host: ControlHost): void {
    const base = host.reducer.replicatedState.routing.view.version;
    const version = Math.max(this.nextVersion, base + 1);
    this.nextVersion = version + 1;
    const request = {
      type: AdminRequestType.ChangeRouting,
      changeId: `change-${version}`,
      baseVersion: base,
      version,
      edit: { table: createTable() },
    } as const;
    host.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      if (error) return;
      this.confirmed = Math.max(this.confirmed, version);
      // Runs as an action of its own, since the host is handling an event.
      const { onConfirmed } = this;
      this.onConfirmed = undefined;
      if (onConfirmed) this.timeline.after(0, onConfirmed);
    });
  }

  private fail(detail: string): never {
    const { nowMs } = this.timeline;
    const text = `${detail} (seed ${this.options.seed}, ${nowMs.toFixed(0)} ms)`;
    throw new InvariantViolation(Invariant.ActiveConfig, text);
  }
}
