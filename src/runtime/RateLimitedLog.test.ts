import { describe, expect, it } from 'vitest';
import { RateLimitedLog } from './RateLimitedLog.js';

describe('RateLimitedLog', () => {
  it('counts the lines above the limit per second', async () => {
    let nowMs = 0;
    const written: string[] = [];
    const log = new RateLimitedLog({
      base: { host: 'a' },
      linesPerSecond: 2,
      nowMs: () => nowMs,
      wallMs: () => 0,
      write: (text, done) => {
        written.push(text);
        done();
      },
    });
    for (let line = 0; line < 5; line += 1) log.line('call_late', { call: line });
    nowMs = 1_000;
    log.line('call_late', { call: 5 });
    await log.flush();
    const lines = written.join('').trim().split('\n');
    expect(lines).toHaveLength(4);
    expect(lines[2]).toContain('event=lines_suppressed host=a of=call_late count=3');
  });

  it('drops and counts lines instead of blocking while its output is not read', async () => {
    let release = () => {};
    const written: string[] = [];
    const log = new RateLimitedLog({
      base: {},
      linesPerSecond: Infinity,
      write: (text, done) => {
        written.push(text);
        release = done;
      },
    });
    const startedAtMs = performance.now();
    log.line('call_late', { text: 'x'.repeat(100_000) });
    const flushed = log.flush();
    for (let line = 0; line < 10_000; line += 1) log.line('call_late', { call: line });
    expect(performance.now() - startedAtMs).toBeLessThan(2_000);
    expect(written).toHaveLength(1);
    release();
    await flushed;
    log.line('call_late', { call: 'after' });
    const secondFlush = log.flush();
    release();
    await secondFlush;
    expect(written.join('')).toMatch(/event=lines_dropped .*count=\d{4}/);
  });

  // Guards against a process that exits before its last lines are written.
  it('resolves a flush once the lines written before it are out, also during a write', async () => {
    const writes: { text: string; done: () => void }[] = [];
    const log = new RateLimitedLog({
      base: {},
      write: (text, done) => writes.push({ text, done }),
    });
    let flushed = 0;
    const flush = () =>
      log.flush().then(() => {
        flushed += 1;
      });
    const settle = () =>
      new Promise((resolve) => {
        setImmediate(resolve);
      });
    log.line('call_late', { call: 1 });
    const flushes = [flush()];
    log.line('call_late', { call: 2 });
    flushes.push(flush());
    await settle();
    expect(flushed).toBe(0);
    writes[0]!.done();
    await settle();
    expect(flushed).toBe(1);
    expect(writes).toHaveLength(2);
    expect(writes[1]!.text).toContain('call=2');
    // Nothing is pending, but the last lines are not out yet.
    flushes.push(flush());
    await settle();
    expect(flushed).toBe(1);
    writes[1]!.done();
    await Promise.all(flushes);
    expect(flushed).toBe(3);
    await log.flush();
    expect(writes).toHaveLength(2);
  });

  // Guards against a process that doesn't end because nobody reads its log.
  it('ends a flush after a limited time if the output is not read', async () => {
    const log = new RateLimitedLog({ base: {}, write: () => {} });
    log.line('call_late', { call: 1 });
    const startedAtMs = performance.now();
    await Promise.all([log.flush(), log.flush()]);
    expect(performance.now() - startedAtMs).toBeLessThan(2_000);
  });
});
