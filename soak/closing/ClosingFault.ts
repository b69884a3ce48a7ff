import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../../src/common/Random.js';
import { SoakBackend } from '../Backend.js';
import {
  killMachine,
  SOAK_PORTS,
  SOAK_ZONES,
  SoakDeployment,
  terminateMachine,
  type SoakMachine,
} from '../Deployment.js';
import { send } from '../Http.js';
import { ROUTING_HOST, ROUTING_SERVICES, RoutingOperator } from '../routing/RoutingOperator.js';
import type { SentVersion } from '../routing/Types.js';
import { drawDistinct, PRIOR_CAUSES, PriorCause, type ClosingWorld } from './PriorCauses.js';

/** Options of {@link runClosingFault}. */
export interface ClosingFaultOptions {
  readonly seed: number;
  /** Machines with a control host at the first start. */
  readonly coreMachines: number;
  /** Machines with a gateway only. */
  readonly gatewayMachines: number;
  readonly hostsLostAtOnce: number;
  /** Disturbances of control hosts before the closing fault. */
  readonly priorCauses: readonly PriorCause[];
  /** Folder with the built programs in `target`. */
  readonly root: string;
  /** Folder for settings, data, logs and the schedule of this run. */
  readonly folder: string;
}

/** Time without disturbances after which nothing counts as lost any more, with some reserve. */
const CATCH_UP_MS = 7_000;

/** Time after the return of all machines within which service must be back (`recovery_s`). */
const RECOVERY_MS = 15_000;

const DARK_MIN_MS = 500;

const DARK_SPREAD_MS = 1_500;

const POLL_MS = 250;

const BACKENDS_PER_SERVICE = 2;

/** Version that a control host, or the one that it redirects to, reads; 0 if there is no answer. */
async function readVersion(machine: SoakMachine): Promise<number> {
  const request = { path: '/egretcourse/config', timeoutMs: 1_000 };
  let answer = await send({ ...request, address: `${machine.address}:${SOAK_PORTS.control}` });
  if (answer.status === 307) {
    const { host } = new URL(String(answer.headers.location));
    answer = await send({ ...request, address: host });
  }
  if (answer.status !== 200) return 0;
  return Number(/^r(\d+)$/.exec(JSON.parse(answer.body).version)?.[1] ?? 0);
}

/** True if a gateway answers a request on the first route with success. */
async function serves(machine: SoakMachine, id: string): Promise<boolean> {
  const { status } = await send({
    address: `${machine.address}:${SOAK_PORTS.callers}`,
    path: '/moved/x',
    headers: { Host: ROUTING_HOST, 'X-Attempt-Id': id, 'X-Deadline-Ms': '1500' },
    timeoutMs: 2_000,
  });
  return status === 200;
}

/** Checks what must hold after the closing fault, until it does or the time is over. */
async function findLost(
  world: ClosingWorld,
  version: number,
  nowMs: () => number,
): Promise<string[]> {
  const endsMs = nowMs() + RECOVERY_MS;
  const { deployment } = world;
  let found: string[] = [];
  for (let round = 0; round === 0 || (found.length > 0 && nowMs() < endsMs); round += 1) {
    // The loop polls the processes.
    // eslint-disable-next-line no-await-in-loop
    const versions = await Promise.all(world.core.map((machine) => readVersion(machine)));
    const machines = deployment.machines.filter((machine) => world.isPresent(machine));
    // eslint-disable-next-line no-await-in-loop
    const served = await Promise.all(
      machines.map((machine) => serves(machine, `closing-${round}-${machine.name}`)),
    );
    found = [
      ...world.core
        .filter((machine, index) => versions[index]! < version)
        .map(({ name }) => `CONFIG version ${version} can't be read at ${name}`),
      ...machines
        .filter((machine, index) => !served[index])
        .map(({ name }) => `RECOVER ${name} serves no request`),
    ];
    world.log(`after ${Math.round(RECOVERY_MS - (endsMs - nowMs()))}: ${found.length} open`);
    // eslint-disable-next-line no-await-in-loop
    await sleep(POLL_MS);
  }
  return found;
}

/**
 * Runs the programs as real processes, disturbs control hosts, and lets them catch up. Then all
 * machines lose power right after a change was confirmed, and as many disks are lost as the setting
 * allows. Returns what is not back in time.
 *
 * @example
 * const findings = await runClosingFault({ ...options, priorCauses: [PriorCause.SuccessorFirst] });
 */
export async function runClosingFault(options: ClosingFaultOptions): Promise<string[]> {
  const { seed, coreMachines, gatewayMachines, hostsLostAtOnce, priorCauses, root } = options;
  const startedAtMs = performance.now();
  const nowMs = () => performance.now() - startedAtMs;
  const schedule: string[] = [];
  const log = (line: string) =>
    schedule.push(`${new Date().toISOString()} ${Math.round(nowMs())} ${line}`);
  const random = createRandom(seed);
  // Each cause may need a machine that was not there at the first start.
  const coreMax = coreMachines + priorCauses.length;
  const deployment = new SoakDeployment({
    root,
    folder: options.folder,
    machines: coreMax + gatewayMachines,
    coreMachines: coreMax,
    seedMachines: coreMachines,
    hostsLostAtOnce,
    record: { disturbances: [], ownEnds: [] },
    nowMs,
    log,
  });
  const absent = new Set(deployment.core.slice(coreMachines));
  const isPresent = (machine: SoakMachine) => !absent.has(machine);
  const world: ClosingWorld = {
    deployment,
    random,
    log,
    absent,
    isPresent,
    get core() {
      return deployment.core.filter(isPresent);
    },
  };
  const addresses = () => world.core.map(({ address }) => `${address}:${SOAK_PORTS.control}`);
  const versions: SentVersion[] = [];
  const operator = new RoutingOperator({ addresses, random, nowMs, versions, moreRoutes: 5, log });
  const backends = ROUTING_SERVICES.flatMap((service) =>
    Array.from(
      { length: BACKENDS_PER_SERVICE },
      (unused, index) =>
        new SoakBackend({
          id: `${service}-${index}`,
          service,
          availabilityZone: SOAK_ZONES[index % SOAK_ZONES.length]!,
          address: deployment.machines[0]!.address,
          controlAddresses: addresses,
          record: { runs: [] },
          nowMs,
          random,
          isFaulty: false,
        }),
    ),
  );
  const present = () => deployment.machines.filter(isPresent);
  // The harness starts what it ends itself.
  deployment.machines.forEach((machine) => Object.assign(machine, { busy: 1 }));
  try {
    await Promise.all(backends.map((backend) => backend.start()));
    await deployment.startAll(present());
    await operator.change();
    for (let index = 0; index < priorCauses.length; index += 1) {
      log(priorCauses[index]!);
      // Each cause counts as lost until its machines have caught up.
      // eslint-disable-next-line no-await-in-loop
      await PRIOR_CAUSES[priorCauses[index]!](world);
      // eslint-disable-next-line no-await-in-loop
      await sleep(CATCH_UP_MS);
    }
    await operator.change();
    const lost = drawDistinct(world.core, hostsLostAtOnce, random);
    const running = present();
    await Promise.all(running.map((machine) => killMachine(machine)));
    lost.forEach((machine) => deployment.wipe(machine));
    log(`closing fault, disks lost: ${lost.map(({ name }) => name).join(' ')}`);
    await sleep(DARK_MIN_MS + random.next() * DARK_SPREAD_MS);
    running.forEach((machine) => deployment.startMachine(machine));
    return await findLost(world, operator.confirmed, nowMs);
  } finally {
    operator.isStopped = true;
    await Promise.all(present().map((machine) => terminateMachine(machine)));
    await deployment.stop();
    await Promise.all(backends.map((backend) => backend.stop()));
    writeFileSync(path.join(options.folder, 'schedule.txt'), `${schedule.join('\n')}\n`);
  }
}
