import assert from 'node:assert';
import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { FaultBoundary } from './FaultBoundary.js';

/** More than any process can allocate, within the largest length of a buffer. */
const UNAVAILABLE_BYTES = Number.MAX_SAFE_INTEGER;

function createBoundary() {
  const ends: unknown[] = [];
  return { boundary: new FaultBoundary((error) => ends.push(error)), ends };
}

describe('FaultBoundary', () => {
  // Guards against a process that ends since a listener of one call throws.
  it('ends what a listener serves, once, and not the process', () => {
    const { boundary, ends } = createBoundary();
    const emitter = new EventEmitter();
    const fault = new Error('fault');
    const listener = boundary.wrap(() => {
      throw fault;
    });
    emitter.on('data', listener);
    emitter.emit('data');
    emitter.emit('data');
    expect(ends).toEqual([fault]);
  });

  it('passes arguments and results on', () => {
    const { boundary, ends } = createBoundary();
    expect(boundary.wrap((a: number, b: number) => a + b)(1, 2)).toBe(3);
    expect(boundary.run(() => 'result')).toBe('result');
    expect(ends).toEqual([]);
  });

  // Guards against a process that goes on although its own state is broken.
  it('throws failed assertions and allocations on', () => {
    const { boundary, ends } = createBoundary();
    expect(() => boundary.run(() => assert.fail('broken'))).toThrow('broken');
    const allocation = Object.assign(new Error('memory'), { code: 'ERR_MEMORY_ALLOCATION_FAILED' });
    expect(() => boundary.note(allocation)).toThrow('memory');
    expect(() => boundary.run(() => new ArrayBuffer(UNAVAILABLE_BYTES))).toThrow('allocation');
    expect(ends).toEqual([]);
  });

  it('throws an error of the end itself on', () => {
    const boundary = new FaultBoundary(() => {
      throw new Error('end');
    });
    expect(() => boundary.note(new Error('fault'))).toThrow('end');
  });
});
