import { describe, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import { CrowdPath } from './Backend.js';
import { largeChunks, repeat, tinyChunks, unendedBody } from './Pieces.js';
import { READ_REQUEST, inWorld } from './World.js';

const CALLERS = SOAK_PORTS.callers;

const path = CrowdPath.Read;

describe('gateway, chunked bodies that stop before their end', () => {
  // Guards against some hundred bytes kept for each chunk of a body.
  it('stays within its memory with few callers, bodies in one-byte chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(4, () => ({ pieces: unendedBody({ path }, tinyChunks(500_000)) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against some hundred bytes kept for each chunk of many small bodies.
  it('stays within its memory with many callers, small bodies in one-byte chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(300, () => ({ pieces: unendedBody({ path }, tinyChunks(10_000)) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against unended bodies that are kept without a bound over all connections.
  it('stays within its memory with many callers, bodies in 64 KB chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(800, () => ({ pieces: unendedBody({ path }, largeChunks(450_000)) }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));
});
