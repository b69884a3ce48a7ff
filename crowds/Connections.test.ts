import { describe, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import { repeat, requestHead } from './Pieces.js';
import type { CrowdClient } from './Types.js';
import { READ_REQUEST, inWorld } from './World.js';

const OPEN_FILES_MAX = 1_000;

/** Clients that send nothing, and some that send the start of a request. */
function silentClients(path: string): CrowdClient[] {
  return repeat(1_200, (index) => ({
    pieces: index % 4 === 0 ? [requestHead({ path }).subarray(0, 20)] : [],
  }));
}

describe('connections beyond the descriptors', () => {
  // Guards against a gateway without descriptors for its own connections.
  it('leaves the gateway within its descriptors', () =>
    inWorld({ openFilesMax: OPEN_FILES_MAX }, async (world) => {
      await world.attack(SOAK_PORTS.callers, silentClients('/read/'));
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against a control host without descriptors for its own connections.
  it('leaves the control host within its descriptors', () =>
    inWorld({ openFilesMax: OPEN_FILES_MAX }, async (world) => {
      await world.attack(SOAK_PORTS.control, silentClients('/egretcourse/config'));
      await world.expectAnswer({ port: SOAK_PORTS.control, path: '/egretcourse/config' });
      await world.expectAnswer(READ_REQUEST);
    }));
});
