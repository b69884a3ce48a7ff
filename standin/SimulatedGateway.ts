import type { Timeline } from '../fuzz/Timeline.js';
import type { EntryHost } from '../src/common/Placement.js';
import { createRandom } from '../src/common/Random.js';
import { BackendPool } from '../src/gateway/BackendPool.js';
import type { BackendView } from '../src/gateway/BackendView.js';
import { OrderedPicker } from '../src/gateway/admission/OrderedPicker.js';
import { ProbeAdmission } from '../src/gateway/admission/ProbeAdmission.js';
import { ColdLimiter } from '../src/gateway/ColdLimiter.js';
import { Dispatcher } from '../src/gateway/Dispatcher.js';
import type { CallDispatcher, PickPolicy } from '../src/gateway/DispatchTypes.js';
import { createBackend } from '../src/gateway/fixtures.js';
import { ForwardingDispatcher } from '../src/gateway/ForwardingDispatcher.js';
import { PeerPicker } from '../src/gateway/PeerPicker.js';
import { createPicker } from '../src/gateway/Pickers.js';
import { ReachMonitor, type ConnectResult } from '../src/gateway/ReachMonitor.js';
import { RequestLimiter, type LimitReport } from '../src/gateway/RequestLimiter.js';
import { RetryBudget } from '../src/gateway/RetryBudget.js';
import type { LimitReading, ProbeResult } from '../src/gateway/Types.js';
import { WorkEstimates } from '../src/gateway/WorkEstimates.js';

/** Options of a {@link SimulatedGateway}. */
export interface SimulatedGatewayOptions {
  readonly id: string;
  readonly seed: number;
  readonly policy: PickPolicy;
  readonly timeline: Timeline;
  /** Probe budget of each backend server; undefined for none. */
  readonly probesPerServerPerSecond?: number;
  /** True to schedule calls by urgency when capacity is short. */
  readonly overload?: boolean;
  /** Number of backend servers, named b-0, b-1 and so on. */
  readonly backends: number;
  /** Requests health and load of a backend server. */
  readonly probe: (gateway: SimulatedGateway, view: BackendView) => Promise<ProbeResult>;
  /** Opens a connection to a backend server and closes it. */
  readonly tryConnect: (
    gateway: SimulatedGateway,
    view: BackendView,
    timeoutMs: number,
  ) => Promise<ConnectResult>;
  /** Called when the gateway is cut off from the backend servers, or no longer is. */
  readonly onReachChanged: () => void;
  /** Sends a report to the other gateways. */
  readonly broadcast: (gateway: SimulatedGateway, report: LimitReport) => void;
}

/** Retry budget that the provider's deployments configure. */
const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 68 };

/** Dispatch of one gateway in virtual time, without sockets. */
export class SimulatedGateway {
  /** Dispatches the calls of its own callers. */
  readonly dispatcher: CallDispatcher;

  /** Dispatches forwarded calls too, only to backend servers. */
  readonly local: Dispatcher;

  readonly reach: ReachMonitor;

  private readonly peerPicker: PeerPicker;

  private readonly limits: RequestLimiter;

  private readonly cold: ColdLimiter;

  private readonly budget: RetryBudget;

  private readonly admission: ProbeAdmission | undefined;

  constructor(private readonly options: SimulatedGatewayOptions) {
    const { id, seed, policy, timeline } = options;
    const nowMs = () => timeline.nowMs;
    const log = () => {};
    const pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(seed) });
    const indexes = Array.from({ length: options.backends }, (unused, index) => index);
    pool.apply(
      indexes.map((index) => createBackend(`b-${index}`)),
      0,
    );
    this.cold = new ColdLimiter({ selfId: id });
    this.limits = new RequestLimiter({
      selfId: id,
      broadcast: (report) => options.broadcast(this, report),
      isKnown: () => true,
      log,
    });
    this.budget = new RetryBudget({ ...BUDGET, startedAtMs: -BUDGET.windowMs });
    const { cold, limits, budget } = this;
    const { probesPerServerPerSecond } = options;
    this.admission =
      probesPerServerPerSecond === undefined
        ? undefined
        : new ProbeAdmission({
            probesPerServerPerSecond,
            availabilityZone: 'perth',
            startedAtMs: nowMs(),
            serversOf: (service) => pool.usableCount(service),
            nowMs,
            log,
          });
    const { admission } = this;
    const work = new WorkEstimates();
    const probe = (view: BackendView) => options.probe(this, view);
    const setTimer = (delayMs: number, fire: () => void) => {
      let active = true;
      timeline.after(delayMs, () => active && fire());
      return () => {
        active = false;
      };
    };
    const crashes = { noteConnectionLost: () => {}, noteCompleted: () => {} };
    const shared = { budget, work, crashes, nowMs, setTimer, log };
    const picker = createPicker(policy, {
      pool,
      cold,
      limits,
      work,
      probe,
      nowMs,
      setTimer,
      log,
      admission,
    });
    const ordered = new OrderedPicker({
      picker,
      workMs: (call) => work.workMs(call),
      random: createRandom(seed),
      nowMs,
      setTimer,
    });
    this.local = new Dispatcher({
      ...shared,
      picker: options.overload ? ordered : picker,
      cold,
    });
    this.reach = new ReachMonitor({
      random: createRandom(seed),
      nowMs,
      setTimer,
      targets: () => pool.usable(),
      tryConnect: (view, timeoutMs) => options.tryConnect(this, view, timeoutMs),
      onChange: () => options.onReachChanged(),
      log,
    });
    const random = createRandom(seed);
    this.peerPicker = new PeerPicker({ selfId: id, availabilityZone: 'perth', random, nowMs });
    this.dispatcher = new ForwardingDispatcher({
      local: this.local,
      peers: new Dispatcher({
        ...shared,
        picker: this.peerPicker,
        cold: { noteSent: () => {} },
        budget: {
          noteCall: () => {},
          maySpend: () => false,
          trySpend: () => true,
          spend: () => {},
        },
      }),
      hasPeers: () => this.peerPicker.hasPeers,
      reach: this.reach,
      budget,
      nowMs,
    });
  }

  get id(): string {
    return this.options.id;
  }

  setEntryHosts(entryHosts: readonly EntryHost[]): void {
    this.cold.setEntryHosts(entryHosts);
    this.limits.setEntryHosts(entryHosts);
    this.budget.setEntryHosts(entryHosts.length);
    this.peerPicker.setEntryHosts(entryHosts);
    this.admission?.setGateways(entryHosts);
  }

  /** Counts a request that is sent now. */
  noteSent(view: BackendView): void {
    this.limits.noteSent(view, this.options.timeline.nowMs);
  }

  /** Applies the report of another gateway. */
  receive(report: LimitReport): void {
    this.limits.noteReport(report, this.options.timeline.nowMs);
  }

  /** Applies the limit in an answer of a backend server. */
  noteLimit(view: BackendView, reading: LimitReading, sentAtMs: number): void {
    this.limits.noteReading(view, reading, sentAtMs, this.options.timeline.nowMs);
  }
}
