import { describe, expect, it } from 'vitest';
import { bucketOf, fromSparse, RolloutArm } from '../../common/rollouts/Evidence.js';
import { RolloutState } from '../../common/rollouts/Types.js';
import { BackendView } from '../BackendView.js';
import { createAnswer, createBackend } from '../fixtures.js';
import { AttemptResultType, type AttemptResult, type Call } from '../Types.js';
import { EvidenceRecorder } from './EvidenceRecorder.js';

/** Recorder of a rollout of service alpha to v2, with servers of both versions. */
function createRecorder() {
  let nowMs = 0;
  let orderIndex = 7;
  const rollout = () => ({
    service: 'alpha',
    toVersion: 'v2',
    state: RolloutState.Running,
    share: 0.1,
    dueAtMs: 12_000,
    orderedAtMs: 0,
    orderIndex,
    shareSinceMs: 0,
  });
  const recorder = new EvidenceRecorder({
    gatewayId: 'g-1',
    startId: 'first',
    versions: { running: (service) => (service === 'alpha' ? rollout() : undefined) },
    routingIndex: () => 9,
    nowMs: () => nowMs,
  });
  const views = ['v1', 'v2'].map((version) => new BackendView(createBackend('b-1', { version })));
  const observe = (view: BackendView, service = 'alpha') => {
    let end: (result: AttemptResult) => void = () => {};
    const result = new Promise<AttemptResult>((resolve) => {
      end = resolve;
    });
    recorder.observe({ service, route: { name: 'read' } } as Call, view, { result });
    return async (ended: AttemptResult) => {
      end(ended);
      await result;
      await Promise.resolve();
    };
  };
  return {
    recorder,
    old: views[0]!,
    fresh: views[1]!,
    observe,
    setTime: (ms: number) => {
      nowMs = ms;
    },
    orderAnew: () => {
      orderIndex += 1;
    },
  };
}

describe('EvidenceRecorder', () => {
  it('counts failures, answers by latency, and attempts in progress by age', async () => {
    const { recorder, fresh, observe, setTime } = createRecorder();
    const [first, second] = [observe(fresh), observe(fresh)];
    observe(fresh);
    setTime(100);
    await first(createAnswer({ statusCode: 500 }));
    await second(createAnswer());
    setTime(400);
    const [report] = recorder.takeReports();
    const row = report!.rows[0]!;
    expect(row).toMatchObject({ arm: RolloutArm.Candidate, sent: 3, failed: 1 });
    expect(fromSparse(row.answered)[bucketOf(100)]).toBe(1);
    expect(fromSparse(row.running)[bucketOf(400)]).toBe(1);
  });

  it('counts answers without their mark as failures, and lost connections by server', async () => {
    const { recorder, old, observe } = createRecorder();
    await observe(old)(createAnswer({ authentic: false }));
    await observe(old)({ type: AttemptResultType.Unknown, reason: 'reset' });
    const row = recorder.takeReports()[0]!.rows[0]!;
    expect(row).toMatchObject({ arm: RolloutArm.Baseline, failed: 1, lost: { 'b-1': 1 } });
  });

  it('takes no latency from cold servers, which are slow in every version', async () => {
    const { recorder, fresh, observe } = createRecorder();
    fresh.noteCold(3_000, 0);
    await observe(fresh)(createAnswer());
    const row = recorder.takeReports()[0]!.rows[0]!;
    expect(row).toMatchObject({ coldAnswered: 1, answered: [] });
  });

  it('reports nothing on services without a running rollout, nor on an earlier order', async () => {
    const { recorder, old, observe, orderAnew } = createRecorder();
    await observe(old, 'beta')(createAnswer());
    expect(recorder.takeReports()).toEqual([]);
    observe(old);
    orderAnew();
    expect(recorder.takeReports()).toEqual([]);
  });

  it('reports each second without news, and at once with them', async () => {
    const { recorder, old, observe, setTime } = createRecorder();
    await observe(old)(createAnswer());
    expect(recorder.takeReports()).toHaveLength(1);
    expect(recorder.takeReports()).toHaveLength(0);
    setTime(1_000);
    expect(recorder.takeReports()).toMatchObject([{ sequence: 2, routingIndex: 9 }]);
  });
});
