import type { LogEvent } from '../common/LogEvents.js';
import type { BackendView } from './BackendView.js';
import type { ColdLimiter } from './ColdLimiter.js';
import type { RoutedService } from '../common/routing/Types.js';
import type { VersionFilter } from './rollouts/VersionChooser.js';
import type { AttemptHandle, BackendAnswer, Call } from './Types.js';
import type { WorkEstimates } from './WorkEstimates.js';

/** Sends one attempt of a call. */
export type SendAttempt = (view: BackendView, remainingMs: number) => AttemptHandle;

/** Writes a log line about a dispatch decision. */
export type DecisionLog = (
  event: LogEvent,
  fields: Readonly<Record<string, string | number | boolean | undefined>>,
) => void;

/** Why no backend server was picked. */
export enum NoPickReason {
  /** No announced backend server accepts work and is still untried by the call. */
  NoBackend = 'no-backend',
  /** No backend server that answered can finish before the deadline. */
  Overloaded = 'overloaded',
  /** Only cold backend servers are left, and their rate limit is used up. */
  Cold = 'cold',
  /** Only backend servers that name a limit of requests are left, and this host's share is used up. */
  Limited = 'limited',
  /** No backend server answered a probe. */
  Unreachable = 'unreachable',
  /** A planned stop of this host leaves too little time for the call. */
  Stopping = 'stopping',
  /** The routing in force does not lead the call to the service any more. */
  Rerouted = 'rerouted',
}

/** Result of picking a backend server. */
export type PickResult =
  | {
      readonly view: BackendView;
      readonly expectedMs: number;
      readonly probes: number;
      readonly loadAgeMs: number;
    }
  | {
      readonly view: null;
      readonly reason: NoPickReason;
      readonly probes: number;
      /** Loads of the backend servers that answered, for the log. */
      readonly loads: string;
      /** Caller's retry delay, if it depends on the call. */
      readonly retryAfterMs?: number;
    };

/** Chooses a backend server for one attempt. */
export interface Picker {
  /**
   * @param versions Versions to choose from, the first one with an untried server; all by default.
   */
  pick(
    call: Call,
    service: RoutedService,
    tried: ReadonlySet<string>,
    versions?: readonly VersionFilter[],
  ): Promise<PickResult>;
}

/** Policies for picking a backend server; the values are those of the settings. */
export enum PickPolicy {
  /** Probes a few candidates for their load right before the call is sent. */
  JustInTime = 'just-in-time',
  /** Picks whichever of two candidates has fewer calls of this host in flight. */
  TwoChoices = 'two-choices',
  RoundRobin = 'round-robin',
}

/** Inputs of a pick, for the log. */
export interface PickInputs {
  /** Kind of attempt: `first`, `retry` or `second copy` (a hedged attempt). */
  readonly cause: string;
  readonly expectedMs: number;
  readonly probes: number;
  /** Age of the load in the fields below. */
  readonly loadAgeMs: number;
  readonly running: number | undefined;
  readonly waiting: number | undefined;
  readonly slowdown: number | undefined;
}

/** Receives the results of attempts, to detect calls that crash backend servers. */
export interface CrashObserver {
  noteConnectionLost(view: BackendView, fingerprint: () => string): void;
  noteCompleted(fingerprint: () => string): void;
}

/** Part of the retry budget that a dispatcher uses. */
export interface CallBudget {
  noteCall(service: string, nowMs: number): void;
  maySpend(service: string, nowMs: number, share?: number): boolean;
  trySpend(service: string, nowMs: number, share?: number): boolean;
  spend(service: string, nowMs: number): void;
}

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly picker: Picker;
  readonly cold: Pick<ColdLimiter, 'noteSent'>;
  readonly budget: CallBudget;
  readonly work: WorkEstimates;
  /** Notified of connections lost while a call was running, and of completed calls. */
  readonly crashes: CrashObserver;
  /** Notified of each attempt that was sent. */
  readonly observe?: (call: Call, view: BackendView, handle: AttemptHandle) => void;
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => () => void;
  readonly log: DecisionLog;
}

/** How a call ended. */
export enum DispatchOutcomeType {
  Answer = 'answer',
  /** The call has not run and never will. */
  Refused = 'refused',
  /** The call may have run. */
  Failed = 'failed',
  /** The deadline passed while the call may have been running. */
  TimedOut = 'timed-out',
  /** The caller disconnected. */
  Abandoned = 'abandoned',
}

export type DispatchOutcome =
  | {
      readonly type: DispatchOutcomeType.Answer;
      readonly answer: BackendAnswer;
      readonly backendId: string;
      readonly inputs: PickInputs;
    }
  | {
      readonly type: DispatchOutcomeType.Refused;
      readonly reason: string;
      readonly retryAfterMs: number;
      /** Number of attempts that were made; none of them has run. */
      readonly attempts: number;
    }
  | {
      readonly type: DispatchOutcomeType.Failed;
      readonly reason: string;
      /** Number of attempts that may have run. */
      readonly attempts: number;
    }
  | { readonly type: DispatchOutcomeType.TimedOut; readonly reason: string }
  | { readonly type: DispatchOutcomeType.Abandoned };

/** Registers a function that is called once the caller disconnects. */
export type OnAbandoned = (abandon: () => void) => void;

/** What another gateway may do with a call, and what it need not. */
export interface PeerSenderOptions {
  /** Number of attempts that it may make. */
  readonly attemptsMax: number;
  /** True if this host's retry budget has counted the call. */
  readonly isCounted: boolean;
}

/** Ways to send the attempts of one call. */
export interface CallSenders {
  /** Sends to a backend server. */
  readonly send: SendAttempt;
  readonly createPeerSender: (options: PeerSenderOptions) => SendAttempt;
}

/** Runs calls to their outcome. */
export interface CallDispatcher {
  run(
    call: Call,
    service: RoutedService,
    senders: CallSenders,
    onAbandoned: OnAbandoned,
  ): Promise<DispatchOutcome>;
}
