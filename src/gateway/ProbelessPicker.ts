import type { RoutedService } from '../common/routing/Types.js';
import type { BackendPool } from './BackendPool.js';
import type { BackendView } from './BackendView.js';
import type { ColdLimiter } from './ColdLimiter.js';
import { NoPickReason, type PickResult, type Picker } from './DispatchTypes.js';
import type { Call } from './Types.js';
import type { RequestLimiter } from './RequestLimiter.js';
import type { VersionFilter } from './rollouts/VersionChooser.js';
import type { WorkEstimates } from './WorkEstimates.js';

/** Options of a {@link ProbelessPicker}. */
export interface ProbelessPickerOptions {
  readonly pool: BackendPool;
  readonly cold: ColdLimiter;
  readonly limits: RequestLimiter;
  readonly work: WorkEstimates;
  readonly nowMs: () => number;
  /** Chooses among the backend servers that may receive the call, given in candidate order. */
  readonly choose: (views: readonly BackendView[], service: string) => BackendView;
}

/** Power of two choices: of the first two, the one with fewer calls of this host in flight. */
export function chooseOfTwo(views: readonly BackendView[]): BackendView {
  const [first, second] = views;
  return second && second.inFlight < first!.inFlight ? second : first!;
}

/** Creates a round-robin choice over the backend servers of each service. */
export function createRoundRobin(): ProbelessPickerOptions['choose'] {
  const turns = new Map<string, number>();
  return (views, service) => {
    const sorted = [...views].sort((a, b) => (a.record.id < b.record.id ? -1 : 1));
    const turn = turns.get(service) ?? 0;
    turns.set(service, turn + 1);
    return sorted[turn % sorted.length]!;
  };
}

/**
 * Picks without probes, from this host's own state. Serves as the baseline for just-in-time picks,
 * and for backend servers that do not report their load.
 */
export class ProbelessPicker implements Picker {
  constructor(private readonly options: ProbelessPickerOptions) {}

  pick(
    call: Call,
    service: RoutedService,
    tried: ReadonlySet<string>,
    versions?: readonly VersionFilter[],
  ): Promise<PickResult> {
    const { pool, cold, limits, work, choose } = this.options;
    const nowMs = this.options.nowMs();
    const { local, remote } = pool.candidates({ service: service.name, nowMs, tried, versions });
    const announced = [...local, ...remote];
    const withinLimit = announced.filter((view) => limits.maySend(view, nowMs));
    const eligible = withinLimit.filter((view) => cold.maySend(view, service.coldPerSecond, nowMs));
    if (eligible.length === 0) {
      const reason = ProbelessPicker.reasonFor(announced.length, withinLimit.length);
      return Promise.resolve({ view: null, reason, probes: 0, loads: '' });
    }
    const view = choose(eligible, service.name);
    const expectedMs = view.expectedMs(work.workMs(call), nowMs);
    return Promise.resolve({ view, expectedMs, probes: 0, loadAgeMs: nowMs - view.loadAtMs });
  }

  private static reasonFor(announced: number, withinLimit: number): NoPickReason {
    if (announced === 0) return NoPickReason.NoBackend;
    return withinLimit === 0 ? NoPickReason.Limited : NoPickReason.Cold;
  }
}
