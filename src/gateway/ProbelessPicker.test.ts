import { describe, expect, it } from 'vitest';
import { createRandom } from '../common/Random.js';
import { createRoute, createService } from '../common/routing/fixtures.js';
import { BackendPool } from './BackendPool.js';
import {
  ProbelessPicker,
  chooseOfTwo,
  createRoundRobin,
  type ProbelessPickerOptions,
} from './ProbelessPicker.js';
import { ColdLimiter } from './ColdLimiter.js';
import { NoPickReason } from './DispatchTypes.js';
import { createBackend, createEntryHost, createLimiter } from './fixtures.js';
import type { Call } from './Types.js';
import { WorkEstimates } from './WorkEstimates.js';

const IDS = ['b-1', 'b-2', 'b-3', 'b-4'];

function createPicker(choose: ProbelessPickerOptions['choose'], ids: readonly string[] = IDS) {
  const pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(7) });
  pool.apply(
    ids.map((id) => createBackend(id)),
    0,
  );
  const cold = new ColdLimiter({ selfId: 'entry-1' });
  cold.setEntryHosts([createEntryHost('entry-1')]);
  const limits = createLimiter();
  limits.setEntryHosts([createEntryHost('entry-1')]);
  const picker = new ProbelessPicker({
    pool,
    cold,
    limits,
    work: new WorkEstimates(),
    nowMs: () => 0,
    choose,
  });
  const route = createRoute('read');
  const call: Call = {
    callId: 'call-1',
    route,
    service: 'alpha',
    arrivedAtMs: 0,
    dueAtMs: 1_000,
    objectiveAtMs: 250,
    fingerprint: () => 'GET /read/x',
    isCallerConnected: () => true,
  };
  const pick = (tried: readonly string[] = []) =>
    picker.pick(call, createService('alpha'), new Set(tried));
  return { pool, cold, limits, pick };
}

describe('ProbelessPicker', () => {
  it('takes backend servers in turn with round robin', async () => {
    const { pick } = createPicker(createRoundRobin());
    const picks = await Promise.all(Array.from({ length: 8 }, () => pick()));
    expect(picks.map(({ view }) => view?.record.id)).toEqual([...IDS, ...IDS]);
  });

  it('takes the one of two backend servers with fewer calls in flight', async () => {
    const { pool, pick } = createPicker(chooseOfTwo, ['b-1', 'b-2']);
    pool.get('b-1')!.inFlight = 3;
    const picks = await Promise.all(Array.from({ length: 20 }, () => pick()));
    expect(new Set(picks.map(({ view }) => view?.record.id))).toEqual(new Set(['b-2']));
  });

  it('never sends one call twice to the same backend server', async () => {
    const { pick } = createPicker(chooseOfTwo);
    const { view } = await pick(['b-1', 'b-2', 'b-3']);
    expect(view?.record.id).toBe('b-4');
  });

  it('keeps to the rate of cold backend servers', async () => {
    const { pool, cold, pick } = createPicker(chooseOfTwo, ['b-1']);
    const view = pool.get('b-1')!;
    view.noteCold(3_000, 0);
    Array.from({ length: 30 }).forEach(() => cold.noteSent(view, 0));
    expect(await pick()).toMatchObject({ view: null, reason: NoPickReason.Cold });
  });

  it('reports that no backend server is announced', async () => {
    const { pick } = createPicker(chooseOfTwo, []);
    expect(await pick()).toMatchObject({ view: null, reason: NoPickReason.NoBackend });
  });
});
