import { describe, expect, it } from 'vitest';
import { GATEWAY_CONTACT_MS, GatewayProgress } from './GatewayProgress.js';

const TICK_MS = 20;

/** Progress that a control host checks at each tick until a time. */
function createChecked(untilMs: number) {
  const progress = new GatewayProgress();
  progress.watch(1, 'g-1', 0, 0);
  for (let nowMs = 0; nowMs <= untilMs; nowMs += TICK_MS) progress.behind(1, nowMs);
  return progress;
}

describe('GatewayProgress', () => {
  it('drops a gateway that has sent no heartbeat for the time of contact', () => {
    const progress = createChecked(GATEWAY_CONTACT_MS - TICK_MS);
    expect(progress.behind(1, GATEWAY_CONTACT_MS - 1)).toHaveLength(1);
    expect(progress.behind(1, GATEWAY_CONTACT_MS)).toEqual([]);
  });

  // Guards against a paused control host that reports no gateways before it reads their heartbeats.
  it('does not count a pause of the control host as silence of its gateways', () => {
    const progress = createChecked(200);
    expect(progress.behind(1, 5_000)).toEqual([{ id: 'g-1', appliedIndex: 0, knownIndex: 0 }]);
    expect(progress.contacts(5_000)).toBe(1);
    expect(progress.behind(1, 5_100)).toHaveLength(1);
    for (let nowMs = 5_120; nowMs <= 6_000; nowMs += TICK_MS) progress.behind(1, nowMs);
    expect(progress.behind(1, 6_000)).toEqual([]);
  });
});
