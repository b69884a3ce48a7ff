import type { EntryHost } from '../../common/Placement.js';
import { HeldMaximum } from './HeldMaximum.js';

/** Entry host as far as the counts depend on it. */
export type CountedGateway = Pick<EntryHost, 'availabilityZone'>;

/** Time without growth after which a list counts as complete: two heartbeats to the control hosts. */
const SETTLED_AFTER_MS = 1_000;

/**
 * Numbers of live gateways, in all and by availability zone, for limits that hold for all gateways
 * together. A gateway that sees only some of the others must not take their share, so that a number
 * that falls is assumed a while longer.
 *
 * @example
 * const counts = new GatewayCounts();
 * counts.update([{ availabilityZone: 'perth' }, { availabilityZone: 'bunbury' }], nowMs);
 * counts.inZone('perth', nowMs); // 1
 */
export class GatewayCounts {
  private readonly byZone = new Map<string, HeldMaximum>();

  private grewAtMs = Number.NEGATIVE_INFINITY;

  /** Applies the newest list; an empty one, as without control hosts, changes nothing. */
  update(gateways: readonly CountedGateway[], nowMs: number): void {
    if (gateways.length === 0) return;
    const before = this.total(nowMs);
    gateways.forEach(({ availabilityZone }) => {
      if (!this.byZone.has(availabilityZone)) this.byZone.set(availabilityZone, new HeldMaximum());
    });
    this.byZone.forEach((count, zone) => {
      const listed = gateways.filter(({ availabilityZone }) => availabilityZone === zone);
      count.note(listed.length, nowMs);
    });
    if (this.total(nowMs) > before) this.grewAtMs = nowMs;
  }

  /** Number of gateways; 0 until the first list. */
  total(nowMs: number): number {
    return [...this.byZone.values()].reduce((sum, count) => sum + count.at(nowMs), 0);
  }

  inZone(availabilityZone: string, nowMs: number): number {
    return this.byZone.get(availabilityZone)?.at(nowMs) ?? 0;
  }

  /** False while the list still grows, as after all hosts have started together. */
  isSettled(nowMs: number): boolean {
    return nowMs - this.grewAtMs >= SETTLED_AFTER_MS;
  }
}
