import type { BackendsMessage } from '../common/Messages.js';

/**
 * Control hosts that know each backend server. A control host that is partitioned from the others
 * receives no announcements of backend servers that run, so a backend server is dropped only once no
 * control host knows it any more. The sources of a lost link are removed, which alone drops nothing.
 */
export class BackendSources {
  /** Ids of the backend servers that each linked control host knows. */
  private readonly idsByControl = new Map<string, Set<string>>();

  /**
   * Records what a control host reports; returns the ids of the backend servers that it dropped, or
   * does not list, and that no other one knows.
   *
   * @param announcedIds Ids of all backend servers that this host has, read only for a whole list.
   */
  note(control: string, message: BackendsMessage, announcedIds: () => readonly string[]): string[] {
    const { records, expiredIds, knownIds } = message;
    if (knownIds) {
      this.idsByControl.set(control, new Set(knownIds));
      return this.unknownOf(announcedIds());
    }
    const known = this.idsByControl.get(control) ?? new Set();
    records.forEach(({ id }) => known.add(id));
    expiredIds.forEach((id) => known.delete(id));
    this.idsByControl.set(control, known);
    return this.unknownOf(expiredIds);
  }

  /** Removes a control host whose link was lost. */
  remove(control: string): void {
    this.idsByControl.delete(control);
  }

  private unknownOf(ids: readonly string[]): string[] {
    const sources = [...this.idsByControl.values()];
    return ids.filter((id) => !sources.some((known) => known.has(id)));
  }
}
