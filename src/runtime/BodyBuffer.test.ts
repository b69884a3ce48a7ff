import { describe, expect, it } from 'vitest';
import { BodyBuffer } from './BodyBuffer.js';

describe('BodyBuffer', () => {
  it.each([
    ['nothing', []],
    ['one chunk', [100]],
    ['chunks of many sizes', [1, 1_023, 2, 70_000, 0, 65_536, 3]],
  ])('returns the bytes of %s in order', (name, sizes) => {
    const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
    const buffer = new BodyBuffer();
    chunks.forEach((chunk) => buffer.append(chunk));
    const expected = Buffer.concat(chunks);
    expect(buffer.length).toBe(expected.length);
    expect(buffer.take().equals(expected)).toBe(true);
    expect(buffer.length).toBe(0);
  });

  it('returns its blocks in order, and a chunk that fills its own buffer without a copy', () => {
    const buffer = new BodyBuffer();
    const whole = Buffer.allocUnsafeSlow(64 * 1_024).fill(2);
    const chunks = [Buffer.alloc(10, 1), whole, Buffer.alloc(5, 3)];
    chunks.forEach((chunk) => buffer.append(chunk));
    expect(buffer.length).toBe(whole.length + 15);
    const blocks = buffer.takeBlocks();
    expect(Buffer.concat(blocks).equals(Buffer.concat(chunks))).toBe(true);
    expect(blocks.some(({ buffer: memory }) => memory === whole.buffer)).toBe(true);
    expect(buffer.length).toBe(0);
  });

  // Guards against the memory of each chunk being kept until the end of the body.
  it('keeps no chunk', () => {
    const buffer = new BodyBuffer();
    const chunk = Buffer.from('a');
    buffer.append(chunk);
    chunk.write('b');
    expect(buffer.take().toString()).toBe('a');
  });
});
