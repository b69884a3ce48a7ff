import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import type { EntryHost } from '../common/Placement.js';
import { pickIndex, type RandomSource } from '../common/Random.js';
import type { BackendView } from './BackendView.js';
import { NoPickReason, type PickResult, type Picker } from './DispatchTypes.js';
import { PeerView } from './PeerView.js';
import type { Call } from './Types.js';

/** Options of a {@link PeerPicker}. */
export interface PeerPickerOptions {
  readonly selfId: string;
  readonly availabilityZone: string;
  readonly random: RandomSource;
  readonly nowMs: () => number;
}

/** Gateways that one call is forwarded to, one after the other, while it has not run. */
const PEERS_MAX = 2;

/** Number of random candidates of which the one with the fewest forwarded calls is taken. */
const CANDIDATES = 2;

function createRecord(host: EntryHost): BackendRecord {
  return {
    id: host.id,
    service: '',
    address: host.address,
    port: host.peerPort,
    availabilityZone: host.availabilityZone,
    slots: 1,
    state: BackendState.Ready,
    bornMs: 0,
    sequence: 0,
    coldLeftMs: 0,
  };
}

/** True if a gateway accepts forwarded calls and reaches backend servers. */
function mayServe(host: EntryHost): boolean {
  return !host.stopping && host.cutOff !== true && host.peerPort > 0;
}

/**
 * Picks the gateway to which a call is forwarded: a calm one of the own availability zone, or of
 * another one if there is none. Gateways are views like backend servers, with their backoff.
 */
export class PeerPicker implements Picker {
  private readonly views = new Map<string, BackendView>();

  constructor(private readonly options: PeerPickerOptions) {}

  /** True if there is a gateway to forward to. */
  get hasPeers(): boolean {
    return this.views.size > 0;
  }

  /** Sets the live gateways. */
  setEntryHosts(entryHosts: readonly EntryHost[]): void {
    const peers = entryHosts.filter((host) => host.id !== this.options.selfId && mayServe(host));
    const ids = new Set(peers.map(({ id }) => id));
    this.views.forEach((view, id) => {
      if (!ids.has(id)) this.views.delete(id);
    });
    peers.forEach((host) => {
      const record = createRecord(host);
      const existing = this.views.get(host.id);
      if (existing) existing.update(record, this.options.nowMs());
      else this.views.set(host.id, new PeerView(record));
    });
  }

  pick(call: Call, service: unknown, tried: ReadonlySet<string>): Promise<PickResult> {
    const nowMs = this.options.nowMs();
    const untried = [...this.views.values()].filter((view) => !tried.has(view.record.id));
    const calm = untried.filter((view) => view.backoffUntilMs <= nowMs);
    const { availabilityZone } = this.options;
    const local = calm.filter((view) => view.record.availabilityZone === availabilityZone);
    const view = this.leastBusy(local.length > 0 ? local : calm);
    if (!view || tried.size >= PEERS_MAX) {
      const reason = untried.length > 0 ? NoPickReason.Overloaded : NoPickReason.NoBackend;
      return Promise.resolve({ view: null, reason, probes: 0, loads: '' });
    }
    const expectedMs = Math.max(0, call.objectiveAtMs - nowMs);
    return Promise.resolve({ view, expectedMs, probes: 0, loadAgeMs: 0 });
  }

  private leastBusy(views: readonly BackendView[]): BackendView | undefined {
    if (views.length === 0) return undefined;
    const drawn = Array.from(
      { length: CANDIDATES },
      () => views[pickIndex(this.options.random, views.length)]!,
    );
    return drawn.reduce((best, view) => (view.inFlight < best.inFlight ? view : best));
  }
}
