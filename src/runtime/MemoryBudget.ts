/** Holder of memory that a client determines, such as a connection. */
export interface MemoryHolder {
  /** Bytes that it costs at this moment. */
  heldBytes(): number;
  /** True while the client has to act: to send the rest of a request or to read an answer. */
  waitsForClient(): boolean;
  /** Releases the memory and ends what needs it. */
  end(heldBytes: number): void;
}

/** Options of a {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Bytes that all holders may cost together. */
  readonly limitBytes: number;
  /** Called after each check with the bytes of the holders that are left. */
  readonly onChecked?: (heldBytes: number) => void;
}

/** Share of the limit by which holders may grow between two checks. */
const GROWTH_SHARE = 1 / 16;

/**
 * Bounds what the clients of a process make it hold, over all connections and ports. Beyond the limit,
 * holders are ended, the largest of those that wait for their client first.
 *
 * @example
 * const budget = new MemoryBudget({ limitBytes: 50 * 1024 * 1024 });
 * budget.add(holder);
 */
export class MemoryBudget {
  private readonly holders = new Set<MemoryHolder>();

  private grownBytes = 0;

  private lastBytes = 0;

  constructor(private readonly options: MemoryBudgetOptions) {}

  /** Bytes of all holders at the last check. */
  get heldBytes(): number {
    return this.lastBytes;
  }

  /** Number of holders. */
  get size(): number {
    return this.holders.size;
  }

  add(holder: MemoryHolder): void {
    this.holders.add(holder);
  }

  remove(holder: MemoryHolder): void {
    this.holders.delete(holder);
  }

  /** Notes that a holder has grown; checks once all together have grown by a share of the limit. */
  noteGrowth(bytes: number): void {
    this.grownBytes += bytes;
    if (this.grownBytes >= this.options.limitBytes * GROWTH_SHARE) this.check();
  }

  /** Ends holders until the others are within the limit. */
  check(): void {
    this.endBeyondLimit();
    this.options.onChecked?.(this.lastBytes);
  }

  private endBeyondLimit(): void {
    this.grownBytes = 0;
    const costs = [...this.holders].map((holder) => ({ holder, bytes: holder.heldBytes() }));
    this.lastBytes = costs.reduce((sum, { bytes }) => sum + bytes, 0);
    if (this.lastBytes <= this.options.limitBytes) return;
    const bySize = costs.filter(({ bytes }) => bytes > 0).sort((a, b) => b.bytes - a.bytes);
    const waiting = new Set(bySize.filter(({ holder }) => holder.waitsForClient()));
    const others = bySize.filter((cost) => !waiting.has(cost));
    [...waiting, ...others].forEach(({ holder, bytes }) => {
      if (this.lastBytes <= this.options.limitBytes) return;
      this.lastBytes -= bytes;
      this.holders.delete(holder);
      holder.end(bytes);
    });
  }
}
