import { describe, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import { largeChunks, repeat, tinyChunks, unendedBody, type HeadOptions } from './Pieces.js';
import { READ_REQUEST, inWorld, type World } from './World.js';

const OPERATORS = SOAK_PORTS.control;

const CONFIG: HeadOptions = {
  method: 'PUT',
  path: '/egretcourse/config',
  headers: { 'If-Match': 'r1' },
};

const ANNOUNCEMENT: HeadOptions = { method: 'PUT', path: '/egretcourse/instances/ledger-9' };

async function expectAnswers(world: World): Promise<void> {
  await world.expectAnswer({ port: OPERATORS, path: '/egretcourse/config' });
  await world.expectAnswer(READ_REQUEST);
}

describe('control host, bodies that stop before their end', () => {
  // Guards against some hundred bytes kept for each chunk of a config.
  it('stays within its memory with few configs in one-byte chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(4, () => ({ pieces: unendedBody(CONFIG, tinyChunks(500_000)) }));
      await world.attack(OPERATORS, clients);
      await expectAnswers(world);
    }));

  // Guards against unended configs that are kept without a bound over all connections.
  it('stays within its memory with many configs in 64 KB chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(150, () => ({ pieces: unendedBody(CONFIG, largeChunks(4_000_000)) }));
      await world.attack(OPERATORS, clients);
      await expectAnswers(world);
    }));

  // Guards against unended announcements that are kept without a bound over all connections.
  it('stays within its memory with many announcements in chunks', () =>
    inWorld({}, async (world) => {
      const clients = repeat(200, (index) => ({
        pieces: unendedBody(
          ANNOUNCEMENT,
          index % 2 === 0 ? tinyChunks(20_000) : largeChunks(4_000_000),
        ),
      }));
      await world.attack(OPERATORS, clients);
      await expectAnswers(world);
    }));
});
