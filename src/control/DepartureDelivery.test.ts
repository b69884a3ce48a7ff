import { describe, expect, it } from 'vitest';
import {
  createDepartureWorld,
  PATIENCE_MS,
  type DepartureWorld,
} from '../../fuzz/DepartureWorld.js';

/** Time within which a departure is to be confirmed. */
const CONFIRM_MS = 4_000;

/** World with one gateway at some of its control hosts, in calm. */
function createWorldWithGateway(linked: readonly number[] = [0], controls = 3) {
  const world = createDepartureWorld(controls);
  const gateway = world.addGateway();
  world.link(gateway, ...linked.map((index) => world.hosts[index]!));
  world.settle();
  return { world, gateway, nowMs: () => world.timeline.nowMs };
}

/** One disturbance of a gateway while a backend server departs. */
interface DeliveryCase {
  readonly name: string;
  /** Disturbs a world; returns it with the order in which control hosts are asked. */
  readonly run: () => { readonly world: DepartureWorld; readonly order: readonly number[] };
}

const CASES: readonly DeliveryCase[] = [
  {
    name: 'a gateway that sends heartbeats receives the departure seconds late',
    run: () => {
      const { world, gateway, nowMs } = createWorldWithGateway();
      gateway.heldUntilMs = nowMs() + 3_000;
      return { world, order: [0] };
    },
  },
  {
    name: 'the only link of a gateway is lost, and its new session waits',
    run: () => {
      const { world, gateway } = createWorldWithGateway();
      gateway.heldUntilMs = world.timeline.nowMs + 100;
      world.after(10, () => world.unlink(gateway, world.hosts[0]!));
      world.after(2_900, () => world.link(gateway, world.hosts[1]!));
      return { world, order: [0, 1, 2] };
    },
  },
  {
    name: 'a gateway links to another control host, whose list reaches it seconds late',
    run: () => {
      const { world, gateway } = createWorldWithGateway();
      gateway.heldUntilMs = world.timeline.nowMs + 4_500;
      world.after(10, () => world.unlink(gateway, world.hosts[0]!));
      world.after(1_700, () => world.link(gateway, world.hosts[1]!));
      return { world, order: [0] };
    },
  },
  {
    name: 'a gateway links again, and the whole list reaches it seconds late',
    run: () => {
      const { world, gateway } = createWorldWithGateway();
      gateway.heldUntilMs = world.timeline.nowMs + 3_000;
      world.after(10, () => world.unlink(gateway, world.hosts[0]!));
      world.after(100, () => world.link(gateway, world.hosts[0]!));
      return { world, order: [0] };
    },
  },
  {
    name: 'a gateway that was silent at the announcement is back',
    run: () => {
      const { world, gateway, nowMs } = createWorldWithGateway();
      gateway.frozenUntilMs = nowMs() + 1_250;
      world.cluster.run(1_200);
      gateway.heldUntilMs = nowMs() + 3_000;
      return { world, order: [0] };
    },
  },
  {
    name: 'a gateway at another control host receives the departure seconds late',
    run: () => {
      const { world, gateway, nowMs } = createWorldWithGateway([1]);
      gateway.heldUntilMs = nowMs() + 3_000;
      return { world, order: [0] };
    },
  },
  {
    name: 'the departure is announced again at a control host that relays what is known',
    run: () => {
      const { world, gateway, nowMs } = createWorldWithGateway([1]);
      gateway.heldUntilMs = nowMs() + 3_000;
      return { world, order: [0, 2] };
    },
  },
  {
    name: 'a gateway refuses the message with the departure',
    run: () => {
      const { world, gateway } = createWorldWithGateway();
      gateway.refusals = 1;
      return { world, order: [0] };
    },
  },
  {
    name: 'a gateway at another control host refuses the message with the departure',
    run: () => {
      const { world, gateway } = createWorldWithGateway([1]);
      gateway.refusals = 1;
      return { world, order: [0, 2] };
    },
  },
  {
    name: 'the control hosts of a gateway receive the relay after a majority has it',
    run: () => {
      const { world } = createWorldWithGateway([3, 4], 5);
      [3, 4].forEach((index) => world.holdRelays(world.hosts[index]!, 3_000));
      return { world, order: [0, 1] };
    },
  },
];

describe('a departure that was confirmed', () => {
  // Guards against calls at a backend server later than 2 s after its departure was confirmed.
  it.each(CASES)('is in force at every gateway in contact: $name', ({ run }) => {
    const { world, order } = run();
    const departure = world.depart(order.map((index) => world.hosts[index]!));
    expect(world.findLateUse(departure)).toBeUndefined();
    expect(departure.confirmedAtMs).toBeLessThan(Number.POSITIVE_INFINITY);
    expect(departure.slowestAnswerMs).toBeLessThan(PATIENCE_MS);
  });
});

/** A gateway or control host that gives no answer. */
const SILENT: readonly DeliveryCase[] = [
  {
    name: 'a gateway that is paused',
    run: () => {
      const { world, gateway } = createWorldWithGateway([0, 1]);
      gateway.frozenUntilMs = Number.POSITIVE_INFINITY;
      return { world, order: [0, 1, 2] };
    },
  },
  {
    name: 'a gateway that is cut off',
    run: () => {
      const { world, gateway } = createWorldWithGateway([0, 1]);
      world.cluster.network.cut([gateway.model.id], 1);
      gateway.frozenUntilMs = Number.POSITIVE_INFINITY;
      return { world, order: [1, 2] };
    },
  },
  {
    name: 'a gateway that has ended',
    run: () => {
      const { world, gateway } = createWorldWithGateway([0, 1]);
      world.hosts.slice(0, 2).forEach((host) => world.unlink(gateway, host));
      gateway.model.crash();
      gateway.frozenUntilMs = Number.POSITIVE_INFINITY;
      return { world, order: [0] };
    },
  },
  {
    name: 'a control host that has ended',
    run: () => {
      const { world } = createWorldWithGateway([0, 1]);
      world.hosts[2]!.crash();
      return { world, order: [0, 1] };
    },
  },
  {
    name: 'a control host that is cut off from the others',
    run: () => {
      const { world } = createWorldWithGateway([0, 1]);
      world.cluster.network.cut([world.hosts[2]!.options.id], 1);
      return { world, order: [0, 2, 1] };
    },
  },
  {
    name: 'a control host whose disk takes no writes for long',
    run: () => {
      const { world } = createWorldWithGateway([0, 2]);
      world.hosts[2]!.stallDisk(30_000);
      return { world, order: [0, 1] };
    },
  },
];

describe('a departure is confirmed within 4 s', () => {
  // Guards against backend servers that end without a confirmation, as one host gives no answer.
  it.each(SILENT)('beside $name', ({ run }) => {
    const { world, order } = run();
    const departure = world.depart(order.map((index) => world.hosts[index]!));
    expect(world.findLateUse(departure)).toBeUndefined();
    expect(departure.confirmedAtMs - departure.startedAtMs).toBeLessThan(CONFIRM_MS);
    expect(departure.slowestAnswerMs).toBeLessThanOrEqual(PATIENCE_MS);
  });

  // Guards against a cost in calm: a check that waits for a timer, or messages for each gateway.
  it('in calm at the speed of the messages, with one message for each watch', () => {
    const world = createDepartureWorld(5);
    const gateways = Array.from({ length: 40 }, () => world.addGateway());
    gateways.forEach((gateway, index) =>
      world.link(gateway, world.hosts[index % 5]!, world.hosts[(index + 2) % 5]!),
    );
    world.settle();
    const departure = world.depart(world.hosts);
    expect(world.findLateUse(departure, 5_000)).toBeUndefined();
    expect(departure.confirmedAtMs - departure.startedAtMs).toBeLessThan(100);
    expect(gateways.map(({ received }) => received)).toEqual(gateways.map(() => 2));
  });
});
