import { limitsOf, type CapBounds } from '../../common/caps/Types.js';
import {
  ControlMessageType,
  type UsageReportMessage,
  type UsageShareMessage,
  type UsageUpdateMessage,
} from '../../common/Messages.js';
import type { Customer } from '../../common/routing/Types.js';
import { AbsentGateways } from './AbsentGateways.js';
import { UsageSums } from './UsageSums.js';

/** Options of a {@link UsageFlow}. */
export interface UsageFlowOptions {
  readonly bounds: CapBounds;
  readonly selfId: string;
  /** Other control hosts, which share their usage counts. */
  readonly peerIds: () => readonly string[];
  readonly sendControl: (to: string, message: UsageShareMessage) => void;
  readonly broadcast: (sessionIds: readonly number[], message: UsageUpdateMessage) => void;
  /** True while this host belongs to a connected majority. */
  readonly hasQuorum: () => boolean;
  /** Id of the gateway of a session. */
  readonly gatewayIdOf: (sessionId: number) => string | undefined;
  /** Ids of the gateways with a session at any control host. */
  readonly gatewayIds: () => ReadonlySet<string>;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/**
 * Interval of the shares between control hosts while counts change, and of those that only show
 * the levels. The first is short because it adds to the age of every level.
 */
const SHARE_INTERVAL_MS = 60;
const SHARE_IDLE_MS = 500;

/**
 * Interval of the shares while no customer is near its cap: counts only show then that one is about
 * to be, and each message goes to every other control host, most of them in other zones.
 */
const SHARE_CALM_MS = 180;

/** Interval of updates while a customer is near its cap, and of those that keep updates alive. */
const UPDATE_INTERVAL_MS = 100;
const UPDATE_IDLE_MS = 400;

/** Time without a report after which a session receives no more updates. */
const REPORTER_TTL_MS = 2_000;

/** Usage of customers at one control host: sums the reports and informs gateways of the levels. */
export class UsageFlow {
  /** Sessions that report usage, with the time of their last report. */
  private readonly reporters = new Map<number, number>();

  private readonly absent: AbsentGateways;

  private sums: UsageSums | undefined;

  private customers: readonly Customer[] | undefined;

  private startedAtMs = 0;

  private nowMs = 0;

  private sharedAtMs = 0;

  /** Time of the last share with levels, which only control hosts that have just started need. */
  private levelsSharedAtMs = 0;

  private updatedAtMs = 0;

  private countedAtMs = 0;

  private hasAbsent = false;

  constructor(private readonly options: UsageFlowOptions) {
    this.absent = new AbsentGateways({
      usualPerSecond: (customer, nowMs) => this.at(nowMs).usualPerSecond(customer, nowMs),
    });
  }

  /** Applies the customers of the routing in force. */
  setCustomers(customers: readonly Customer[], nowMs: number): void {
    if (customers === this.customers) return;
    this.customers = customers;
    this.at(nowMs).setLimits(limitsOf(customers, this.options.bounds), nowMs);
  }

  onReport(sessionId: number, message: UsageReportMessage, nowMs: number): void {
    const sums = this.at(nowMs);
    if (!this.reporters.has(sessionId)) this.sendLevels([sessionId], sums, nowMs);
    this.reporters.set(sessionId, nowMs);
    sums.noteReport(UsageFlow.senderOf(sessionId), message.usage, nowMs);
    const gatewayId = this.options.gatewayIdOf(sessionId);
    if (gatewayId !== undefined) this.absent.noteReport(gatewayId, message.usage, nowMs);
  }

  onShare({ from, startedAtMs, usage, levels }: UsageShareMessage, nowMs: number): void {
    this.at(nowMs).noteShare(`${from}@${startedAtMs}`, usage, levels, nowMs);
  }

  closeSession(sessionId: number): void {
    this.reporters.delete(sessionId);
    this.sums?.forget(UsageFlow.senderOf(sessionId));
  }

  /** Sends all totals to a control host whose link has just opened; earlier ones may be lost. */
  onControlLink(memberId: string, nowMs: number): void {
    this.levelsSharedAtMs = Number.NEGATIVE_INFINITY;
    this.options.sendControl(memberId, this.shareOf(this.at(nowMs).wholeShare(), nowMs));
  }

  tick(nowMs: number): void {
    const sums = this.at(nowMs);
    if (!sums.hasLimits) return;
    if (nowMs - this.sharedAtMs >= UsageFlow.shareIntervalMs(sums, nowMs)) {
      this.countAbsent(sums);
      this.sharedAtMs = nowMs;
      const message = this.shareOf(sums.takeShare(), nowMs);
      this.options.peerIds().forEach((id) => this.options.sendControl(id, message));
    }
    this.sendUpdate(sums);
  }

  /** Interval of the shares: short only while a decision depends on the age of the levels. */
  private static shareIntervalMs(sums: UsageSums, nowMs: number): number {
    if (!sums.hasChanges) return SHARE_IDLE_MS;
    return sums.hasUrgent(nowMs) ? SHARE_INTERVAL_MS : SHARE_CALM_MS;
  }

  /** Counts what gateways without a session are assumed to admit from their own allowance. */
  private countAbsent(sums: UsageSums): void {
    const { nowMs } = this;
    const elapsedMs = nowMs - this.countedAtMs;
    this.countedAtMs = nowMs;
    if (this.absent.isEmpty) return;
    sums.takeBack(this.absent.update(this.options.gatewayIds(), nowMs), nowMs);
    const parts = this.absent.lostParts();
    this.absent.noteAssumed(sums.noteAbsent(parts, elapsedMs, nowMs), parts);
    if (parts.size > 0 !== this.hasAbsent) {
      this.hasAbsent = parts.size > 0;
      if (this.hasAbsent) this.options.log('gateways_absent', { customers: parts.size });
    }
  }

  private sendUpdate(sums: UsageSums): void {
    const { nowMs } = this;
    if (nowMs - this.updatedAtMs < UPDATE_INTERVAL_MS) return;
    if (!sums.hasUrgent(nowMs) && nowMs - this.updatedAtMs < UPDATE_IDLE_MS) return;
    this.updatedAtMs = nowMs;
    this.reporters.forEach((reportedAtMs, sessionId) => {
      if (nowMs - reportedAtMs > REPORTER_TTL_MS) this.reporters.delete(sessionId);
    });
    this.sendLevels([...this.reporters.keys()], sums, nowMs);
  }

  /** Sends the levels, unless other control hosts may count calls that this one does not know. */
  private sendLevels(sessionIds: readonly number[], sums: UsageSums, nowMs: number): void {
    if (sessionIds.length === 0 || !this.options.hasQuorum()) return;
    const message = { type: ControlMessageType.UsageUpdate, levels: sums.update(nowMs) } as const;
    this.options.broadcast(sessionIds, message);
  }

  private shareOf(usage: UsageShareMessage['usage'], nowMs: number): UsageShareMessage {
    const sums = this.at(nowMs);
    const none = { customers: [], levels: [], demand: [] };
    const sendsLevels = nowMs - this.levelsSharedAtMs >= SHARE_IDLE_MS && sums.isComplete(nowMs);
    if (sendsLevels) this.levelsSharedAtMs = nowMs;
    return {
      type: ControlMessageType.UsageShare,
      from: this.options.selfId,
      startedAtMs: this.startedAtMs,
      usage,
      levels: sendsLevels ? sums.update(nowMs) : none,
    };
  }

  private at(nowMs: number): UsageSums {
    this.nowMs = nowMs;
    if (!this.sums) {
      this.startedAtMs = nowMs;
      this.countedAtMs = nowMs;
      this.sums = new UsageSums(this.options.bounds, nowMs);
    }
    return this.sums;
  }

  private static senderOf(sessionId: number): string {
    return `session ${sessionId}`;
  }
}
