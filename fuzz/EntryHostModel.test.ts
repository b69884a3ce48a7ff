import { describe, expect, it } from 'vitest';
import { World } from './World.js';

const DELAY_MS = 5;

describe('model of an entry host', () => {
  // Guards against requests that reach a successor over a connection to the process before it.
  it('resets a request whose connection ended with the process that accepted it', () => {
    const network = {
      minDelayMs: DELAY_MS,
      maxDelayMs: DELAY_MS,
      dropRatio: 0,
      duplicateRatio: 0,
    };
    const world = new World({ seed: 1, network, entryHosts: 1, backends: 1 });
    world.settle();
    const [backend] = world.backends;
    world.call(0);
    world.run(200);
    expect(world.results).toHaveLength(1);
    const before = backend!.requests;
    world.call(0);
    // The request is on its way from the entry host to the backend server.
    world.run(DELAY_MS * 1.5);
    backend!.restart();
    world.run(DELAY_MS);
    expect(backend!.requests).toBe(before);
    world.run(2_000);
    expect(world.results).toHaveLength(2);
  });
});
