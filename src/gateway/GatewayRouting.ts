import { EgretError, ErrorKind } from '../common/Errors.js';
import type { PongMessage } from '../common/Messages.js';
import type { RandomSource } from '../common/Random.js';
import type { RoutingView } from '../common/routing/Types.js';
import { ActiveRouting } from './ActiveRouting.js';
import type { DecisionLog } from './DispatchTypes.js';
import { HeldCalls, type HeldCallsOptions } from './HeldCalls.js';
import { RoutingFreshness, FreshnessState } from './RoutingFreshness.js';

/** Options of a {@link GatewayRouting}. */
export interface GatewayRoutingOptions extends HeldCallsOptions {
  readonly random: RandomSource;
  readonly nowMs: () => number;
  /** Sends a heartbeat to the control hosts at once. */
  readonly ping: () => void;
  /** Called when calls begin or cease to be refused because of the routing. */
  readonly onUsableChange: () => void;
  /** Registers a gauge that is read at each scrape. */
  readonly gauge: (name: string, help: string, read: () => number) => void;
  readonly log: DecisionLog;
}

/**
 * Caller's retry delay while this gateway must not use its routing; short, since another gateway may
 * use its own.
 */
const RETRY_AFTER_MS = 150;

/** Why a gateway refuses calls because of its routing. */
const REFUSALS: Partial<Record<FreshnessState, string>> = {
  [FreshnessState.Starting]: 'No control host has confirmed a routing since the start.',
  [FreshnessState.Behind]: 'A newer routing than the applied one is known.',
  [FreshnessState.Unconfirmed]: 'No control host has confirmed the applied routing lately.',
};

/** Age in log lines and metrics while no news of a control host counts. */
const NO_NEWS_MS = -1;

/** States in which a gateway is not ready. */
const UNUSABLE: ReadonlySet<FreshnessState> = new Set([
  FreshnessState.Starting,
  FreshnessState.Behind,
]);

/** Routing of a gateway, and whether calls may be served by it. */
export class GatewayRouting {
  readonly active: ActiveRouting;

  private readonly freshness: RoutingFreshness;

  private readonly held: HeldCalls;

  private state = FreshnessState.CutOff;

  /** Calls that were served although no current control host had confirmed the routing lately. */
  private servedUnconfirmed = 0;

  constructor(private readonly options: GatewayRoutingOptions) {
    this.active = new ActiveRouting(options.random);
    this.freshness = new RoutingFreshness({ startedAtMs: options.nowMs() });
    this.held = new HeldCalls(options);
    this.registerGauges();
  }

  /** False while calls must not be served by the applied routing, as a newer one may be in force. */
  get isUsable(): boolean {
    return !UNUSABLE.has(this.refresh());
  }

  /** True while a newer routing has been known for too long. */
  get isBehind(): boolean {
    return this.refresh() === FreshnessState.Behind;
  }

  /** True while news of a current control host is missing, and was awaited in vain. */
  get isCutOff(): boolean {
    return this.refresh() === FreshnessState.CutOff;
  }

  /** Log index of the newest routing that this gateway will apply, or refuse calls without. */
  get knownIndex(): number {
    return this.freshness.lag.knownIndex;
  }

  /** Applies a routing that a control host sent; returns false if it is not newer, or unreadable. */
  apply(view: RoutingView, control: string): boolean {
    const { active, options } = this;
    const { lag } = this.freshness;
    const before = active.version;
    const behindMs = lag.behindMs(options.nowMs());
    if (!this.tryApply(view, control)) return false;
    this.freshness.noteApplied(view.index);
    options.log('routing_applied', {
      index: view.index,
      version: view.version,
      before,
      control,
      newest: lag.newestIndex,
      behindMs,
      closedZones: view.closedZones.join(','),
    });
    this.refresh();
    options.ping();
    return true;
  }

  private tryApply(view: RoutingView, control: string): boolean {
    try {
      return this.active.apply(view);
    } catch (error) {
      // The heartbeats keep the old index, so that the routing is sent again.
      this.options.log('message_refused', { from: control, detail: String(error) });
      if (view) this.noteRefused(view.index);
      return false;
    }
  }

  /** Records that a routing arrived that can not be read; the applied one is used on. */
  noteRefused(index: number): void {
    this.freshness.noteRefused(index);
    this.refresh();
  }

  /** Records a heartbeat to all control hosts. */
  notePing(pingId: number): void {
    this.freshness.notePing(pingId, this.options.nowMs());
    this.refresh();
  }

  /** Takes the answer of a control host to a heartbeat. */
  notePong(pong: PongMessage, control: string): void {
    const { knownIndex } = this;
    this.freshness.notePong(control, pong, this.options.nowMs());
    this.refresh();
    // A confirmation may wait until the control hosts have learned that this gateway knows.
    if (this.knownIndex > knownIndex) this.options.ping();
  }

  /** Records that a link to a control host is open. */
  noteLinked(control: string): void {
    this.freshness.noteLinked(control);
    this.refresh();
  }

  /** Records that the link to a control host was lost. */
  noteLost(control: string): void {
    this.freshness.noteLost(control);
    this.refresh();
  }

  /** Waits briefly for news of a control host if the routing is unconfirmed. */
  async waitUntilConfirmed(budgetMs: number): Promise<void> {
    if (this.refresh() !== FreshnessState.Unconfirmed) return;
    await this.held.hold(budgetMs, this.freshness.unconfirmedLeftMs(this.options.nowMs()));
  }

  /** Counts a call that is served; returns its state for log lines, undefined while current. */
  noteServed(): FreshnessState | undefined {
    const state = this.refresh();
    if (state === FreshnessState.Current) return undefined;
    this.servedUnconfirmed += 1;
    return state;
  }

  /** Error for a call that must not be served by the applied routing; undefined if it may. */
  refusal(): EgretError | undefined {
    const detail = REFUSALS[this.refresh()];
    if (detail === undefined) return undefined;
    return new EgretError(ErrorKind.NotCurrent, detail, { retryAfterMs: RETRY_AFTER_MS });
  }

  /** Brings the state up to date, and acts on its change. */
  private refresh(): FreshnessState {
    const { options, freshness, active, state: before } = this;
    const nowMs = options.nowMs();
    const state = freshness.stateAt(nowMs);
    if (state === before) return state;
    this.state = state;
    const { lag } = freshness;
    const { control, links, currentLinks } = freshness.newsAt(nowMs);
    options.log('routing_state', {
      state,
      before,
      index: active.logIndex,
      newest: lag.newestIndex,
      behindMs: lag.behindMs(nowMs),
      newsMs: this.newsMs(nowMs),
      newsFrom: control,
      links,
      currentLinks,
    });
    if (state !== FreshnessState.Unconfirmed) this.held.release();
    else options.ping();
    if (UNUSABLE.has(state) || UNUSABLE.has(before)) options.onUsableChange();
    return state;
  }

  /** Age of the last news of a current control host, or {@link NO_NEWS_MS}. */
  private newsMs(nowMs: number): number {
    const { ageMs } = this.freshness.newsAt(nowMs);
    return Number.isFinite(ageMs) ? Math.round(ageMs) : NO_NEWS_MS;
  }

  private registerGauges(): void {
    const { active, options } = this;
    const { lag } = this.freshness;
    options.gauge('egret_routing_version', 'Routing in force.', () => active.version);
    options.gauge(
      'egret_routing_index',
      'Log index of the applied routing.',
      () => active.logIndex,
    );
    options.gauge(
      'egret_routing_newest_index',
      'Log index of the newest routing heard of.',
      () => lag.newestIndex,
    );
    options.gauge(
      'egret_routing_behind_seconds',
      'Time since a routing newer than the applied one was first reported; 0 if none is.',
      () => lag.behindMs(options.nowMs()) / 1_000,
    );
    options.gauge(
      'egret_routing_news_age_seconds',
      'Age of the last news of a current control host; negative if none counts.',
      () => this.newsMs(options.nowMs()) / 1_000,
    );
    options.gauge(
      'egret_routing_calls_unconfirmed',
      'Calls served although no current control host had confirmed the routing lately.',
      () => this.servedUnconfirmed,
    );
    options.gauge(
      'egret_routing_current_links',
      'Linked control hosts whose latest answer said that they are current.',
      () => this.freshness.newsAt(options.nowMs()).currentLinks,
    );
  }
}
