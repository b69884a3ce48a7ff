import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { LogLevel } from '../src/common/Enums.js';
import { ProgramKind } from '../src/common/ProcessSettings.js';
import type { SettingsTree } from '../src/common/SettingsSchema.js';
import type { RaftTiming } from '../src/control/raft/RaftState.js';
import { ControlServer } from '../src/control/server/ControlServer.js';
import { AdminClient } from '../src/ctl/AdminClient.js';
import { EntryServer } from '../src/entry/server/EntryServer.js';
import { silentLogger, type Logger } from '../src/runtime/Logger.js';
import type { ProtectServer } from '../src/runtime/ProcessLimits.js';
import type { EntryAddress } from './Announcer.js';
import { BackendStandin, type RunLog } from './BackendStandin.js';
import { ADMIN_TOKEN, serviceToken, type Deployment } from './Deployments.js';
import type { ServiceTimeOptions } from './ServiceTime.js';

/** Options of a {@link Cluster}. */
export interface ClusterOptions {
  readonly deployments: readonly Deployment[];
  readonly tree: SettingsTree;
  readonly controlHosts?: number;
  /** Entry hosts, spread over the availability zones. */
  readonly entryHosts?: number;
  readonly serviceTime?: ServiceTimeOptions;
  readonly coldRequests?: number;
  readonly bundleBytes?: number;
  readonly runLog?: RunLog;
  readonly logger?: Logger;
  readonly timing?: RaftTiming;
  readonly snapshotEvery?: number;
  readonly headTimeoutMs?: number;
  /** Time that a planned stop of an entry host may take. */
  readonly stopMs?: number;
  /** Gives every server its limits, as the programs do; none by default. */
  readonly protect?: ProtectServer;
  /** Replaces the number of backend servers of every service. */
  readonly backendsPerService?: number;
}

const LOCALHOST = '127.0.0.1';

/** Secret of the links between the processes of a {@link Cluster}. */
export const SECRET = 'standin-secret';

const POLL_MS = 10;
const READY_TIMEOUT_MS = 20_000;
const FIRST_PORT = 20_000;
const LAST_PORT = 31_999;
const PORTS_PER_PROCESS = 97;

/** Last port handed out; it starts at an offset by process id, so that processes rarely collide. */
let nextPort = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT));

/** Resolves with true if nothing listens on the port. */
function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOCALHOST, () => server.close(() => resolve(true)));
  });
}

/**
 * Finds free ports for hosts that restart on the same address. They lie below the ephemeral port
 * range of the operating system, so that no other socket is assigned one in the meantime.
 */
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    // Ports are tried one at a time.
    // eslint-disable-next-line no-await-in-loop
    if (await isPortFree(nextPort)) ports.push(nextPort);
  }
  return ports;
}

/** Waits until a condition holds. */
export async function waitUntil(
  condition: () => boolean,
  description: string,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > untilMs) throw new Error(`timed out waiting for ${description}`);
    // The loop polls the condition.
    // eslint-disable-next-line no-await-in-loop
    await delay(POLL_MS);
  }
}

/** Small cluster in one process on loopback: control hosts, entry hosts and stand-ins. */
export class Cluster {
  readonly controls: ControlServer[] = [];

  readonly entries: EntryServer[] = [];

  readonly backends: BackendStandin[] = [];

  private folder = '';

  private controlPorts: number[] = [];

  private constructor(private readonly options: ClusterOptions) {}

  /** Starts control hosts, entry hosts and stand-ins. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    await cluster.startControls();
    await cluster.startEntries();
    await cluster.startBackends();
    return cluster;
  }

  get zones(): string[] {
    return this.options.deployments.flatMap((deployment) => deployment.availabilityZones);
  }

  /** Addresses of the entry hosts for callers. */
  get seeds(): EntryAddress[] {
    return this.entries.map((entry) => ({ address: LOCALHOST, port: entry.port }));
  }

  adminClient(): AdminClient {
    return new AdminClient({
      addresses: this.controls.map((control) => `${LOCALHOST}:${control.adminPort}`),
      token: ADMIN_TOKEN,
    });
  }

  backendsOf(service: string): BackendStandin[] {
    return this.backends.filter((backend) => backend.options.service === service);
  }

  /** Waits until every entry host is current and every announcing backend server has a lease. */
  async waitReady(): Promise<void> {
    await waitUntil(
      () => this.entries.every((entry) => entry.reducer.status().current),
      'entry hosts with current settings',
    );
    const expected = this.backends.filter((backend) => backend.announcer !== null).length;
    await waitUntil(() => this.leasedCount() >= expected, `${expected} leases`);
  }

  /** Number of backend servers that an entry host may dispatch to. */
  leasedCount(): number {
    let count = 0;
    const nowMs = performance.now();
    this.entries.forEach((entry) =>
      entry.reducer.pools.forEach((pool) => {
        pool.records.forEach((record) => {
          if (record.isLeased(nowMs)) count += 1;
        });
      }),
    );
    return count;
  }

  async stop(): Promise<void> {
    this.backends.forEach((backend) => backend.announcer?.stop());
    await Promise.all(this.entries.map((entry) => entry.close()));
    await Promise.all(this.backends.map((backend) => backend.kill()));
    await Promise.all(this.controls.map((control) => control.stop()));
    await rm(this.folder, { recursive: true, force: true });
  }

  /** Opens a control host on its data folder. */
  async openControl(index: number, initialize: boolean): Promise<ControlServer> {
    const control = await ControlServer.open({
      file: {
        program: ProgramKind.Control,
        id: `control-${index}`,
        availabilityZone: this.zones[index % this.zones.length]!,
        listen: { address: LOCALHOST, port: this.controlPorts[index]! },
        adminListen: { address: LOCALHOST, port: 0 },
        dataFolder: path.join(this.folder, `control-${index}`),
        secretFile: 'unused',
        initialVoters: this.controlHosts(),
        initialSettings: this.options.tree,
        logLevel: LogLevel.Info,
      },
      secret: SECRET,
      protect: this.options.protect,
      logger: this.options.logger ?? silentLogger,
      initialize,
      onFatal: (error) => {
        throw error;
      },
      seed: index + 1,
      timing: this.options.timing,
      snapshotEvery: this.options.snapshotEvery,
    });
    await control.start();
    return control;
  }

  async openEntry(index: number): Promise<EntryServer> {
    const zone = this.zones[index % this.zones.length]!;
    const entry = await EntryServer.open({
      file: {
        program: ProgramKind.Entry,
        id: `entry-${index}`,
        availabilityZone: zone,
        listen: { address: LOCALHOST, port: 0 },
        peerListen: { address: LOCALHOST, port: 0 },
        adminListen: { address: LOCALHOST, port: 0 },
        controlHosts: this.controlHosts(),
        secretFile: 'unused',
        logLevel: LogLevel.Info,
        maxHeaderBytes: 16_384,
        headTimeoutMs: this.options.headTimeoutMs ?? 10_000,
        stopMs: this.options.stopMs ?? 600_000,
      },
      secret: SECRET,
      protect: this.options.protect,
      logger: this.options.logger ?? silentLogger,
      seed: index + 100,
    });
    entry.start();
    return entry;
  }

  private controlHosts() {
    return this.controlPorts.map((port, index) => ({
      id: `control-${index}`,
      address: LOCALHOST,
      port,
    }));
  }

  private async startControls(): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), 'egret-'));
    this.controlPorts = await reservePorts(this.options.controlHosts ?? 1);
    const opened = await Promise.all(
      this.controlPorts.map((port, index) => this.openControl(index, true)),
    );
    this.controls.push(...opened);
    await waitUntil(
      () => this.controls.some((control) => control.reducer.replicatedState.revision > 0),
      'initial settings',
    );
  }

  private async startEntries(): Promise<void> {
    const count = this.options.entryHosts ?? this.zones.length;
    const opened = await Promise.all(
      Array.from({ length: count }, (unused, index) => this.openEntry(index)),
    );
    this.entries.push(...opened);
    await waitUntil(
      () => this.entries.every((entry) => entry.reducer.status().entryHosts === count),
      'entry hosts to discover each other',
    );
  }

  private async startBackends(): Promise<void> {
    this.options.deployments.forEach((deployment) => {
      deployment.services.forEach(({ service, backends }) => {
        const count = this.options.backendsPerService ?? backends;
        for (let index = 0; index < count; index += 1) {
          const zones = deployment.availabilityZones;
          this.backends.push(
            new BackendStandin({
              service,
              availabilityZone: zones[index % zones.length]!,
              slots: deployment.slots,
              token: serviceToken(service),
              seeds: this.seeds,
              seed: this.backends.length + 1,
              serviceTime: this.options.serviceTime,
              coldRequests: this.options.coldRequests,
              bundleBytes: this.options.bundleBytes,
              runLog: this.options.runLog,
            }),
          );
        }
      });
    });
    await Promise.all(this.backends.map((backend) => backend.start()));
  }
}
