import { describe, expect, it } from 'vitest';
import { SOAK_PORTS } from '../soak/Deployment.js';
import { CrowdPath } from './Backend.js';
import { endedBody, largeChunks, repeat, requestHead, unendedBody } from './Pieces.js';
import { READ_REQUEST, inWorld } from './World.js';

const CALLERS = SOAK_PORTS.callers;

const BODY_MAX_BYTES = 4 * 1024 * 1024;

const path = CrowdPath.Read;

function* announced(bytes: number): Generator<Buffer, void, undefined> {
  yield requestHead({ method: 'POST', path, headers: { 'Content-Length': bytes } });
  yield* largeChunks(3 * BODY_MAX_BYTES);
}

describe('gateway, bodies over the limit', () => {
  // Guards against bodies that are kept although their announced length is over the limit.
  it('stays within its memory with bodies that are announced as too long', () =>
    inWorld({ bodyBytesMax: BODY_MAX_BYTES }, async (world) => {
      const clients = repeat(40, () => ({ pieces: announced(4_000_000_000) }));
      const crowd = await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
      expect(crowd.answers.filter((answer) => answer.startsWith('HTTP/1.1 200'))).toEqual([]);
    }));

  // Guards against bodies that are kept beyond the limit, as their length is not announced.
  it('stays within its memory with chunked bodies that are too long and have no end', () =>
    inWorld({ bodyBytesMax: BODY_MAX_BYTES }, async (world) => {
      const clients = repeat(40, () => ({
        pieces: unendedBody({ path }, largeChunks(5 * BODY_MAX_BYTES)),
      }));
      await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
    }));

  // Guards against a limit that does not hold for bodies that are too long to be buffered.
  it('serves no chunked body over the limit', () =>
    inWorld({ bodyBytesMax: BODY_MAX_BYTES }, async (world) => {
      const clients = repeat(10, () => ({
        pieces: endedBody({ path }, largeChunks(2 * BODY_MAX_BYTES)),
      }));
      const crowd = await world.attack(CALLERS, clients);
      await world.expectAnswer(READ_REQUEST);
      expect(crowd.answers.filter((answer) => answer.startsWith('HTTP/1.1 200'))).toEqual([]);
    }));
});
