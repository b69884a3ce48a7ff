import { describe, expect, it } from 'vitest';
import type { EntryHost } from '../common/Placement.js';
import { createRandom } from '../common/Random.js';
import { createRoute } from '../common/routing/fixtures.js';
import { NoPickReason } from './DispatchTypes.js';
import { createEntryHost } from './fixtures.js';
import { PeerPicker } from './PeerPicker.js';
import type { Call } from './Types.js';

const createPeer = (id: string, changes: Partial<EntryHost> = {}) => ({
  ...createEntryHost(id),
  peerPort: 7_002,
  ...changes,
});

const call: Call = {
  callId: 'call-1',
  route: createRoute('read'),
  service: 'alpha',
  arrivedAtMs: 0,
  dueAtMs: 1_000,
  objectiveAtMs: 250,
  fingerprint: () => '',
  isCallerConnected: () => true,
};

function createPicker(hosts: readonly EntryHost[]) {
  const picker = new PeerPicker({
    selfId: 'e-0',
    availabilityZone: 'perth',
    random: createRandom(7),
    nowMs: () => 0,
  });
  picker.setEntryHosts(hosts);
  const pickIds = async (count: number, tried: readonly string[] = []) => {
    const ids = new Set<string>();
    for (let index = 0; index < count; index += 1) {
      // eslint-disable-next-line no-await-in-loop
      const picked = await picker.pick(call, undefined, new Set(tried));
      ids.add(picked.view ? picked.view.record.id : picked.reason);
    }
    return [...ids].sort();
  };
  return { picker, pickIds };
}

describe('PeerPicker', () => {
  it('never picks this host, nor one that stops, is cut off or takes no forwarded calls', async () => {
    const { picker, pickIds } = createPicker([
      createPeer('e-0'),
      createPeer('e-1', { stopping: true }),
      createPeer('e-2', { cutOff: true }),
      createPeer('e-3', { peerPort: 0 }),
    ]);
    expect(picker.hasPeers).toBe(false);
    expect(await pickIds(3)).toEqual([NoPickReason.NoBackend]);
  });

  it('spreads calls over the gateways of its zone, and over the others if it has none', async () => {
    const others = [1, 2].map((id) => createPeer(`e-${id}`, { availabilityZone: 'bunbury' }));
    const own = [3, 4, 5].map((id) => createPeer(`e-${id}`));
    expect(await createPicker([...others, ...own]).pickIds(50)).toEqual(['e-3', 'e-4', 'e-5']);
    expect(await createPicker(others).pickIds(50)).toEqual(['e-1', 'e-2']);
  });

  it('prefers the gateway with fewer calls in progress', async () => {
    const { picker, pickIds } = createPicker([createPeer('e-1'), createPeer('e-2')]);
    const busy = await picker.pick(call, undefined, new Set());
    busy.view!.inFlight = 9;
    const calm = busy.view!.record.id === 'e-1' ? 'e-2' : 'e-1';
    const counts = await Promise.all(
      Array.from({ length: 40 }, () => picker.pick(call, undefined, new Set())),
    );
    const calmCount = counts.filter(({ view }) => view?.record.id === calm).length;
    expect(calmCount).toBeGreaterThan(20);
    expect(await pickIds(1, [calm, 'e-9'])).toEqual([NoPickReason.Overloaded]);
  });

  it('avoids a gateway that could not be connected to, but not one that passes on failures', async () => {
    const { picker, pickIds } = createPicker([createPeer('e-1'), createPeer('e-2')]);
    const { view } = await picker.pick(call, undefined, new Set(['e-2']));
    for (let count = 0; count < 9; count += 1) view!.noteFailure(0);
    expect(await pickIds(40)).toEqual(['e-1', 'e-2']);
    view!.startBackoff(0);
    expect(await pickIds(40)).toEqual(['e-2']);
  });
});
