import { describe, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import {
  largeChunks,
  repeat,
  requestsAhead,
  tinyChunks,
  unendedBody,
  unendedHead,
} from './Pieces.js';
import type { CrowdClient } from './Types.js';
import { READ_REQUEST, inWorld, type World } from './World.js';

const METRICS_PORTS = { gateway: 9_464, control: 9_465 };

const [FIRST_HOST_PORT] = SOAK_PORTS.hosts;

/** Ports of a machine, with a path that each answers. */
const PORTS: readonly (readonly [name: string, port: number, path: string])[] = [
  ['readiness', SOAK_PORTS.readiness, '/egretcourse/readiness'],
  ['directory', SOAK_PORTS.directory, '/egretcourse/resolve?zone=otaru-port'],
  ['operators', SOAK_PORTS.control, '/egretcourse/config'],
  ['metrics of the gateway', METRICS_PORTS.gateway, '/metrics'],
  ['metrics of the control host', METRICS_PORTS.control, '/metrics'],
  ['links between hosts', FIRST_HOST_PORT, '/'],
  ['administration', FIRST_HOST_PORT + 1, '/'],
  ['calls of other gateways', FIRST_HOST_PORT + 2, '/read/'],
];

function crowdOf(path: string): CrowdClient[] {
  return [
    ...repeat(100, () => ({ pieces: unendedBody({ path }, largeChunks(2_000_000)) })),
    ...repeat(4, () => ({ pieces: unendedBody({ path }, tinyChunks(300_000)) })),
    ...repeat(2, () => ({ pieces: requestsAhead(10_000, path, 0), reads: false })),
    ...repeat(200, () => ({ pieces: unendedHead(path, 60_000) })),
  ];
}

async function expectAnswers(world: World): Promise<void> {
  await world.expectAnswer({ port: SOAK_PORTS.control, path: '/egretcourse/config' });
  await world.expectAnswer({ port: METRICS_PORTS.gateway, path: '/metrics' });
  await world.expectAnswer({ port: METRICS_PORTS.control, path: '/metrics' });
  await world.expectAnswer({ port: SOAK_PORTS.readiness, path: '/egretcourse/readiness' });
  await world.expectAnswer(READ_REQUEST);
}

describe('other ports of a machine', () => {
  // Guards against ports without the bounds that the port for callers has.
  it.each(PORTS)('stays within its memory: %s', (name, port, path) =>
    inWorld({}, async (world) => {
      await world.attack(port, crowdOf(path));
      await expectAnswers(world);
    }),
  );
});
