import { BackendState, type BackendRecord } from '../common/backends/Types.js';
import { ControlEffectType, type ControlEffect } from './Types.js';

/** Dependencies of a {@link DepartureStore}. */
export interface DepartureStoreOptions {
  /** Every record of this host, including those of departed backend servers. */
  readonly records: () => readonly BackendRecord[];
  readonly emit: (effect: ControlEffect) => void;
}

/** Action that waits for a save. */
interface WaitingAction {
  readonly saveId: number;
  readonly run: () => void;
}

/**
 * Departures on the disk of one control host. A departure counts as held by this host only once it
 * is durable, so that the hosts that confirmed it still have it after a crash. One save is in
 * progress at a time; departures that arrive meanwhile share the next one.
 */
export class DepartureStore {
  private savingId = 0;

  private savedId = 0;

  /** True if departures have arrived since the last save began. */
  private dirty = false;

  private waiting: WaitingAction[] = [];

  constructor(private readonly options: DepartureStoreOptions) {}

  /** Saves the departures that the registry holds now. */
  noteChanged(): void {
    this.dirty = true;
    this.startSave();
  }

  /** Runs an action once all departures noted so far are durable; at once if they are. */
  whenSaved(run: () => void): void {
    const saveId = this.savingId + (this.dirty ? 1 : 0);
    if (saveId === this.savedId) run();
    else this.waiting.push({ saveId, run });
  }

  /** Completes a save. */
  onSaved(saveId: number): void {
    if (saveId <= this.savedId) return;
    this.savedId = saveId;
    this.startSave();
    const due = this.waiting.filter((action) => action.saveId <= saveId);
    this.waiting = this.waiting.filter((action) => action.saveId > saveId);
    due.forEach(({ run }) => run());
  }

  private startSave(): void {
    if (!this.dirty || this.savingId !== this.savedId) return;
    this.dirty = false;
    this.savingId += 1;
    this.options.emit({
      type: ControlEffectType.SaveDepartures,
      saveId: this.savingId,
      records: this.options.records().filter(({ state }) => state !== BackendState.Ready),
    });
  }
}
