import { setTimeout as sleep } from 'node:timers/promises';
import { pickIndex, type RandomSource } from '../../src/common/Random.js';
import {
  killMachine,
  terminateMachine,
  type SoakDeployment,
  type SoakMachine,
} from '../Deployment.js';

/** What happens to a control host before the closing fault. */
export enum PriorCause {
  /** It is gone for good; a machine at another address comes after it. */
  SuccessorAfter = 'successor-after',
  /** A machine at another address comes; then it is stopped for good. */
  SuccessorFirst = 'successor-first',
  /** It comes back with an empty disk. */
  DiskLost = 'disk-lost',
  /** It is stopped and started. */
  Restart = 'restart',
  /** It is without power for some seconds. */
  PowerLost = 'power-lost',
}

/** What prior causes act on. */
export interface ClosingWorld {
  readonly deployment: SoakDeployment;
  readonly random: RandomSource;
  readonly log: (line: string) => void;
  /** Machines that are not part of the system, not yet or no longer. */
  readonly absent: Set<SoakMachine>;
  readonly isPresent: (machine: SoakMachine) => boolean;
  /** Machines with a control host that are part of the system. */
  readonly core: readonly SoakMachine[];
}

const SUCCESSOR_DELAY_MS = 2_100;

const OUTAGE_MIN_MS = 500;

const OUTAGE_SPREAD_MS = 3_500;

/** Draws that many different ones; all if there are fewer. */
export function drawDistinct<T>(items: readonly T[], count: number, random: RandomSource): T[] {
  const rest = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && rest.length > 0) {
    drawn.push(...rest.splice(pickIndex(random, rest.length), 1));
  }
  return drawn;
}

function drawCore({ core, random, log }: ClosingWorld): SoakMachine {
  const [machine] = drawDistinct(core, 1, random);
  log(`at ${machine!.name}`);
  return machine!;
}

/** Starts a machine that has not been part of the system. */
function startSuccessor({ deployment, absent, log }: ClosingWorld): void {
  // The last one is a later machine; those that are gone come before it.
  const successor = deployment.core.findLast((machine) => absent.has(machine))!;
  log(`successor ${successor.name}`);
  absent.delete(successor);
  deployment.startMachine(successor);
}

const outageMs = ({ random }: ClosingWorld) => OUTAGE_MIN_MS + random.next() * OUTAGE_SPREAD_MS;

/** Acts on one control host; resolves once the last process was started. */
export const PRIOR_CAUSES: Record<PriorCause, (world: ClosingWorld) => Promise<void>> = {
  [PriorCause.SuccessorAfter]: async (world) => {
    const machine = drawCore(world);
    await killMachine(machine);
    await sleep(SUCCESSOR_DELAY_MS);
    startSuccessor(world);
    world.absent.add(machine);
  },
  [PriorCause.SuccessorFirst]: async (world) => {
    const machine = drawCore(world);
    startSuccessor(world);
    await sleep(SUCCESSOR_DELAY_MS);
    await terminateMachine(machine);
    world.absent.add(machine);
  },
  [PriorCause.DiskLost]: async (world) => {
    const machine = drawCore(world);
    await killMachine(machine);
    world.deployment.wipe(machine);
    await sleep(outageMs(world));
    world.deployment.startMachine(machine);
  },
  [PriorCause.Restart]: async (world) => {
    const machine = drawCore(world);
    await terminateMachine(machine);
    world.deployment.startMachine(machine);
  },
  [PriorCause.PowerLost]: async (world) => {
    const machine = drawCore(world);
    await killMachine(machine);
    await sleep(outageMs(world));
    world.deployment.startMachine(machine);
  },
};
