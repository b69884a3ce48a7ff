import type { RandomSource } from '../src/common/Random.js';
import type { Timeline } from './Timeline.js';

/** How badly the network behaves. */
export interface NetworkOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly dropRatio: number;
  readonly duplicateRatio: number;
}

/** A network that delays, reorders, duplicates and drops messages, and can be cut. */
export class Network {
  /** Hosts that are cut off from all others but those of their own group. */
  private readonly groups = new Map<string, number>();

  constructor(
    private readonly timeline: Timeline,
    private readonly random: RandomSource,
    public options: NetworkOptions,
  ) {}

  /** Puts hosts into a group of their own; group 0 is the main one. */
  cut(hosts: readonly string[], group: number): void {
    hosts.forEach((host) => this.groups.set(host, group));
  }

  heal(): void {
    this.groups.clear();
  }

  isConnected(a: string, b: string): boolean {
    return (this.groups.get(a) ?? 0) === (this.groups.get(b) ?? 0);
  }

  delayMs(): number {
    const { minDelayMs, maxDelayMs } = this.options;
    return minDelayMs + this.random.next() * (maxDelayMs - minDelayMs);
  }

  /** Delivers a message between the system's processes, perhaps never, perhaps twice. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.random.next() < this.options.dropRatio) return;
    const copies = this.random.next() < this.options.duplicateRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.timeline.after(this.delayMs(), () => {
        if (this.isConnected(from, to)) deliver();
      });
    }
  }

  /** Delivers a part of an HTTP exchange: late, but in full and once. */
  exchange(deliver: () => void): void {
    this.timeline.after(this.delayMs(), deliver);
  }
}
