import { BackendPicker, type BackendPickerOptions } from './BackendPicker.js';
import { ProbelessPicker, chooseOfTwo, createRoundRobin } from './ProbelessPicker.js';
import { PickPolicy, type Picker } from './DispatchTypes.js';

/**
 * Creates the picker for a policy.
 *
 * @example
 * createPicker(PickPolicy.TwoChoices, { pool, cold, work, probe, nowMs, setTimer, log });
 */
export function createPicker(policy: PickPolicy, options: BackendPickerOptions): Picker {
  const create: Record<PickPolicy, () => Picker> = {
    [PickPolicy.JustInTime]: () => new BackendPicker(options),
    [PickPolicy.TwoChoices]: () => new ProbelessPicker({ ...options, choose: chooseOfTwo }),
    [PickPolicy.RoundRobin]: () => new ProbelessPicker({ ...options, choose: createRoundRobin() }),
  };
  return create[policy]();
}
