import { describe, expect, it } from 'vitest';
import { GarbageLimit } from './GarbageLimit.js';

const LIMIT_BYTES = 1_000;

/** Limit with a clock and a number of bytes that the test sets. */
function createLimit() {
  const state = { nowMs: 0, bufferBytes: 0, collections: 0 };
  const limit = new GarbageLimit({
    limitBytes: LIMIT_BYTES,
    bufferBytes: () => state.bufferBytes,
    collect: () => {
      state.collections += 1;
    },
    nowMs: () => state.nowMs,
  });
  return { limit, state };
}

describe('GarbageLimit', () => {
  // Guards against buffers that were dropped and fill the machine before the engine collects them.
  it('collects garbage beyond its limit, and not what is in use', () => {
    const { limit, state } = createLimit();
    state.bufferBytes = 5_000;
    limit.check(4_000);
    expect(state.collections).toBe(0);
    limit.check(3_999);
    expect(state.collections).toBe(1);
  });

  // Guards against a process that does nothing but collect while a crowd holds uncounted buffers.
  it('collects at most once in 50 ms', () => {
    const { limit, state } = createLimit();
    state.bufferBytes = 5_000;
    Array.from({ length: 10 }, (unused, index) => index * 20).forEach((nowMs) => {
      state.nowMs = nowMs;
      limit.check(0);
    });
    expect(state.collections).toBe(4);
  });

  it('collects buffers of this process', () => {
    // Each check may collect: the loop takes 5 ms, and the process may hold the limit before it.
    let nowMs = 0;
    const limit = new GarbageLimit({ limitBytes: 8 * 1024 * 1024, nowMs: () => nowMs });
    for (let index = 0; index < 400; index += 1) {
      Buffer.allocUnsafeSlow(64 * 1024);
      nowMs += 50;
      limit.check(0);
    }
    expect(process.memoryUsage().arrayBuffers).toBeLessThan(25 * 1024 * 1024);
  });
});
