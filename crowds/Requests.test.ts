import { describe, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import { CrowdPath } from './Backend.js';
import { repeat, requestsAhead, unendedHead } from './Pieces.js';
import { READ_REQUEST, inWorld } from './World.js';

const CALLERS = SOAK_PORTS.callers;

describe('gateway, heads and requests sent ahead', () => {
  // Guards against unended heads that are kept without a bound over all connections.
  it('stays within its memory with heads that have no end', () =>
    inWorld({}, async (world) => {
      const clients = repeat(3_500, () => ({ pieces: unendedHead(CrowdPath.Read, 60_000) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against requests that are admitted without a bound while an answer is due before them.
  it('stays within its memory with requests sent ahead', () =>
    inWorld({}, async (world) => {
      const clients = repeat(4, () => ({ pieces: requestsAhead(10_000, CrowdPath.Stuck, 0) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against bodies that are kept without a bound while an answer is due before them.
  it('stays within its memory with requests with bodies sent ahead', () =>
    inWorld({}, async (world) => {
      const clients = repeat(4, () => ({ pieces: requestsAhead(1_500, CrowdPath.Stuck, 64_000) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));
});
