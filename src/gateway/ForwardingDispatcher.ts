import { RouteKind, type RoutedService } from '../common/routing/Types.js';
import type { Dispatcher } from './Dispatcher.js';
import {
  DispatchOutcomeType,
  NoPickReason,
  type CallDispatcher,
  type CallSenders,
  type DispatchOutcome,
  type OnAbandoned,
  type PeerSenderOptions,
  type SendAttempt,
} from './DispatchTypes.js';
import type { RetryBudget } from './RetryBudget.js';
import type { Call } from './Types.js';

/** What is known about the links of this host to the backend servers. */
export interface ReachState {
  readonly isCut: boolean;
  /** True while this host is cut off, or may be. */
  readonly isSuspected: boolean;
  /** False if the last check reached no backend server at all. */
  readonly isAnyReached: boolean;
}

/** Options of a {@link ForwardingDispatcher}. */
export interface ForwardingDispatcherOptions {
  /** Sends calls to backend servers. */
  readonly local: Dispatcher;
  /** Sends calls to other gateways; counts no calls. */
  readonly peers: Dispatcher;
  readonly hasPeers: () => boolean;
  readonly reach: ReachState;
  readonly budget: RetryBudget;
  readonly nowMs: () => number;
}

/** Caller's retry delay while no gateway that reaches backend servers takes the call. */
const RETRY_AFTER_CUT_MS = 300;

/** Reasons of refusals that another gateway would give too. */
const SHARED_REASONS: ReadonlySet<string> = new Set([
  NoPickReason.Overloaded,
  NoPickReason.Cold,
  NoPickReason.Limited,
  NoPickReason.Rerouted,
]);

/**
 * Dispatches calls to backend servers and, while this host is cut off from all of them, through
 * another gateway. A call is forwarded once at most; the other gateway only dispatches it itself.
 */
export class ForwardingDispatcher implements CallDispatcher {
  constructor(private readonly options: ForwardingDispatcherOptions) {}

  async run(
    call: Call,
    service: RoutedService,
    senders: CallSenders,
    onAbandoned: OnAbandoned,
  ): Promise<DispatchOutcome> {
    const { local, reach, hasPeers } = this.options;
    const forward = (options: PeerSenderOptions) =>
      this.forward(call, service, senders.createPeerSender(options), onAbandoned);
    if (reach.isCut && hasPeers()) {
      return forward({ attemptsMax: call.route.attemptsMax, isCounted: false });
    }
    if (reach.isCut && !reach.isAnyReached) {
      const reason = NoPickReason.Unreachable;
      const retryAfterMs = RETRY_AFTER_CUT_MS;
      return { type: DispatchOutcomeType.Refused, reason, retryAfterMs, attempts: 0 };
    }
    const outcome = await local.run(call, service, senders.send, onAbandoned);
    const attemptsMax = this.attemptsLeft(call, outcome);
    if (attemptsMax === 0 || !reach.isSuspected || !hasPeers()) return outcome;
    return forward({ attemptsMax, isCounted: true });
  }

  /** Number of attempts that another gateway may make after the outcome; 0 if it is final. */
  private attemptsLeft(call: Call, outcome: DispatchOutcome): number {
    const { attemptsMax, kind } = call.route;
    if (!call.isCallerConnected() || call.mayBeSent?.() === false) return 0;
    if (outcome.type === DispatchOutcomeType.Refused) {
      if (SHARED_REASONS.has(outcome.reason)) return 0;
      // The rest of a streamed body can be sent only once.
      return call.isBodyStreamed && outcome.attempts > 0 ? 0 : attemptsMax;
    }
    const isRepeatable = kind !== RouteKind.NonIdempotent && !call.isBodyStreamed;
    if (outcome.type !== DispatchOutcomeType.Failed || !isRepeatable) return 0;
    const left = Math.max(0, attemptsMax - outcome.attempts);
    const { budget, nowMs } = this.options;
    return left > 0 && budget.trySpend(call.service, nowMs()) ? left : 0;
  }

  private async forward(
    call: Call,
    service: RoutedService,
    send: SendAttempt,
    onAbandoned: OnAbandoned,
  ): Promise<DispatchOutcome> {
    // The other gateway makes all attempts, so that a call sent to one is not sent to a second.
    const route = { ...call.route, attemptsMax: 1 };
    const forwarded = { ...call, route, isCounted: true };
    const outcome = await this.options.peers.run(forwarded, service, send, onAbandoned);
    if (outcome.type !== DispatchOutcomeType.Refused) return outcome;
    const retryAfterMs = Math.max(outcome.retryAfterMs, RETRY_AFTER_CUT_MS);
    return { ...outcome, retryAfterMs };
  }
}
