import { readFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'vitest';
import { SOAK_PORTS, SoakDeployment, type SoakMachine } from '../soak/Deployment.js';
import { send, type HttpAnswer } from '../soak/Http.js';
import { SoakRole, type SoakRecord } from '../soak/Types.js';
import { createCluster, createRule } from '../standin/ProviderDocuments.js';
import { CROWD_SERVICE, CrowdBackend, CrowdPath } from './Backend.js';
import { Crowd } from './Crowd.js';
import { CROWD_HOST } from './Pieces.js';
import { ProcessMeter } from './ProcessMeter.js';
import type { CrowdClient } from './Types.js';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');

/** Smallest machine of the users. */
const MACHINE_MEMORY_MB = 250;

/** Descriptors of a process on the users' machines. */
const OPEN_FILES_MAX = 4_100;

/** Time for which a crowd stays connected after it has sent what it can. */
const HOLD_MS = 3_000;

/** Longest wait for an answer; a process that gives none counts as hung. */
const HUNG_MS = 30_000;

const RETRY_MS = 250;

/** Limits of the deployment of a test. */
export interface WorldOptions {
  readonly openFilesMax?: number;
  readonly bodyBytesMax?: number;
}

/** Request of an ordinary caller. */
export interface OrdinaryRequest {
  readonly port: number;
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
}

/** Request of an ordinary caller of a gateway. */
export const READ_REQUEST: OrdinaryRequest = {
  port: SOAK_PORTS.callers,
  path: `${CrowdPath.Read}ordinary`,
};

/** Reads the flags of a program's `run` line in the deploy file. */
function nodeFlags(role: SoakRole): string[] {
  const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = new RegExp(`run = "node (.*)target/${role}\\.mjs"`).exec(deploy);
  if (!run) throw new Error(`deploy/system.toml runs no ${role}`);
  return run[1]!.split(' ').filter((flag) => flag.length > 0);
}

/** Three machines with both programs and one backend server; the first machine is attacked. */
export class World {
  private readonly meters = new Map<string, ProcessMeter>();

  private readonly crowds: Crowd[] = [];

  private constructor(
    private readonly deployment: SoakDeployment,
    private readonly backend: CrowdBackend,
    private readonly record: SoakRecord,
    private readonly openFilesMax: number,
  ) {}

  static async start({
    openFilesMax = OPEN_FILES_MAX,
    bodyBytesMax = 67_108_864,
  }: WorldOptions = {}): Promise<World> {
    const record: SoakRecord = { requests: [], runs: [], disturbances: [], ownEnds: [] };
    const deployment = new SoakDeployment({
      root: ROOT,
      folder: path.join(ROOT, 'soak-runs', `crowds-${process.pid}`),
      machines: 3,
      record,
      nowMs: () => performance.now(),
      log: () => {},
      settings: { memoryMb: MACHINE_MEMORY_MB, openFilesMax },
      nodeFlags,
    });
    const { address, availabilityZone } = deployment.machines[1]!;
    const { controlAddresses } = deployment;
    const backend = new CrowdBackend({ address, availabilityZone, controlAddresses });
    const world = new World(deployment, backend, record, openFilesMax);
    try {
      await deployment.startAll();
      await backend.start();
      await world.configure(bodyBytesMax);
      await world.expectAnswer(READ_REQUEST);
      world.measure();
      return world;
    } catch (error) {
      await world.stop();
      throw error;
    }
  }

  /** Address of a port of the attacked machine. */
  at(port: number): string {
    return `${this.target.address}:${port}`;
  }

  /** Sends a crowd to a port and lets it stay connected. */
  async attack(port: number, clients: readonly CrowdClient[]): Promise<Crowd> {
    const crowd = await Crowd.send(this.at(port), clients);
    this.crowds.push(crowd);
    await sleep(HOLD_MS);
    return crowd;
  }

  /** Expects an answer of the attacked machine to an ordinary caller, who sends again if refused. */
  async expectAnswer(request: OrdinaryRequest): Promise<void> {
    const endsMs = performance.now() + HUNG_MS;
    let answer: HttpAnswer;
    do {
      // An ordinary caller sends one request after the other.
      // eslint-disable-next-line no-await-in-loop
      answer = await this.sendOrdinary(request);
      // eslint-disable-next-line no-await-in-loop
      if (answer.status !== 200) await sleep(RETRY_MS);
    } while (answer.status !== 200 && performance.now() < endsMs);
    const { status, error, body } = answer;
    expect({ path: request.path, status, error, body: status === 200 ? '' : body }).toEqual({
      path: request.path,
      status: 200,
      error: undefined,
      body: '',
    });
  }

  /** Expects that all processes live and have stayed within their machine. */
  expectWithinMachine(): void {
    expect(this.record.ownEnds).toEqual([]);
    const beyond = [...this.meters].filter(
      ([, { peak }]) =>
        peak.peakMemoryMb >= MACHINE_MEMORY_MB || peak.openFiles >= this.openFilesMax,
    );
    expect(Object.fromEntries(beyond.map(([name, { peak }]) => [name, peak]))).toEqual({});
  }

  /** Largest use of the attacked machine so far, for a report. */
  get peaks(): string {
    const own = [...this.meters].filter(([name]) => name.startsWith(`${this.target.name} `));
    return own
      .map(
        ([name, { peak }]) => `${name} ${Math.round(peak.peakMemoryMb)} MB ${peak.openFiles} fds`,
      )
      .join(', ');
  }

  async stop(): Promise<void> {
    this.crowds.forEach((crowd) => crowd.close());
    this.meters.forEach((meter) => meter.stop());
    await this.deployment.stop();
    await this.backend.stop();
  }

  private measure(): void {
    this.deployment.machines.forEach(({ name, processes }) =>
      processes.forEach(({ pid }, role) =>
        this.meters.set(`${name} ${role}`, new ProcessMeter(pid!)),
      ),
    );
  }

  private get target(): SoakMachine {
    return this.deployment.machines[0]!;
  }

  private async sendOrdinary(request: OrdinaryRequest): Promise<HttpAnswer> {
    const headers = {
      Host: CROWD_HOST,
      'X-Attempt-Id': `ordinary-${performance.now()}`,
      'X-Deadline-Ms': 3_000,
    };
    const message = { ...request, headers, timeoutMs: 3_000 };
    const answer = await send({ ...message, address: this.at(request.port) });
    if (answer.status !== 307) return answer;
    const { host } = new URL(String(answer.headers.location));
    return send({ ...message, address: host });
  }

  private async configure(bodyBytesMax: number): Promise<void> {
    const rules = Object.values(CrowdPath).map((prefix) =>
      createRule(`to${prefix.replaceAll('/', '-')}`, {
        prefix,
        service: CROWD_SERVICE,
        timeoutMs: 3_000,
      }),
    );
    const body = JSON.stringify({
      version: 'r1',
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: bodyBytesMax,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      listeners: [{ host: CROWD_HOST, rules }],
      clusters: [createCluster(CROWD_SERVICE)],
    });
    const request = { method: 'PUT', path: '/egretcourse/config', body, port: SOAK_PORTS.control };
    await this.expectAnswer(request);
  }
}

/**
 * Runs a test in a deployment of its own: the crowd, then the bounds and ordinary requests.
 *
 * @example
 * await inWorld({}, async (world) => world.attack(SOAK_PORTS.callers, clients));
 */
export async function inWorld(
  options: WorldOptions,
  test: (world: World) => Promise<unknown>,
): Promise<void> {
  const world = await World.start(options);
  try {
    await test(world);
    process.stdout.write(`${world.peaks}\n`);
    world.expectWithinMachine();
  } finally {
    await world.stop();
  }
}
