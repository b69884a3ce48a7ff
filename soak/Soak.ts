import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../src/common/Random.js';
import { SoakBackend } from './Backend.js';
import { Cause, CAUSES } from './Causes.js';
import { findBreaches, type Breach } from './Checks.js';
import { SoakClients } from './Clients.js';
import { SOAK_ZONES, SoakDeployment } from './Deployment.js';
import { OddClients } from './OddClients.js';
import { SOAK_SERVICES, SoakOperator } from './Operator.js';
import type { HarnessPause, SoakRecord, SoakWorld } from './Types.js';

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly machines: number;
  readonly clientsPerMachine: number;
  /** Folder with the built programs in `target`. */
  readonly root: string;
  /** Folder for settings, data, logs and the schedule of this run. */
  readonly folder: string;
}

/** Result of a run. */
export interface SoakResult {
  readonly breaches: readonly Breach[];
  /** One line for a report. */
  readonly summary: string;
}

const BACKENDS_PER_SERVICE = 12;

/** Backend servers of a service that spoil or withhold some of their answers. */
const FAULTY_PER_SERVICE = 2;

/** Longest pause between two causes; they overlap. */
const CAUSE_GAP_MAX_MS = 1_500;

const HARNESS_POLL_MS = 5;

/** Time between two polls from which on the harness counts as paused. */
const HARNESS_PAUSE_MS = 25;

/** Time for the first routing and announcements to arrive before clients start. */
const SETTLE_MS = 3_000;

/** Records the times in which the event loop of the harness stood still. */
function watchHarness(pauses: HarnessPause[], nowMs: () => number): NodeJS.Timeout {
  let lastMs = nowMs();
  return setInterval(() => {
    const toMs = nowMs();
    if (toMs - lastMs > HARNESS_PAUSE_MS) pauses.push({ fromMs: lastMs, toMs });
    lastMs = toMs;
  }, HARNESS_POLL_MS);
}

/** Draws causes and starts them at random times until `endsMs`; resolves once all have ended. */
async function disturb(world: SoakWorld, nowMs: () => number, endsMs: number): Promise<void> {
  const causes = Object.values(Cause);
  const running: Promise<void>[] = [];
  while (nowMs() < endsMs) {
    const cause = causes[Math.floor(world.random.next() * causes.length)]!;
    world.log(cause);
    running.push(CAUSES[cause](world));
    // The schedule is a series.
    // eslint-disable-next-line no-await-in-loop
    await sleep(world.random.next() * CAUSE_GAP_MAX_MS);
  }
  await Promise.all(running);
}

/**
 * Runs the programs as real processes under clients on kept connections and a series of disturbances
 * that the seed draws, and checks what clients and backend servers saw.
 *
 * @example
 * const { breaches } = await runSoak({ ...options, seed: 7 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, machines, clientsPerMachine, root, folder } = options;
  const startedAtMs = performance.now();
  const nowMs = () => performance.now() - startedAtMs;
  const harnessPauses: HarnessPause[] = [];
  const record: SoakRecord = {
    requests: [],
    runs: [],
    disturbances: [],
    ownEnds: [],
    harnessPauses,
  };
  const pauseTimer = watchHarness(harnessPauses, nowMs);
  const schedule: string[] = [];
  const log = (line: string) => schedule.push(`${Math.round(nowMs())} ${line}`);
  const random = createRandom(seed);
  const deployment = new SoakDeployment({ root, folder, machines, record, nowMs, log });
  const controlAddresses = () => deployment.controlAddresses;
  const backends = SOAK_SERVICES.flatMap((service) =>
    Array.from(
      { length: BACKENDS_PER_SERVICE },
      (unused, index) =>
        new SoakBackend({
          id: `${service}-${index}`,
          service,
          availabilityZone: SOAK_ZONES[index % SOAK_ZONES.length]!,
          address: deployment.machines[0]!.address,
          controlAddresses,
          record,
          nowMs,
          random,
          isFaulty: index < FAULTY_PER_SERVICE,
        }),
    ),
  );
  const operator = new SoakOperator(controlAddresses);
  const clients = new SoakClients({
    machines: deployment.machines,
    clientsPerMachine,
    random,
    record,
    nowMs,
  });
  const oddClients = new OddClients({ machines: deployment.machines, random });
  try {
    await Promise.all(backends.map((backend) => backend.start()));
    await deployment.startAll();
    await operator.change(0);
    await sleep(SETTLE_MS);
    clients.start();
    oddClients.start();
    const world = { deployment, clients, operator, random, log };
    await disturb(world, nowMs, nowMs() + durationMs);
    await Promise.all([clients.stop(), oddClients.stop()]);
  } finally {
    clearInterval(pauseTimer);
    await deployment.stop();
    await Promise.all(backends.map((backend) => backend.stop()));
  }
  const breaches = findBreaches(record);
  const answered = record.requests.filter(({ status }) => status === 200).length;
  const unanswered = record.requests.filter(({ status }) => status === 0).length;
  const lines = [...schedule, ...breaches.map(({ rule, detail }) => `${rule}: ${detail}`)];
  writeFileSync(path.join(folder, 'schedule.txt'), `${lines.join('\n')}\n`);
  const summary =
    `seed=${seed} machines=${machines} requests=${record.requests.length} answered=${answered} ` +
    `unanswered=${unanswered} disturbances=${record.disturbances.length} ` +
    `ownEnds=${record.ownEnds.length} peakMb=${Math.round(deployment.peakMemoryMb)} ` +
    `breaches=${breaches.length}`;
  return { breaches, summary };
}
