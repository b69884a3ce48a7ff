import { CONTACT_SILENCE_MS } from './DepartureDelivery.js';

/**
 * Other control hosts that have been heard of lately. A departure waits for the report of each that
 * its entry hosts have acknowledged it; control hosts share their lists with the others every second.
 *
 * @example
 * contacts.note('control-2', 1_000);
 * contacts.noteReports('control-2', true);
 * contacts.awaited([{ id: 'control-2' }], 1_500); // ['control-2']
 */
export class PeerContacts {
  private readonly heardAtMs = new Map<string, number>();

  /** Control hosts that report a delivery before it is on disk; earlier versions don't. */
  private readonly reporting = new Set<string>();

  /** Notes any message of another control host. */
  note(id: string, nowMs: number): void {
    this.heardAtMs.set(id, nowMs);
  }

  /** Notes whether a control host reports deliveries, whatever the state of its disk. */
  noteReports(id: string, reports: boolean): void {
    if (reports) this.reporting.add(id);
    else this.reporting.delete(id);
  }

  /** True if a message of the control host arrived lately. */
  isInContact(id: string, nowMs: number): boolean {
    const heardAtMs = this.heardAtMs.get(id) ?? Number.NEGATIVE_INFINITY;
    return nowMs - heardAtMs < CONTACT_SILENCE_MS;
  }

  /**
   * Ids of the members that are in contact and report deliveries. A control host of an earlier
   * version reports nothing while its disk is slow, so that a departure would wait for its disk.
   */
  awaited(members: readonly { readonly id: string }[], nowMs: number): string[] {
    return members
      .map(({ id }) => id)
      .filter((id) => this.reporting.has(id) && this.isInContact(id, nowMs));
  }
}
