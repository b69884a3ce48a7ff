import { describe, expect, it } from 'vitest';
import { RoutingLag } from './RoutingLag.js';

describe('RoutingLag', () => {
  it('counts from the first report of a newer routing until it is applied', () => {
    const lag = new RoutingLag();
    lag.noteApplied(3);
    lag.noteReported(3, 100);
    expect(lag.behindMs(900)).toBe(0);
    lag.noteReported(5, 1_000);
    lag.noteReported(5, 1_400);
    lag.noteReported(4, 1_400);
    expect([lag.newestIndex, lag.behindMs(1_500)]).toEqual([5, 500]);
    lag.noteApplied(5);
    expect([lag.appliedIndex, lag.behindMs(1_500)]).toEqual([5, 0]);
  });

  // Guards against a gateway that counts as late although it applies each of many versions in time.
  it('counts each version of a series from its own first report', () => {
    const lag = new RoutingLag();
    const lags = Array.from({ length: 20 }, (_, n) => {
      lag.noteReported(n + 2, n * 300);
      lag.noteApplied(n + 1);
      return lag.behindMs(n * 300 + 200);
    });
    expect(Math.max(...lags)).toBe(200);
  });

  // Guards against memory that grows with the changes during a long time without the routing.
  it('merges reports beyond its capacity and still knows the newest', () => {
    const lag = new RoutingLag();
    for (let index = 1; index <= 500; index += 1) lag.noteReported(index, index);
    lag.noteApplied(499);
    expect([lag.newestIndex, lag.behindMs(1_000)]).toEqual([500, 936]);
    lag.noteApplied(500);
    expect(lag.behindMs(1_000)).toBe(0);
  });
});
