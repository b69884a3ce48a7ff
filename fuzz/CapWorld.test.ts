import { describe, expect, it } from 'vitest';
import { runCapWorld } from './CapWorld.js';
import { CapApproach, CapFault } from './CapWorldTypes.js';

/** The largest customer sends 7.5 times its usual rate, the largest surge of the requirement. */
const LARGE_SURGE = { surgeCustomer: 0, surgeFactor: 7.5, customers: 30, durationMs: 26_000 };

describe('usage caps in virtual time', () => {
  it.each([
    ['no fault', undefined],
    ['a gateway killed and restarted', CapFault.GatewayKilled],
    ['a gateway cut off', CapFault.GatewayCut],
    ['a gateway paused', CapFault.GatewayPaused],
    ['a quarter of the gateways cut off', CapFault.ZoneCut],
    ['a control host killed', CapFault.ControlKilled],
    ['all control hosts restarted', CapFault.AllControlRestarted],
  ])('guards against an overshoot in a surge with %s', (_, fault) => {
    const results = [20, 133].map((gateways) =>
      runCapWorld({ ...LARGE_SURGE, seed: 11, gateways, usualShare: 0.5, fault }),
    );
    results.forEach(({ worstWindow }) => expect(worstWindow).toBeLessThanOrEqual(1));
  });

  it('guards against refusals of customers at half of their rate beside a surge', () => {
    const { refusedOthers, calls } = runCapWorld({
      ...LARGE_SURGE,
      seed: 12,
      gateways: 133,
      usualShare: 0.5,
    });
    expect(refusedOthers / calls).toBeLessThan(0.001);
  });

  it('guards against reports and updates that grow with the calls: at most 30 a gateway', () => {
    const gateways = 133;
    const { messagesPerSecond } = runCapWorld({
      ...LARGE_SURGE,
      seed: 13,
      gateways,
      usualShare: 0.9,
    });
    expect(messagesPerSecond / gateways).toBeLessThan(30);
  });

  it('guards against a model that can not fail: equal shares refuse calls below the cap', () => {
    const options = { ...LARGE_SURGE, seed: 14, gateways: 133, usualShare: 0.5 };
    const equal = runCapWorld({ ...options, approach: CapApproach.EqualShares });
    expect(equal.refusedOthers / equal.calls).toBeGreaterThan(0.05);
  });
});
