import type { ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { killMachine, signalMachine, terminateMachine, type SoakMachine } from './Deployment.js';
import { DisturbanceKind, type SoakWorld } from './Types.js';

/** Disturbances that a run draws. */
export enum Cause {
  /** Planned stop and start again. */
  Restart = 'restart',
  /** Planned stop; the next process starts before the old one has ended. */
  OverlappingRestart = 'overlapping-restart',
  Kill = 'kill',
  KillAndReloads = 'kill-and-reloads',
  LoseDisk = 'lose-disk',
  Pause = 'pause',
  Reload = 'reload',
  Change = 'change',
  LargeChange = 'large-change',
  ManyChanges = 'many-changes',
}

/** Machine whose core may be disturbed: one core machine at a time is lost at most. */
function drawMachine({ deployment, random }: SoakWorld): SoakMachine | undefined {
  const isCoreFree = deployment.core.every(({ busy }) => busy === 0);
  const free = deployment.machines.filter(
    (machine) => machine.busy === 0 && (isCoreFree || !deployment.core.includes(machine)),
  );
  return free[Math.floor(random.next() * free.length)];
}

/** Waits until a process handles SIGHUP; until then Node.js itself starts, and no program can. */
async function waitUntilProgramRuns({ pid }: ChildProcess): Promise<void> {
  const handlesReload = () => {
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      // The first signal is SIGHUP: the lowest bit of a hexadecimal mask.
      return /SigCgt:\s+\w*[13579bdf]\n/.test(status);
    } catch {
      return true;
    }
  };
  // eslint-disable-next-line no-await-in-loop
  while (!handlesReload()) await sleep(1);
}

/** What each cause does; the promise ends with the disturbance. */
export const CAUSES: Record<Cause, (world: SoakWorld) => Promise<void>> = {
  [Cause.Restart]: async (world) => {
    const { deployment } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Terminate, async () => {
      await terminateMachine(machine);
      deployment.startMachine(machine);
    });
  },
  [Cause.OverlappingRestart]: async (world) => {
    const { deployment, random } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Terminate, async () => {
      const stopped = terminateMachine({ ...machine, processes: new Map(machine.processes) });
      await sleep(random.next() * 3_000);
      deployment.startMachine(machine);
      await stopped;
    });
  },
  [Cause.Kill]: async (world) => {
    const { deployment, random } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Kill, async () => {
      await killMachine(machine);
      await sleep(random.next() * 2_000);
      deployment.startMachine(machine);
    });
  },
  [Cause.KillAndReloads]: async (world) => {
    const { deployment } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Kill, async () => {
      await killMachine(machine);
      deployment.startMachine(machine);
      await Promise.all([...machine.processes.values()].map(waitUntilProgramRuns));
      for (let signals = 0; signals < 5; signals += 1) {
        signalMachine(machine, 'SIGHUP');
        // eslint-disable-next-line no-await-in-loop
        await sleep(20);
      }
    });
  },
  [Cause.LoseDisk]: async (world) => {
    const { deployment, random } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Kill, async () => {
      await killMachine(machine);
      deployment.wipe(machine);
      await sleep(random.next() * 1_000);
      deployment.startMachine(machine);
    });
  },
  [Cause.Pause]: async (world) => {
    const { deployment, random } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Pause, async () => {
      signalMachine(machine, 'SIGSTOP');
      await sleep(500 + random.next() * 5_000);
      signalMachine(machine, 'SIGCONT');
    });
  },
  [Cause.Reload]: async (world) => {
    const { deployment } = world;
    const machine = drawMachine(world);
    if (!machine) return;
    await deployment.disturb(machine, DisturbanceKind.Reload, async () => {
      signalMachine(machine, 'SIGHUP');
    });
  },
  [Cause.Change]: ({ operator }) => operator.change(0),
  [Cause.LargeChange]: ({ operator }) => operator.change(350),
  [Cause.ManyChanges]: async ({ operator }) => {
    await Promise.all(Array.from({ length: 8 }, (unused, index) => operator.change(index * 40)));
  },
};
