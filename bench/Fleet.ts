import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { SettingsTree } from '../src/common/SettingsSchema.js';
import { AdminClient } from '../src/ctl/AdminClient.js';
import type { EntryAddress } from '../standin/Announcer.js';
import { reservePorts } from '../standin/Cluster.js';
import { ADMIN_TOKEN } from '../standin/Deployments.js';
import type { LinkTraffic } from '../src/runtime/MessageClient.js';
import { Worker } from './workers/Worker.js';
import {
  WorkerRole,
  type BackendFigures,
  type BackendSpec,
  type BenchControlHost,
} from './workers/Protocol.js';

/** Options of a {@link Fleet}. */
export interface FleetOptions {
  readonly tree: SettingsTree;
  readonly zones: readonly string[];
  readonly controlHosts: number;
  readonly entryHosts: number;
  readonly entryProcesses: number;
  readonly backends: readonly BackendSpec[];
  readonly loadProcesses: number;
}

/** Status of the entry hosts of one process. */
export interface EntriesStatus {
  readonly leased: number;
  readonly hosts: readonly { readonly current: boolean; readonly settingsIndex: number }[];
}

const LOCALHOST = '127.0.0.1';
const POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** Complete system in several processes on this machine. */
export class Fleet {
  readonly controls: Worker[] = [];

  readonly entries: Worker[] = [];

  readonly loads: Worker[] = [];

  backends!: Worker;

  seeds: EntryAddress[] = [];

  backendPorts: number[] = [];

  adminAddresses: string[] = [];

  private folder = '';

  private constructor(private readonly options: FleetOptions) {}

  /** Starts every process and waits until every backend server is leased. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    await fleet.startControls();
    await fleet.startEntries();
    fleet.backends = new Worker(WorkerRole.Backends);
    fleet.backendPorts = await fleet.backends.call('start', {
      specs: options.backends,
      seeds: fleet.seeds,
    });
    for (let index = 0; index < options.loadProcesses; index += 1) {
      fleet.loads.push(new Worker(WorkerRole.Load));
    }
    const announcingCount = options.backends.filter((spec) => spec.announces).length;
    await fleet.waitLeased(announcingCount);
    return fleet;
  }

  adminClient(): AdminClient {
    return new AdminClient({ addresses: this.adminAddresses, token: ADMIN_TOKEN });
  }

  async entriesStatus(): Promise<EntriesStatus> {
    const parts = await Promise.all(
      this.entries.map((worker) => worker.call<EntriesStatus>('status')),
    );
    return {
      leased: parts.reduce((sum, part) => sum + part.leased, 0),
      hosts: parts.flatMap((part) => part.hosts),
    };
  }

  /** Sums the counters of all entry hosts. */
  async counters(): Promise<Record<string, number>> {
    const parts = await Promise.all(
      this.entries.map((worker) => worker.call<Record<string, number>>('counters')),
    );
    const totals: Record<string, number> = {};
    parts.forEach((part) =>
      Object.entries(part).forEach(([name, value]) => {
        totals[name] = (totals[name] ?? 0) + value;
      }),
    );
    return totals;
  }

  /** Highest event loop utilization of each kind of process since the last reading. */
  async utilizations(): Promise<Record<string, number>> {
    const highest = async (workers: readonly Worker[]) => {
      const figures = await Promise.all(workers.map((worker) => worker.figures()));
      return Math.max(...figures.map((item) => item.utilization));
    };
    return {
      entriesBusy: await highest(this.entries),
      backendsBusy: await highest([this.backends]),
      loadBusy: await highest(this.loads),
    };
  }

  /** Traffic between all entry hosts and the control hosts. */
  async controlTraffic(): Promise<LinkTraffic> {
    const parts = await Promise.all(
      this.entries.map((worker) => worker.call<LinkTraffic>('controlTraffic')),
    );
    return {
      bytes: parts.reduce((sum, part) => sum + part.bytes, 0),
      messages: parts.reduce((sum, part) => sum + part.messages, 0),
    };
  }

  /** Lowest revision that the control hosts have applied. */
  async revision(): Promise<number> {
    const states = await Promise.all(
      this.controls.map((worker) => worker.call<{ revision: number }>('status')),
    );
    return Math.min(...states.map((state) => state.revision));
  }

  get controlPorts(): number[] {
    return this.voters.map((voter) => voter.port);
  }

  backendFigures(): Promise<BackendFigures[]> {
    return this.backends.call('figures');
  }

  async waitLeased(count: number): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      // The loop polls the status.
      // eslint-disable-next-line no-await-in-loop
      const status = await this.entriesStatus();
      if (status.leased >= count && status.hosts.every((host) => host.current)) return;
      if (performance.now() > untilMs) throw new Error(`only ${status.leased} of ${count} leased`);
      // eslint-disable-next-line no-await-in-loop
      await delay(POLL_MS);
    }
  }

  async stop(): Promise<void> {
    const workers = [...this.loads, this.backends, ...this.entries, ...this.controls];
    await Promise.all(workers.map((worker) => worker.kill()));
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startControls(): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), 'egret-bench-'));
    const ports = await reservePorts(this.options.controlHosts);
    this.voters = ports.map((port, index) => ({
      id: `control-${index}`,
      address: LOCALHOST,
      port,
    }));
    await Promise.all(this.voters.map((voter, index) => this.startControl(index, true)));
  }

  /** Starts or restarts one control host on its data folder. */
  async startControl(index: number, initialize = false): Promise<void> {
    const voter = this.voters[index]!;
    const worker = new Worker(WorkerRole.Control);
    this.controls[index] = worker;
    const { adminPort } = await worker.call<{ adminPort: number }>('start', {
      id: voter.id,
      port: voter.port,
      voters: this.voters,
      tree: this.options.tree,
      dataFolder: path.join(this.folder, voter.id),
      initialize,
    });
    this.adminAddresses[index] = `${LOCALHOST}:${adminPort}`;
  }

  private voters: BenchControlHost[] = [];

  private async startEntries(): Promise<void> {
    const { entryHosts, entryProcesses } = this.options;
    this.entryPorts = await reservePorts(entryHosts);
    this.seeds = this.entryPorts.map((port) => ({ address: LOCALHOST, port }));
    await Promise.all(
      Array.from({ length: entryProcesses }, (unused, index) => this.startEntryProcess(index)),
    );
  }

  /** Starts or restarts one process of entry hosts under its fixed addresses. */
  async startEntryProcess(index: number): Promise<void> {
    const { entryHosts, entryProcesses, zones } = this.options;
    const perProcess = Math.ceil(entryHosts / entryProcesses);
    const firstIndex = index * perProcess;
    const worker = new Worker(WorkerRole.Entries);
    this.entries[index] = worker;
    await worker.call('start', {
      firstIndex,
      zones,
      count: Math.min(perProcess, entryHosts - firstIndex),
      controlHosts: this.voters,
      ports: this.entryPorts.slice(firstIndex, firstIndex + perProcess),
    });
  }

  private entryPorts: number[] = [];
}
