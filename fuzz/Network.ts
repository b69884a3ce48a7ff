import type { RandomSource } from '../src/common/Random.js';
import { HeldPipe } from './HeldPipe.js';
import type { Timeline } from './Timeline.js';

/** Delays and fault rates of a {@link Network}. */
export interface NetworkOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly dropRatio: number;
  readonly duplicateRatio: number;
}

/** Network that delays, reorders, duplicates and drops messages, and can be partitioned. */
export class Network {
  /** Group of each host that is cut off; hosts of the same group reach each other. */
  private readonly groups = new Map<string, number>();

  /** Directed pairs of hosts between which nothing passes, and the number of faults that block each. */
  private readonly blocks = new Map<string, number>();

  /** Time at which the last message in order from one host to another arrives. */
  private readonly arrivalsMs = new Map<string, number>();

  constructor(
    private readonly timeline: Timeline,
    private readonly random: RandomSource,
    public options: NetworkOptions,
  ) {}

  /** Moves hosts to another group; hosts that were never moved are in group 0. */
  cut(hosts: readonly string[], group: number): void {
    hosts.forEach((host) => this.groups.set(host, group));
  }

  heal(): void {
    this.groups.clear();
  }

  isConnected(a: string, b: string): boolean {
    return (this.groups.get(a) ?? 0) === (this.groups.get(b) ?? 0);
  }

  /** Blocks the way from one host to another until the returned function is called. */
  block(from: string, to: string): () => void {
    const pair = `${from} ${to}`;
    this.blocks.set(pair, (this.blocks.get(pair) ?? 0) + 1);
    return () => this.blocks.set(pair, this.blocks.get(pair)! - 1);
  }

  /** True if messages pass from one host to another. */
  reaches(from: string, to: string): boolean {
    return this.isConnected(from, to) && !this.blocks.get(`${from} ${to}`);
  }

  delayMs(): number {
    const { minDelayMs, maxDelayMs } = this.options;
    return minDelayMs + this.random.next() * (maxDelayMs - minDelayMs);
  }

  /** Delivers a message between two hosts; it may be dropped or duplicated. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.random.next() < this.options.dropRatio) return;
    const copies = this.random.next() < this.options.duplicateRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.timeline.after(this.delayMs(), () => {
        if (this.reaches(from, to)) deliver();
      });
    }
  }

  /** Delivers a message after all earlier ones between the two hosts, as on one connection. */
  sendInOrder(from: string, to: string, deliver: () => void): void {
    const link = `${from} ${to}`;
    const { nowMs } = this.timeline;
    const arrivalMs = Math.max(nowMs + this.delayMs(), this.arrivalsMs.get(link) ?? 0);
    this.arrivalsMs.set(link, arrivalMs);
    this.timeline.after(arrivalMs - nowMs, () => {
      if (this.reaches(from, to)) deliver();
    });
  }

  /** Delivers messages between two hosts in order, as a connection that outlives short cuts. */
  connect(from: string, to: string): HeldPipe {
    return new HeldPipe({
      timeline: this.timeline,
      delayMs: () => this.delayMs(),
      isOpen: () => this.reaches(from, to),
    });
  }

  /** Delivers a part of an HTTP exchange exactly once, after a delay. */
  exchange(deliver: () => void): void {
    this.timeline.after(this.delayMs(), deliver);
  }
}
