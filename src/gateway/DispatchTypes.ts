import type { LogEvent } from '../common/LogEvents.js';
import type { BackendView } from './BackendView.js';
import type { ColdLimiter } from './ColdLimiter.js';
import type { RetryBudget } from './RetryBudget.js';
import type { RoutedService } from '../common/routing/Types.js';
import type { AttemptHandle, BackendAnswer, Call } from './Types.js';
import type { WorkEstimates } from './WorkEstimates.js';

/** Sends one attempt of a call. */
export type SendAttempt = (view: BackendView, remainingMs: number) => AttemptHandle;

/** Log of decisions. */
export type DecisionLog = (
  event: LogEvent,
  fields: Readonly<Record<string, string | number | boolean | undefined>>,
) => void;

/** Why no backend server was picked. */
export enum NoPickReason {
  /** None is announced, open and unused by the call. */
  None = 'no-backend',
  /** None of those that answered can finish in time. */
  Full = 'overloaded',
  /** Only cold ones are left, and their rate is used up. */
  Cold = 'cold',
  /** None answered a probe. */
  Silent = 'unreachable',
}

/** Result of picking a backend server. */
export type Pick =
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
      /** Loads of those that answered, for the log. */
      readonly loads: string;
    };

/** Chooses a backend server for one attempt. */
export interface Picker {
  pick(call: Call, service: RoutedService, tried: ReadonlySet<string>): Promise<Pick>;
}

/** Ways to choose a backend server; the names are those of the settings. */
export enum PickPolicy {
  /** Asks a few candidates for their load right before the call is sent. */
  JustInTime = 'just-in-time',
  /** The less busy of two by own calls in flight. */
  TwoChoices = 'two-choices',
  RoundRobin = 'round-robin',
}

/** What decided the choice of a backend server, for the log. */
export interface PickInputs {
  /** First attempt, retry or second copy. */
  readonly cause: string;
  readonly expectedMs: number;
  readonly probes: number;
  /** Age of the load below. */
  readonly loadAgeMs: number;
  readonly running: number | undefined;
  readonly waiting: number | undefined;
  readonly slowdown: number | undefined;
}

/** Learns how running calls ended. */
export interface CrashObserver {
  noteConnectionLost(view: BackendView, fingerprint: () => string): void;
  noteCompleted(fingerprint: () => string): void;
}

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly picker: Picker;
  readonly cold: ColdLimiter;
  readonly budget: RetryBudget;
  readonly work: WorkEstimates;
  /** Told of connections that broke while a call was running, and of calls that ended well. */
  readonly crashes: CrashObserver;
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
  /** Its time ran out while it may have been running. */
  TimedOut = 'timed-out',
  /** The caller left. */
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
    }
  | {
      readonly type: DispatchOutcomeType.Failed | DispatchOutcomeType.TimedOut;
      readonly reason: string;
    }
  | { readonly type: DispatchOutcomeType.Abandoned };
