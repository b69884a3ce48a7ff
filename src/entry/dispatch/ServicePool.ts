import { TokenBucket } from '../../common/TokenBucket.js';
import type { CatalogEntry } from '../../common/SettingsTree.js';
import type { ServiceSettings } from '../../common/SettingsSchema.js';
import type { PoolStatus } from '../Types.js';
import type { BackendRecord } from './BackendRecord.js';
import type { CallRecord } from './CallRecord.js';
import { FairQueue } from './FairQueue.js';
import { LatencyWindow } from './LatencyWindow.js';
import { POLICIES, type Policy } from './Policies.js';
import { Quarantine } from './Quarantine.js';

/** Retries, and hedges, that a service may make in one burst after a time without any. */
const BUDGET_BURST = 10;

const MS_PER_SECOND = 1_000;

/** Weight of the newest answer in the service's failure rate. */
const FAILURE_GAIN = 0.02;

/** State of one service at one entry host: backend servers, queue, budgets, statistics. */
export class ServicePool {
  readonly service: string;

  settings: ServiceSettings;

  policy: Policy;

  private openZones: ReadonlySet<string>;

  /** Backend servers whose leases this host holds, or, without leases, all that were reported. */
  readonly records = new Map<string, BackendRecord>();

  readonly queue: FairQueue<CallRecord>;

  readonly quarantine = new Quarantine();

  readonly latency: LatencyWindow;

  readonly retryBudget = new TokenBucket({ capacity: BUDGET_BURST, initialTokens: BUDGET_BURST });

  readonly hedgeBudget = new TokenBucket({ capacity: BUDGET_BURST, initialTokens: 1 });

  /** Share of server errors among the answers of the whole service. */
  failureRate = 0;

  /** True if the last selection found a leased server that is not a straggler. */
  hasNonStraggler = false;

  roundRobinCursor = 0;

  constructor(entry: CatalogEntry) {
    this.service = entry.service;
    this.settings = entry.settings;
    this.policy = POLICIES[entry.settings.policy];
    this.openZones = new Set(entry.openZones);
    this.queue = new FairQueue(entry.settings.queueMax);
    this.latency = new LatencyWindow(entry.settings.hedgeQuantile);
  }

  /** Applies new settings; backend servers in a reopened availability zone restart cold. */
  update(entry: CatalogEntry): void {
    const reopened = entry.openZones.filter((zone) => !this.openZones.has(zone));
    this.records.forEach((record) => {
      if (reopened.includes(record.availabilityZone)) record.limit.restart();
    });
    this.queue.capacity = entry.settings.queueMax;
    this.settings = entry.settings;
    this.policy = POLICIES[entry.settings.policy];
    this.openZones = new Set(entry.openZones);
  }

  /** True if the backend server's availability zone accepts new calls. */
  isOpen(record: BackendRecord): boolean {
    return this.openZones.has(record.availabilityZone);
  }

  /** Slots that a new call could take now. */
  freeSlots(nowMs: number): number {
    let free = 0;
    for (const record of this.records.values()) {
      if (this.isOpen(record)) free += record.freeSlots(nowMs);
    }
    return free;
  }

  /** Sum of the concurrency limits of the backend servers in use. */
  totalLimit(nowMs: number): number {
    let total = 0;
    for (const record of this.records.values()) {
      if (this.isOpen(record) && record.isLeased(nowMs)) total += record.effectiveLimit;
    }
    return total;
  }

  /** True if this host may dispatch to at least one backend server. */
  isServing(nowMs: number): boolean {
    return this.totalLimit(nowMs) > 0;
  }

  /**
   * Expected wait of a new call for a slot, from the recent mean latency. Ahead of it are the
   * caller's own queued calls and as many of each other caller, at most the whole queue.
   */
  expectedWaitMs(callerId: string): number {
    let limit = 0;
    let perSecond = 0;
    for (const record of this.records.values()) {
      limit += record.effectiveLimit;
      perSecond += record.requestsPerSecond;
    }
    const ahead = this.queue.aheadOf(callerId) + 1;
    const slotWaitMs = (this.latency.meanMs * ahead) / Math.max(1, limit);
    return perSecond > 0 ? Math.max(slotWaitMs, (ahead * MS_PER_SECOND) / perSecond) : slotWaitMs;
  }

  /** Longest expected wait at which a call is still queued. */
  maxWaitMs(): number {
    const { meanMs } = this.latency;
    const { queueWaitRatio, queueWaitFloorMs } = this.settings;
    return Math.max(queueWaitFloorMs, meanMs * queueWaitRatio);
  }

  status(nowMs: number): PoolStatus {
    return {
      freeSlots: this.freeSlots(nowMs),
      slots: this.totalLimit(nowMs),
      queued: this.queue.length,
    };
  }

  /** Adds one answer to the service's failure rate. */
  recordFailure(failed: boolean): void {
    this.failureRate += FAILURE_GAIN * ((failed ? 1 : 0) - this.failureRate);
  }
}
