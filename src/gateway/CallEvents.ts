import type { BackendView } from './BackendView.js';
import type { PickInputs } from './DispatchTypes.js';
import type { AttemptHandle, AttemptResult } from './Types.js';

/** Kinds of events in the course of a call. */
export enum CallEventType {
  Result = 'result',
  Hedge = 'hedge',
  Deadline = 'due',
  Abandoned = 'abandoned',
}

/** Event in the course of a call. */
export type CallEvent =
  | {
      readonly type: CallEventType.Result;
      readonly view: BackendView;
      readonly result: AttemptResult;
    }
  | { readonly type: Exclude<CallEventType, CallEventType.Result> };

/** Attempt in progress, with the inputs of its pick. */
export interface RunningAttempt {
  readonly handle: AttemptHandle;
  readonly sentAtMs: number;
  readonly inputs: PickInputs;
  /** True if it took the last free slot, as far as the load showed it. */
  readonly filledSlots: boolean;
}
