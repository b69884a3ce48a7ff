import type { Server } from 'node:http';
import { Counter, type Registry } from 'prom-client';
import type { Disposable } from '../common/Disposable.js';
import { ConnectionGuard, type EndedConnection } from './ConnectionGuard.js';
import { GarbageLimit } from './GarbageLimit.js';
import { addGauge } from './Gauges.js';
import { MemoryBudget } from './MemoryBudget.js';

/** Use of a listening port. */
export enum PortUse {
  Callers = 'callers',
  /** Calls that other entry hosts forward. */
  Peers = 'peers',
  Operators = 'operators',
  Directory = 'directory',
  Readiness = 'readiness',
  Metrics = 'metrics',
  /** Links between hosts, until they are authenticated. */
  Links = 'links',
  Administration = 'administration',
}

/** Limits of a port. */
interface PortLimits {
  /** Share of the descriptors for its connections; the rest is for those that the process opens. */
  readonly share: number;
  /** Requests of one connection that may be without a complete answer. */
  readonly requestsMax: number;
}

/**
 * Callers' connections end in order long before (`REQUESTS_AHEAD_MAX`). No client of the other ports
 * sends more than eight requests at once.
 */
const PORT_LIMITS: Readonly<Record<PortUse, PortLimits>> = {
  [PortUse.Callers]: { share: 1 / 2, requestsMax: 1_000 },
  [PortUse.Peers]: { share: 1 / 16, requestsMax: 100 },
  [PortUse.Operators]: { share: 1 / 2, requestsMax: 100 },
  [PortUse.Directory]: { share: 1 / 16, requestsMax: 100 },
  [PortUse.Readiness]: { share: 1 / 32, requestsMax: 100 },
  [PortUse.Metrics]: { share: 1 / 32, requestsMax: 20 },
  [PortUse.Links]: { share: 1 / 16, requestsMax: 20 },
  [PortUse.Administration]: { share: 1 / 16, requestsMax: 100 },
};

/** Memory of the smallest machine in use, assumed without the setting. */
export const DEFAULT_MEMORY_MB = 250;

/** Descriptors of a process on the machines in use, assumed without the setting. */
export const DEFAULT_OPEN_FILES_MAX = 4_100;

/** Descriptors that are kept for files and for the runtime's own use. */
const RESERVED_FILES = 200;

/**
 * Share of the memory that clients may hold. A process without clients takes a quarter of the smallest
 * machine, and the heap grows by a multiple of what is held before garbage is collected.
 */
const MEMORY_SHARE = 1 / 5;

/** Share of the memory that buffers may take beside those in use before garbage is collected. */
const GARBAGE_SHARE = 1 / 5;

const BYTES_PER_MB = 1_024 * 1_024;

/** Interval of the checks for what grows without a request, such as unread answers. */
const CHECK_INTERVAL_MS = 100;

/** Gives the connections of a server their limits. */
export type ProtectServer = (server: Server, use: PortUse) => void;

/** Options of {@link ProcessLimits}. */
export interface ProcessLimitsOptions {
  readonly memoryMb?: number;
  readonly openFilesMax?: number;
  /** Called with each connection that is ended for a limit. */
  readonly onEnded: (use: PortUse, ended: EndedConnection) => void;
}

/**
 * Limits of a process for what its clients make it hold: one budget of memory for all ports, and a
 * share of the descriptors for each.
 *
 * @example
 * const limits = new ProcessLimits({ memoryMb: 250, onEnded: () => {} });
 * limits.protect(server, PortUse.Callers);
 */
export class ProcessLimits implements Disposable {
  private readonly budget: MemoryBudget;

  private readonly openFilesMax: number;

  private readonly timer: NodeJS.Timeout;

  private readonly ended = new Counter({
    name: 'egret_connections_ended_total',
    help: 'Connections that were ended for a limit, by port and limit.',
    labelNames: ['port', 'limit'],
    registers: [],
  });

  constructor(private readonly options: ProcessLimitsOptions) {
    const { memoryMb = DEFAULT_MEMORY_MB, openFilesMax = DEFAULT_OPEN_FILES_MAX } = options;
    this.openFilesMax = openFilesMax;
    const memoryBytes = memoryMb * BYTES_PER_MB;
    const garbage = new GarbageLimit({ limitBytes: memoryBytes * GARBAGE_SHARE });
    this.budget = new MemoryBudget({
      limitBytes: memoryBytes * MEMORY_SHARE,
      onChecked: (heldBytes) => garbage.check(heldBytes),
    });
    this.timer = setInterval(() => this.budget.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Open connections of clients at all ports; those that became links have limits of their own. */
  get connections(): number {
    return this.budget.size;
  }

  /** Adds the metrics of the limits. */
  register(registry: Registry): void {
    registry.registerMetric(this.ended);
    addGauge(
      registry,
      'egret_client_held_bytes',
      'Memory that clients made this process hold, at the last check.',
      () => this.budget.heldBytes,
    );
    addGauge(
      registry,
      'egret_client_connections',
      'Open connections of clients at all ports, without links.',
      () => this.connections,
    );
  }

  readonly protect: ProtectServer = (server, use) => {
    const { share, requestsMax } = PORT_LIMITS[use];
    const files = Math.max(0, this.openFilesMax - RESERVED_FILES);
    const guard = {
      server,
      budget: this.budget,
      connectionsMax: Math.max(1, Math.floor(files * share)),
      requestsMax,
      onEnded: (ended: EndedConnection) => {
        this.ended.inc({ port: use, limit: ended.limit });
        this.options.onEnded(use, ended);
      },
    };
    // The guard lives as long as its server.
    // eslint-disable-next-line no-new
    new ConnectionGuard(guard);
  };

  dispose(): void {
    clearInterval(this.timer);
  }
}
