import { describe, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import { CrowdPath } from './Backend.js';
import { repeat, requestsAhead } from './Pieces.js';
import { READ_REQUEST, inWorld } from './World.js';

const CALLERS = SOAK_PORTS.callers;

describe('gateway, answers', () => {
  // Guards against answers that are kept without a bound for clients that do not read.
  it('stays within its memory with large answers that are not read', () =>
    inWorld({}, async (world) => {
      const clients = repeat(500, () => ({
        pieces: requestsAhead(8, CrowdPath.Large, 0),
        reads: false,
      }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against some hundred bytes kept for each chunk of a backend server's answer.
  it('stays within its memory with read answers in one-byte chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(40, () => ({ pieces: requestsAhead(1, CrowdPath.Tiny, 0) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against some hundred bytes kept for each chunk of an answer that is not read.
  it('stays within its memory with answers in one-byte chunks that are not read', () =>
    inWorld({}, async (world) => {
      const clients = repeat(20, () => ({
        pieces: requestsAhead(2, CrowdPath.Tiny, 0),
        reads: false,
      }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));
});
