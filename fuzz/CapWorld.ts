import { LevelBucket } from '../src/common/caps/LevelBucket.js';
import { capOfWindow } from '../src/common/caps/AdmittedShare.js';
import type { CapLimit } from '../src/common/caps/Types.js';
import { createRandom, pickIndex, type RandomSource } from '../src/common/Random.js';
import type { Customer } from '../src/common/routing/Types.js';
import type { UsageShareMessage, UsageUpdateMessage } from '../src/common/Messages.js';
import { ControlMessageType } from '../src/common/Messages.js';
import { UsageFlow } from '../src/control/caps/UsageFlow.js';
import { UsageCaps } from '../src/gateway/caps/UsageCaps.js';
import {
  CapApproach,
  CapFault,
  MODEL_BOUNDS,
  NO_USAGE,
  type CapWorldOptions,
  type CapWorldResult,
  type ModelGateway,
} from './CapWorldTypes.js';

const CONTROL_HOSTS = 8;
const REPORT_INTERVAL_MS = 100;
const HEARTBEAT_MS = 800;
const TICK_MS = 20;
/** Start of the calls, once all gateways have an update. */
const CALLS_FROM_MS = 1_000;
const SURGE_AT_MS = 15_000;
const SURGE_MS = 8_000;
const FAULT_AT_MS = 14_000;
const FAULT_MS = 6_000;
const PAUSE_MS = 2_500;
const RETRIES = 2;

class World {
  private readonly random: RandomSource;

  private readonly queue = new Map<number, (() => void)[]>();

  private nowMs = 0;

  private readonly customers: Customer[] = [];

  private readonly limits: CapLimit[] = [];

  private readonly gateways: ModelGateway[] = [];

  private controls: { flow: UsageFlow; isDead: boolean }[] = [];

  private readonly sessions = new Map<number, ModelGateway>();

  private nextSessionId = 1;

  private readonly admittedAt: number[][] = [];

  private readonly exact: LevelBucket[] = [];

  private counts = { wrong: 0, refused: 0, calls: 0, others: 0, messages: 0, bytes: 0 };

  private readonly approach: CapApproach;

  private readonly durationMs: number;

  constructor(private readonly options: CapWorldOptions) {
    this.random = createRandom(options.seed);
    this.approach = options.approach ?? CapApproach.Levels;
    this.durationMs = options.durationMs ?? 32_000;
    const count = options.customers ?? 83;
    const [largest, smallest] = options.rates ?? [190, 5];
    for (let index = 0; index < count; index += 1) {
      const rate = Math.max(smallest, largest / (index + 1));
      this.customers.push({ name: `c${index}`, keys: [], ratePerSecond: rate, burst: rate });
      this.limits.push({ ratePerSecond: rate, burst: rate });
      this.admittedAt.push([]);
      this.exact.push(new LevelBucket({ ratePerSecond: rate, burst: rate }, 0));
    }
    for (let id = 0; id < CONTROL_HOSTS; id += 1) this.startControl(id);
    for (let id = 0; id < options.gateways; id += 1) {
      this.gateways.push({
        id,
        caps: this.createCaps(),
        control: id % CONTROL_HOSTS,
        sessionId: 0,
        isCut: false,
        isDead: false,
        pausedUntilMs: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
        shareBuckets: new Map(),
        recent: new Map(),
      });
      this.link(this.gateways[id]!, id % CONTROL_HOSTS);
    }
  }

  run(): CapWorldResult {
    this.at(CALLS_FROM_MS, () => this.customers.forEach((_, index) => this.scheduleArrival(index)));
    if (this.options.fault) this.at(FAULT_AT_MS, () => this.beginFault());
    for (; this.nowMs < this.durationMs; this.nowMs += 1) {
      const due = this.queue.get(this.nowMs);
      this.queue.delete(this.nowMs);
      due?.forEach((run) => run());
      if (this.approach === CapApproach.Levels) this.tickLevels();
      if (this.approach === CapApproach.DemandShares && this.nowMs % 200 === 0) this.shareDemand();
    }
    return this.result();
  }

  private at(atMs: number, run: () => void): void {
    const ms = Math.max(this.nowMs + 1, Math.round(atMs));
    const list = this.queue.get(ms);
    if (list) list.push(run);
    else this.queue.set(ms, [run]);
  }

  private delay(): number {
    return 2 + this.random.next() * 58;
  }

  private send(message: object, deliver: () => void): void {
    this.counts.messages += 1;
    this.counts.bytes += JSON.stringify(message).length;
    this.at(this.nowMs + this.delay(), deliver);
  }

  private createCaps(): UsageCaps {
    const caps = new UsageCaps({
      bounds: MODEL_BOUNDS,
      random: this.random,
      gatewayCount: () => this.options.gateways,
    });
    caps.setCustomers(this.customers);
    return caps;
  }

  private startControl(id: number): void {
    const flow = new UsageFlow({
      bounds: MODEL_BOUNDS,
      selfId: String(id),
      peerIds: () => this.controls.map((_, peer) => String(peer)).filter((p) => p !== String(id)),
      sendControl: (to, message) => this.sendControl(id, Number(to), message),
      broadcast: (sessionIds, message) => this.broadcast(id, flow, sessionIds, message),
      hasQuorum: () => this.controls.filter(({ isDead }) => !isDead).length > CONTROL_HOSTS / 2,
      log: () => {},
      gatewayIdOf: (sessionId) => String(this.sessions.get(sessionId)?.id),
      gatewayIds: () =>
        new Set(
          this.gateways
            .filter(({ isCut, isDead }) => !isCut && !isDead)
            .map((gateway) => String(gateway.id)),
        ),
    });
    flow.setCustomers(this.customers, this.nowMs);
    this.controls[id] = { flow, isDead: false };
  }

  private sendControl(from: number, to: number, message: UsageShareMessage): void {
    if (this.controls[from]?.isDead || this.controls[to]?.isDead) return;
    this.send(message, () => {
      if (!this.controls[to]!.isDead) this.controls[to]!.flow.onShare(message, this.nowMs);
    });
  }

  private broadcast(
    control: number,
    flow: UsageFlow,
    sessionIds: readonly number[],
    message: UsageUpdateMessage,
  ): void {
    sessionIds.forEach((sessionId) => {
      const gateway = this.sessions.get(sessionId);
      if (!gateway || gateway.sessionId !== sessionId || gateway.isCut) return;
      this.send(message, () => {
        const isLive = !gateway.isCut && !gateway.isDead && this.controls[control]!.flow === flow;
        if (isLive)
          this.whenRunning(gateway, () => gateway.caps.applyUpdate(message.levels, this.nowMs));
      });
    });
  }

  private whenRunning(gateway: ModelGateway, run: () => void): void {
    if (gateway.pausedUntilMs > this.nowMs) this.at(gateway.pausedUntilMs, run);
    else run();
  }

  private link(gateway: ModelGateway, control: number): void {
    gateway.control = control;
    gateway.sessionId = this.nextSessionId;
    this.nextSessionId += 1;
    gateway.reportedAtMs = Number.NEGATIVE_INFINITY;
    this.sessions.set(gateway.sessionId, gateway);
  }

  private tickLevels(): void {
    this.controls.forEach(({ flow, isDead }, id) => {
      if (!isDead && this.nowMs % TICK_MS === (id * 3) % TICK_MS) flow.tick(this.nowMs);
    });
    this.gateways.forEach((gateway) => {
      if (this.nowMs % REPORT_INTERVAL_MS !== (gateway.id * 7) % REPORT_INTERVAL_MS) return;
      if (gateway.isCut || gateway.isDead || gateway.pausedUntilMs > this.nowMs) return;
      this.report(gateway);
    });
  }

  private report(gateway: ModelGateway): void {
    const control = this.controls[gateway.control]!;
    if (control.isDead) {
      // A lost link is noticed at the next report.
      const live = this.controls.flatMap(({ isDead }, id) => (isDead ? [] : [id]));
      if (live.length > 0) this.link(gateway, live[pickIndex(this.random, live.length)]!);
      return;
    }
    const isBeat = this.nowMs - gateway.reportedAtMs >= HEARTBEAT_MS;
    const usage = gateway.caps.takeReport() ?? (isBeat ? NO_USAGE : undefined);
    if (!usage) return;
    gateway.reportedAtMs = this.nowMs;
    const message = { type: ControlMessageType.UsageReport, startedAtMs: 0, usage } as const;
    const { sessionId } = gateway;
    this.send(message, () => {
      if (!control.isDead && !gateway.isCut) control.flow.onReport(sessionId, message, this.nowMs);
    });
  }

  private scheduleArrival(index: number): void {
    const { surgeCustomer, surgeFactor = 1, usualShare = 0.5 } = this.options;
    const isSurge =
      index === surgeCustomer && this.nowMs >= SURGE_AT_MS && this.nowMs < SURGE_AT_MS + SURGE_MS;
    const perSecond = this.limits[index]!.ratePerSecond * usualShare * (isSurge ? surgeFactor : 1);
    // Steps of at most 100 ms follow a change of the rate.
    const gapMs = (-Math.log(1 - this.random.next()) / perSecond) * 1_000;
    this.fraction[index] = (this.fraction[index] ?? this.nowMs) + Math.min(gapMs, 100);
    this.at(this.fraction[index]!, () => {
      if (gapMs <= 100) this.call(index, 0);
      this.scheduleArrival(index);
    });
  }

  /** Exact arrival times, in milliseconds with a fraction. */
  private readonly fraction: number[] = [];

  private call(index: number, attempt: number): void {
    const live = this.gateways.filter(({ isDead }) => !isDead);
    const gateway = live[pickIndex(this.random, live.length)]!;
    this.whenRunning(gateway, () => this.decide(gateway, index, attempt));
  }

  private decide(gateway: ModelGateway, index: number, attempt: number): void {
    const { nowMs } = this;
    const exact = this.exact[index]!;
    const isBelow = exact.level(nowMs) >= 1;
    this.counts.calls += 1;
    const { admitted, retryAfterMs } = this.admit(gateway, index);
    if (admitted) {
      exact.spend(1, nowMs);
      this.admittedAt[index]!.push(nowMs);
      return;
    }
    this.counts.refused += 1;
    if (isBelow) this.counts.wrong += 1;
    if (index !== this.options.surgeCustomer) this.counts.others += 1;
    if (attempt < RETRIES) this.at(nowMs + retryAfterMs, () => this.call(index, attempt + 1));
  }

  private admit(gateway: ModelGateway, index: number): { admitted: boolean; retryAfterMs: number } {
    const { name: customer } = this.customers[index]!;
    const { nowMs } = this;
    switch (this.approach) {
      case CapApproach.Levels: {
        const verdict = gateway.caps.admit({ customer, nowMs });
        return {
          admitted: verdict.admitted,
          retryAfterMs: verdict.admitted ? 0 : verdict.retryAfterMs,
        };
      }
      case CapApproach.Holder: {
        this.counts.messages += 2;
        this.counts.bytes += 120;
        const isRefused = gateway.isCut || this.exact[index]!.level(nowMs) < 1;
        return { admitted: !isRefused, retryAfterMs: 1_000 };
      }
      default: {
        gateway.recent.set(customer, (gateway.recent.get(customer) ?? 0) + 1);
        let bucket = gateway.shareBuckets.get(customer);
        if (!bucket) {
          const { ratePerSecond, burst } = this.limits[index]!;
          const share = 1 / this.options.gateways;
          bucket = new LevelBucket(
            { ratePerSecond: ratePerSecond * share, burst: Math.max(1, burst * share) },
            nowMs,
          );
          gateway.shareBuckets.set(customer, bucket);
        }
        if (bucket.level(nowMs) < 1) return { admitted: false, retryAfterMs: 1_000 };
        bucket.spend(1, nowMs);
        return { admitted: true, retryAfterMs: 0 };
      }
    }
  }

  /** Sets shares by recent demand; the exchange counts as one message each way. */
  private shareDemand(): void {
    this.limits.forEach(({ ratePerSecond, burst }, index) => {
      const customer = this.customers[index]!.name;
      const total = this.gateways.reduce((sum, { recent }) => sum + (recent.get(customer) ?? 0), 0);
      this.gateways.forEach((gateway) => {
        const bucket = gateway.shareBuckets.get(customer);
        const own = gateway.recent.get(customer) ?? 0;
        gateway.recent.set(customer, own * 0.8);
        if (!bucket || gateway.isCut || total === 0) return;
        const share = (0.8 * own) / total + 0.2 / this.gateways.length;
        const limit = { ratePerSecond: ratePerSecond * share, burst: Math.max(1, burst * share) };
        bucket.setLimit(limit, this.nowMs);
      });
    });
    this.counts.messages += 2 * this.gateways.length;
    this.counts.bytes += 400 * this.gateways.length;
  }

  private beginFault(): void {
    const gateways = this.gateways.filter(({ id }) => id % 4 === 0);
    const first = this.gateways[0]!;
    const endMs = this.nowMs + FAULT_MS;
    const handlers: Record<CapFault, () => void> = {
      [CapFault.GatewayKilled]: () => this.killGateway(first, endMs),
      [CapFault.GatewayCut]: () => this.cut([first], endMs),
      [CapFault.GatewayPaused]: () => {
        first.pausedUntilMs = this.nowMs + PAUSE_MS;
      },
      [CapFault.ZoneCut]: () => this.cut(gateways, endMs),
      [CapFault.ControlKilled]: () => this.killControls([0], endMs),
      [CapFault.AllControlRestarted]: () =>
        this.killControls(
          this.controls.map((_, id) => id),
          this.nowMs + 3_000,
        ),
    };
    handlers[this.options.fault!]();
  }

  private killGateway(gateway: ModelGateway, endMs: number): void {
    gateway.isDead = true;
    this.controls[gateway.control]!.flow.closeSession(gateway.sessionId);
    this.at(endMs, () => {
      gateway.isDead = false;
      gateway.caps = this.createCaps();
      this.link(gateway, gateway.control);
    });
  }

  private cut(gateways: readonly ModelGateway[], endMs: number): void {
    gateways.forEach((gateway) => {
      gateway.isCut = true;
      this.controls[gateway.control]!.flow.closeSession(gateway.sessionId);
      this.at(endMs, () => {
        gateway.isCut = false;
        this.link(gateway, gateway.control);
      });
    });
  }

  private killControls(ids: readonly number[], endMs: number): void {
    ids.forEach((id) => {
      this.controls[id]!.isDead = true;
    });
    this.at(endMs, () => {
      ids.forEach((id) => this.startControl(id));
      this.controls.forEach(({ flow, isDead }) => {
        if (!isDead) ids.forEach((id) => flow.onControlLink(String(id), this.nowMs));
      });
    });
  }

  private result(): CapWorldResult {
    let worstWindow = 0;
    this.limits.forEach((limit, index) => {
      const times = this.admittedAt[index]!;
      const { overshootRatio, slackCalls, windowMs } = MODEL_BOUNDS;
      const bound = capOfWindow(limit, MODEL_BOUNDS) * (1 + overshootRatio) + slackCalls;
      let first = 0;
      times.forEach((atMs, last) => {
        while (times[first]! <= atMs - windowMs) first += 1;
        worstWindow = Math.max(worstWindow, (last - first + 1) / bound);
      });
    });
    const { wrong, refused, calls, others, messages, bytes } = this.counts;
    const seconds = this.durationMs / 1_000;
    return {
      worstWindow,
      wronglyRefused: wrong,
      refused,
      calls,
      refusedOthers: others,
      messagesPerSecond: messages / seconds,
      bytesPerSecond: bytes / seconds,
    };
  }
}

/** Runs the accounting of gateways and control hosts in virtual time. */
export function runCapWorld(options: CapWorldOptions): CapWorldResult {
  const world = new World(options);
  return world.run();
}
