import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from './Http.js';
import { DisturbanceKind, SoakRole, type Disturbance, type SoakRecord } from './Types.js';

/** Ports of the programs, as in the users' settings. */
export const SOAK_PORTS = {
  callers: 8548,
  readiness: 8542,
  control: 8544,
  directory: 8546,
  hosts: [7540, 7555],
} as const;

export const SOAK_ZONES = ['otaru-port', 'yoichi', 'shakotan'];

/** Control hosts that the settings name. */
const SEEDS_MAX = 3;

/** Time for a planned stop, after which a supervisor kills the process (`grace_s`). */
const STOP_MS = 6_000;

/** A supervisor starts a process again after this time. */
const RESTART_MS = 500;

/** Time after which a process that does not listen counts as not started. */
const READY_MAX_MS = 15_000;

const POLL_MS = 100;

/** Machine of the deployment and its processes. */
export interface SoakMachine {
  readonly name: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly roles: readonly SoakRole[];
  readonly processes: Map<SoakRole, ChildProcess>;
  /** Number of disturbances in progress; its processes are not judged meanwhile. */
  busy: number;
}

/** Options of a {@link SoakDeployment}. */
export interface SoakDeploymentOptions {
  /** Folder with the built programs in `target`. */
  readonly root: string;
  /** Folder for settings, data and logs; emptied first. */
  readonly folder: string;
  readonly machines: number;
  /** Machines with a disk and a control host; one in each zone by default. */
  readonly coreMachines?: number;
  /** Core machines at the first start, of which the settings name the first ones; all by default. */
  readonly seedMachines?: number;
  readonly hostsLostAtOnce?: number;
  readonly record: Pick<SoakRecord, 'disturbances' | 'ownEnds'>;
  readonly nowMs: () => number;
  readonly log: (line: string) => void;
  /** Arguments and environment of Node.js for the processes of a machine, beside the program. */
  readonly extras?: (machine: SoakMachine) => {
    readonly nodeArguments: readonly string[];
    readonly env: NodeJS.ProcessEnv;
  };
  /** Further settings of all processes. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Flags of Node.js for a program; none by default. */
  readonly nodeFlags?: (role: SoakRole) => readonly string[];
}

function memoryMb(processId: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${processId}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/** Sends a signal to all processes of a machine. */
export function signalMachine({ processes }: SoakMachine, signal: NodeJS.Signals): void {
  processes.forEach((child) => child.kill(signal));
}

async function waitUntilGone({ processes }: SoakMachine): Promise<void> {
  const isGone = ({ exitCode, signalCode }: ChildProcess) =>
    exitCode !== null || signalCode !== null;
  // The loop polls the processes.
  // eslint-disable-next-line no-await-in-loop
  while (![...processes.values()].every(isGone)) await sleep(10);
}

/** Ends the processes of a machine as a supervisor does; resolves once they are gone. */
export async function terminateMachine(machine: SoakMachine): Promise<void> {
  const killer = setTimeout(() => signalMachine(machine, 'SIGKILL'), STOP_MS);
  signalMachine(machine, 'SIGTERM');
  await waitUntilGone(machine);
  clearTimeout(killer);
}

/** Kills the processes of a machine; resolves once they are gone. */
export async function killMachine(machine: SoakMachine): Promise<void> {
  signalMachine(machine, 'SIGKILL');
  await waitUntilGone(machine);
}

/** Real processes on loopback addresses, as a supervisor runs them: what ends is started again. */
export class SoakDeployment {
  readonly machines: readonly SoakMachine[];

  peakMemoryMb = 0;

  private stopping = false;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: SoakDeploymentOptions) {
    const { coreMachines = SOAK_ZONES.length } = options;
    const net = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}`;
    this.machines = Array.from({ length: options.machines }, (unused, index) => ({
      name: `edge-${index + 1}`,
      address: `${net}.${index + 11}`,
      availabilityZone: SOAK_ZONES[index % SOAK_ZONES.length]!,
      roles: index < coreMachines ? [SoakRole.Control, SoakRole.Gateway] : [SoakRole.Gateway],
      processes: new Map<SoakRole, ChildProcess>(),
      busy: 0,
    }));
    rmSync(options.folder, { recursive: true, force: true });
    mkdirSync(options.folder, { recursive: true });
    this.timer = setInterval(() => this.measureMemory(), POLL_MS);
    // No process outlives the harness, however that ends.
    process.once('exit', this.killAll);
  }

  private readonly killAll = (): void =>
    this.machines.forEach((machine) => signalMachine(machine, 'SIGKILL'));

  get core(): SoakMachine[] {
    return this.machines.filter(({ roles }) => roles.includes(SoakRole.Control));
  }

  get controlAddresses(): string[] {
    return this.core.map(({ address }) => `${address}:${SOAK_PORTS.control}`);
  }

  /** Starts machines for the first time; resolves once they listen. */
  async startAll(machines = this.machines): Promise<void> {
    machines.forEach((machine) => this.startMachine(machine, true));
    await Promise.all(machines.map((machine) => this.waitUntilListening(machine)));
  }

  startMachine(machine: SoakMachine, isFirst = false): void {
    machine.roles.forEach((role) => this.startProcess(machine, role, isFirst));
  }

  /** Records a disturbance while `act` runs, and for what it leaves behind until the machine listens. */
  async disturb(
    machine: SoakMachine,
    kind: DisturbanceKind,
    act: () => Promise<void>,
  ): Promise<void> {
    const { record, nowMs, log } = this.options;
    const disturbance: Disturbance = {
      machine: machine.name,
      kind,
      fromMs: nowMs(),
      toMs: Number.POSITIVE_INFINITY,
    };
    record.disturbances.push(disturbance);
    log(`${kind} ${machine.name}`);
    machine.busy += 1;
    await act();
    disturbance.toMs = nowMs();
    await this.waitUntilListening(machine);
    machine.busy -= 1;
  }

  wipe(machine: SoakMachine): void {
    rmSync(this.dataFolder(machine), { recursive: true, force: true });
  }

  async stop(): Promise<void> {
    this.stopping = true;
    clearInterval(this.timer);
    this.machines.forEach((machine) => signalMachine(machine, 'SIGCONT'));
    await Promise.all(this.machines.map((machine) => killMachine(machine)));
    process.off('exit', this.killAll);
  }

  /** Resolves once the processes listen; one that does not in time is recorded. */
  private async waitUntilListening(machine: SoakMachine): Promise<void> {
    const { nowMs } = this.options;
    const endsMs = nowMs() + READY_MAX_MS;
    const ports: Record<SoakRole, number> = {
      [SoakRole.Control]: SOAK_PORTS.control,
      [SoakRole.Gateway]: SOAK_PORTS.readiness,
    };
    await Promise.all(
      machine.roles.map(async (role) => {
        while (!this.stopping) {
          // The loop polls the process.
          // eslint-disable-next-line no-await-in-loop
          const answer = await send({ address: `${machine.address}:${ports[role]}`, path: '/' });
          if (answer.status > 0) return;
          if (nowMs() > endsMs) {
            const { exitCode, signalCode } = machine.processes.get(role)!;
            this.noteOwnEnd(machine, role, `does not listen: ${exitCode} ${signalCode}`);
            if (exitCode !== null || signalCode !== null) this.startProcess(machine, role, false);
            return;
          }
          // eslint-disable-next-line no-await-in-loop
          await sleep(POLL_MS);
        }
      }),
    );
  }

  private noteOwnEnd({ name }: SoakMachine, role: SoakRole, detail: string): void {
    const { record, nowMs, log } = this.options;
    record.ownEnds.push({ machine: name, role, atMs: nowMs(), detail });
    log(`OWN END ${name} ${role} ${detail}`);
  }

  private dataFolder(machine: SoakMachine): string {
    return path.join(this.options.folder, `${machine.name}-data`);
  }

  private startProcess(machine: SoakMachine, role: SoakRole, isFirst: boolean): void {
    const { root, folder, nodeFlags } = this.options;
    const file = path.join(folder, `${machine.name}-${role}.jsonc`);
    writeFileSync(file, JSON.stringify(this.settings(machine, role, isFirst)));
    mkdirSync(this.dataFolder(machine), { recursive: true });
    const { nodeArguments = [], env = {} } = this.options.extras?.(machine) ?? {};
    const flags = [...(nodeFlags?.(role) ?? []), ...nodeArguments];
    const child = spawn(process.execPath, [...flags, `target/${role}.mjs`], {
      cwd: root,
      env: { ...env, PATH: process.env.PATH, EGRETCOURSE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(path.join(folder, `${machine.name}-${role}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(output);
    child.stderr.pipe(output);
    machine.processes.set(role, child);
    child.once('exit', (code, signal) => {
      if (this.stopping || machine.busy > 0) return;
      this.noteOwnEnd(machine, role, `code=${code} signal=${signal}`);
      setTimeout(() => !this.stopping && this.startProcess(machine, role, false), RESTART_MS);
    });
  }

  private settings(machine: SoakMachine, role: SoakRole, isFirst: boolean): object {
    const at = (port: number) => `${machine.address}:${port}`;
    const { callers, readiness, control, directory, hosts } = SOAK_PORTS;
    const own: Record<SoakRole, object> = {
      [SoakRole.Gateway]: {
        callers: at(callers),
        readiness: at(readiness),
        directory: at(directory),
      },
      [SoakRole.Control]: { operators: at(control), dataFolder: this.dataFolder(machine) },
    };
    return {
      ...own[role],
      program: role,
      id: machine.name,
      address: machine.address,
      availabilityZone: machine.availabilityZone,
      availabilityZones: SOAK_ZONES,
      firstStart: isFirst,
      hostPorts: hosts,
      seeds: this.controlAddresses.slice(0, this.options.seedMachines).slice(0, SEEDS_MAX),
      hostsLostAtOnce: this.options.hostsLostAtOnce ?? 1,
      stopSeconds: STOP_MS / 1_000,
      directoryValidSecondsMax: 5,
      retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 68 },
      metricsPorts: { gateway: 9464, control: 9465 },
      pickPolicy: 'just-in-time',
      probesPerServerPerSecond: 60,
      logLevel: 'info',
      linkSecret: 'soak-link',
      ...this.options.settings,
    };
  }

  private measureMemory(): void {
    this.machines.forEach(({ processes }) =>
      processes.forEach(({ pid }) => {
        this.peakMemoryMb = Math.max(this.peakMemoryMb, memoryMb(pid));
      }),
    );
  }
}
