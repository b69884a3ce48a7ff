import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { TrafficPurpose, ZoneTraffic } from './ZoneTraffic.js';

// Guards against time series that grow with what other processes send.
it('bounds its time series, whatever zones and message types the other ends name', async () => {
  const registry = new Registry();
  const traffic = new ZoneTraffic({
    registry,
    availabilityZone: 'perth',
    messageTypes: ['ping'],
  });
  for (let index = 0; index < 500; index += 1) {
    const amount = { purpose: TrafficPurpose.Control, bytes: 1, peerZone: `zone-${index}` };
    traffic.noteSent({ ...amount, message: `type-${index}` });
  }
  const { values } = await registry.getSingleMetric('egret_zone_bytes_total')!.get();
  expect(values.length).toBeLessThan(20);
  expect(values.reduce((sum, { value }) => sum + value, 0)).toBe(500);
});
