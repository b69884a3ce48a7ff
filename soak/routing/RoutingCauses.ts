import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../src/common/Random.js';
import {
  killMachine,
  signalMachine,
  terminateMachine,
  type SoakDeployment,
  type SoakMachine,
} from '../Deployment.js';
import { send } from '../Http.js';
import { DisturbanceKind } from '../Types.js';
import { LinkFault } from './LinkPipe.js';
import type { LinkProxies } from './LinkProxies.js';
import { LinkDisturbanceKind, type RoutingRecord } from './Types.js';

/** What causes act on. */
export interface RoutingWorld {
  readonly deployment: SoakDeployment;
  readonly proxies: LinkProxies;
  readonly hostsLostAtOnce: number;
  readonly record: RoutingRecord;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly log: (line: string) => void;
}

/** Disturbances that a run draws. */
export enum RoutingCause {
  PauseLeader = 'pause-leader',
  PauseFollower = 'pause-follower',
  PauseGateway = 'pause-gateway',
  /** Pauses of less than a second, again and again, as on a slow processor. */
  StutterGateway = 'stutter-gateway',
  StutterCore = 'stutter-core',
  KillCore = 'kill-core',
  KillGateway = 'kill-gateway',
  RestartGateway = 'restart-gateway',
  /** A core host is cut from the others of the core; gateways reach all. */
  CutLeader = 'cut-leader',
  CutFollower = 'cut-follower',
  /** As many core hosts as may be lost are cut from the others, not from each other. */
  CutMinority = 'cut-minority',
  /** It is cut from the gateways of other zones too. */
  CutNear = 'cut-near',
  CutGateway = 'cut-gateway',
  CutGatewayAnswers = 'cut-gateway-answers',
  CutGatewayRequests = 'cut-gateway-requests',
  /** A killed core host whose address accepts connections and answers nothing. */
  StallKilledCore = 'stall-killed-core',
  DelayGateway = 'delay-gateway',
  TrickleGateway = 'trickle-gateway',
  DelayCore = 'delay-core',
  /** The leader is paused while a gateway has just come back from a pause or a cut. */
  PauseLeaderAfterGateway = 'pause-leader-after-gateway',
  CutLeaderAfterGateway = 'cut-leader-after-gateway',
}

const METRICS_PORT = 9_465;

async function findLeader({ deployment }: RoutingWorld): Promise<SoakMachine | undefined> {
  const answers = await Promise.all(
    deployment.core.map(async (machine) => {
      const address = `${machine.address}:${METRICS_PORT}`;
      const { body } = await send({ address, path: '/metrics', timeoutMs: 300 });
      return /^egret_control_is_leader 1$/m.test(body) ? machine : undefined;
    }),
  );
  return answers.find((machine) => machine !== undefined);
}

/** One core host is disturbed at a time; undefined while another is. */
async function takeCore(world: RoutingWorld, isLeader: boolean): Promise<SoakMachine | undefined> {
  const { deployment, random } = world;
  const isFree = () => deployment.core.every(({ busy }) => busy === 0);
  if (!isFree()) return undefined;
  const leader = await findLeader(world);
  if (!isFree() || !leader) return undefined;
  const others = deployment.core.filter((machine) => machine !== leader);
  return isLeader ? leader : others[Math.floor(random.next() * others.length)];
}

function takeGateway({ deployment, random }: RoutingWorld): SoakMachine | undefined {
  const free = deployment.machines.filter(
    (machine) => machine.busy === 0 && !deployment.core.includes(machine),
  );
  return free[Math.floor(random.next() * free.length)];
}

async function pause(world: RoutingWorld, machine: SoakMachine, forMs: number): Promise<void> {
  await world.deployment.disturb(machine, DisturbanceKind.Pause, async () => {
    signalMachine(machine, 'SIGSTOP');
    await sleep(forMs);
    signalMachine(machine, 'SIGCONT');
  });
}

async function stutter(world: RoutingWorld, machine: SoakMachine): Promise<void> {
  const { deployment, random } = world;
  await deployment.disturb(machine, DisturbanceKind.Pause, async () => {
    for (let times = 0; times < 8; times += 1) {
      signalMachine(machine, 'SIGSTOP');
      // The pauses are a series.
      // eslint-disable-next-line no-await-in-loop
      await sleep(50 + random.next() * 850);
      signalMachine(machine, 'SIGCONT');
      // eslint-disable-next-line no-await-in-loop
      await sleep(random.next() * 300);
    }
  });
}

async function kill(world: RoutingWorld, machine: SoakMachine, awayMs: number): Promise<void> {
  await world.deployment.disturb(machine, DisturbanceKind.Kill, async () => {
    await killMachine(machine);
    await sleep(awayMs);
    world.deployment.startMachine(machine);
  });
}

/** Disturbs the links between pairs of machines, in both directions, for a time. */
async function disturbLinks(
  world: RoutingWorld,
  pairs: readonly (readonly [SoakMachine, SoakMachine])[],
  fault: LinkFault,
  forMs: number,
): Promise<void> {
  const { proxies, record, nowMs, log, deployment } = world;
  const isSlow = fault === LinkFault.Delay || fault === LinkFault.Trickle;
  const kind = isSlow ? LinkDisturbanceKind.Slow : LinkDisturbanceKind.Cut;
  const core = new Set(deployment.core);
  const linked = pairs.flatMap(([a, b]) => [
    ...(core.has(b) ? [{ from: a, to: b }] : []),
    ...(core.has(a) ? [{ from: b, to: a }] : []),
  ]);
  const entries = linked.map(({ from, to }) => ({
    kind,
    machine: from.name,
    core: to.name,
    fromMs: nowMs(),
    toMs: Infinity,
  }));
  record.linkDisturbances.push(...entries);
  log(`${fault} ${linked.map(({ from, to }) => `${from.name}>${to.name}`).join(' ')}`);
  linked.forEach(({ from, to }) => proxies.set(from.name, to.name, fault));
  await sleep(forMs);
  linked.forEach(({ from, to }) => proxies.set(from.name, to.name, LinkFault.None));
  entries.forEach((entry) => Object.assign(entry, { toMs: nowMs() }));
}

/** Cuts core hosts from the rest of the core, and from `others`; not from each other. */
async function cutCore(
  world: RoutingWorld,
  machines: readonly SoakMachine[],
  others: readonly SoakMachine[] = [],
): Promise<void> {
  const { deployment, random } = world;
  const far = [...deployment.core.filter((other) => !machines.includes(other)), ...others];
  const pairs = machines.flatMap((machine) => far.map((other) => [machine, other] as const));
  machines.forEach((machine) => Object.assign(machine, { busy: machine.busy + 1 }));
  await disturbLinks(world, pairs, LinkFault.Cut, 1_500 + random.next() * 7_000);
  machines.forEach((machine) => Object.assign(machine, { busy: machine.busy - 1 }));
}

/** Cuts a minority of the core that the random source draws, with the leader or without it. */
async function cutMinority(world: RoutingWorld): Promise<void> {
  const { deployment, random, hostsLostAtOnce } = world;
  const first = await takeCore(world, random.next() < 0.5);
  if (!first) return;
  const others = deployment.core.filter((machine) => machine !== first);
  const drawn = others.map((machine) => ({ machine, order: random.next() }));
  const rest = drawn.sort((a, b) => a.order - b.order).map(({ machine }) => machine);
  await cutCore(world, [first, ...rest.slice(0, hostsLostAtOnce - 1)]);
}

async function disturbGatewayLinks(world: RoutingWorld, fault: LinkFault): Promise<void> {
  const { deployment, random } = world;
  const machine = takeGateway(world);
  if (!machine) return;
  machine.busy += 1;
  const pairs = deployment.core.map((core) => [machine, core] as const);
  await disturbLinks(world, pairs, fault, 500 + random.next() * 6_000);
  machine.busy -= 1;
}

async function withCore(
  world: RoutingWorld,
  isLeader: boolean,
  act: (machine: SoakMachine) => Promise<void>,
): Promise<void> {
  const machine = await takeCore(world, isLeader);
  if (machine) await act(machine);
}

async function withGateway(
  world: RoutingWorld,
  act: (machine: SoakMachine) => Promise<void>,
): Promise<void> {
  const machine = takeGateway(world);
  if (machine) await act(machine);
}

const pauseMs = ({ random }: RoutingWorld) => 500 + random.next() * 8_000;

/** What each cause does; the promise ends with the disturbance. */
export const ROUTING_CAUSES: Record<RoutingCause, (world: RoutingWorld) => Promise<void>> = {
  [RoutingCause.PauseLeader]: (world) =>
    withCore(world, true, (machine) => pause(world, machine, pauseMs(world))),
  [RoutingCause.PauseFollower]: (world) =>
    withCore(world, false, (machine) => pause(world, machine, pauseMs(world))),
  [RoutingCause.PauseGateway]: (world) =>
    withGateway(world, (machine) => pause(world, machine, pauseMs(world))),
  [RoutingCause.StutterGateway]: (world) =>
    withGateway(world, (machine) => stutter(world, machine)),
  [RoutingCause.StutterCore]: (world) =>
    withCore(world, false, (machine) => stutter(world, machine)),
  [RoutingCause.KillCore]: (world) =>
    withCore(world, world.random.next() < 0.5, (machine) =>
      kill(world, machine, world.random.next() * 6_000),
    ),
  [RoutingCause.KillGateway]: (world) =>
    withGateway(world, (machine) => kill(world, machine, world.random.next() * 1_000)),
  [RoutingCause.RestartGateway]: (world) =>
    withGateway(world, (machine) =>
      world.deployment.disturb(machine, DisturbanceKind.Terminate, async () => {
        await terminateMachine(machine);
        world.deployment.startMachine(machine);
      }),
    ),
  [RoutingCause.CutLeader]: (world) =>
    withCore(world, true, (machine) => cutCore(world, [machine])),
  [RoutingCause.CutFollower]: (world) =>
    withCore(world, false, (machine) => cutCore(world, [machine])),
  [RoutingCause.CutMinority]: cutMinority,
  [RoutingCause.CutNear]: (world) =>
    withCore(world, world.random.next() < 0.5, (machine) => {
      const { machines, core } = world.deployment;
      const far = machines.filter(
        (other) => !core.includes(other) && other.availabilityZone !== machine.availabilityZone,
      );
      return cutCore(world, [machine], far);
    }),
  [RoutingCause.CutGateway]: (world) => disturbGatewayLinks(world, LinkFault.Cut),
  [RoutingCause.CutGatewayAnswers]: (world) => disturbGatewayLinks(world, LinkFault.CutAnswers),
  [RoutingCause.CutGatewayRequests]: (world) => disturbGatewayLinks(world, LinkFault.CutRequests),
  [RoutingCause.StallKilledCore]: (world) =>
    withCore(world, world.random.next() < 0.5, async (machine) => {
      const { deployment, proxies, random } = world;
      const set = (fault: LinkFault) =>
        deployment.machines.forEach(({ name }) => proxies.set(name, machine.name, fault));
      set(LinkFault.StallNew);
      await kill(world, machine, 1_000 + random.next() * 6_000);
      set(LinkFault.None);
    }),
  [RoutingCause.DelayGateway]: (world) => disturbGatewayLinks(world, LinkFault.Delay),
  [RoutingCause.TrickleGateway]: (world) => disturbGatewayLinks(world, LinkFault.Trickle),
  [RoutingCause.DelayCore]: (world) =>
    withCore(world, false, async (machine) => {
      const pairs = world.deployment.core
        .filter((other) => other !== machine)
        .map((other) => [machine, other] as const);
      await disturbLinks(world, pairs, LinkFault.Delay, 500 + world.random.next() * 4_000);
    }),
  [RoutingCause.PauseLeaderAfterGateway]: async (world) => {
    await withGateway(world, (machine) =>
      pause(world, machine, 4_000 + world.random.next() * 3_000),
    );
    await ROUTING_CAUSES[RoutingCause.PauseLeader](world);
  },
  [RoutingCause.CutLeaderAfterGateway]: async (world) => {
    await disturbGatewayLinks(world, LinkFault.Cut);
    await ROUTING_CAUSES[RoutingCause.CutLeader](world);
  },
};
