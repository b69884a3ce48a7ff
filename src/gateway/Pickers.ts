import { BackendPicker, type BackendPickerOptions } from './BackendPicker.js';
import { BlindPicker, chooseOfTwo, createRotation } from './BlindPicker.js';
import { PickPolicy, type Picker } from './DispatchTypes.js';

/**
 * Creates the picker of a policy.
 *
 * @example
 * createPicker(PickPolicy.TwoChoices, { pool, cold, work, probe, nowMs, log });
 */
export function createPicker(policy: PickPolicy, options: BackendPickerOptions): Picker {
  const create: Record<PickPolicy, () => Picker> = {
    [PickPolicy.JustInTime]: () => new BackendPicker(options),
    [PickPolicy.TwoChoices]: () => new BlindPicker({ ...options, choose: chooseOfTwo }),
    [PickPolicy.RoundRobin]: () => new BlindPicker({ ...options, choose: createRotation() }),
  };
  return create[policy]();
}
