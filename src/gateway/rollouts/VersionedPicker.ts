import type { RoutedService } from '../../common/routing/Types.js';
import type { PickResult, Picker } from '../DispatchTypes.js';
import type { Call } from '../Types.js';
import type { VersionChooser } from './VersionChooser.js';

/** Options of a {@link VersionedPicker}. */
export interface VersionedPickerOptions {
  readonly picker: Picker;
  readonly versions: Pick<VersionChooser, 'choose'>;
}

/** Picks among the backend servers of the version that is chosen for the attempt. */
export class VersionedPicker implements Picker {
  constructor(private readonly options: VersionedPickerOptions) {}

  async pick(call: Call, service: RoutedService, tried: ReadonlySet<string>): Promise<PickResult> {
    const { picker, versions } = this.options;
    const { filters, alternative } = versions.choose(service.name, tried.size === 0);
    const picked = await picker.pick(call, service, tried, filters);
    if (picked.view || !alternative) return picked;
    // New servers may be cold or full: the call goes to the old version instead of being refused.
    const second = await picker.pick(call, service, tried, alternative);
    return { ...second, probes: picked.probes + second.probes };
  }
}
