/** Item of a {@link FairQueue}. */
export interface QueuedItem {
  readonly callerId: string;
  readonly deadlineMs: number;
}

/** Calls of one caller, earliest deadline first. */
interface CallerQueue<T> {
  readonly callerId: string;
  readonly items: T[];
  /** Virtual service time received so far, in calls. */
  servedTime: number;
}

/** Index at which an item keeps the list ordered by deadline. */
function insertionIndex<T extends QueuedItem>(items: readonly T[], deadlineMs: number): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (items[middle]!.deadlineMs <= deadlineMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

/**
 * Bounded queue: start-time fair queueing with equal weights between callers, and earliest
 * deadline first within a caller. A full queue evicts the call with the latest deadline of the
 * caller with the most queued calls.
 */
export class FairQueue<T extends QueuedItem> {
  private readonly callers = new Map<string, CallerQueue<T>>();

  /** Service time of the caller served last; new callers start here, not at zero. */
  private virtualTime = 0;

  private count = 0;

  constructor(public capacity: number) {}

  get length(): number {
    return this.count;
  }

  /** Adds an item; returns the one evicted from a full queue, which may be the item itself. */
  push(item: T): T | undefined {
    let queue = this.callers.get(item.callerId);
    if (!queue) {
      queue = { callerId: item.callerId, items: [], servedTime: this.virtualTime };
      this.callers.set(item.callerId, queue);
    }
    queue.items.splice(insertionIndex(queue.items, item.deadlineMs), 0, item);
    this.count += 1;
    return this.count > this.capacity ? this.evict() : undefined;
  }

  /** Approximate number of items that are served before a new one of a caller. */
  aheadOf(callerId: string): number {
    const callerQueue = this.callers.get(callerId);
    const share = (callerQueue?.items.length ?? 0) + 1;
    const callers = this.callers.size + (callerQueue ? 0 : 1);
    return Math.min(this.count, share * callers - 1);
  }

  /** The item to be served next. */
  peek(): T | undefined {
    return this.nextCaller()?.items[0];
  }

  /** Removes and returns the item to be served next. */
  shift(): T | undefined {
    const queue = this.nextCaller();
    if (!queue) return undefined;
    this.virtualTime = Math.max(this.virtualTime, queue.servedTime);
    queue.servedTime += 1;
    const item = queue.items.shift();
    this.removeIfEmpty(queue);
    this.count -= 1;
    return item;
  }

  /** Removes one item; false if it isn't queued. */
  remove(item: T): boolean {
    const queue = this.callers.get(item.callerId);
    const index = queue?.items.indexOf(item) ?? -1;
    if (!queue || index < 0) return false;
    queue.items.splice(index, 1);
    this.removeIfEmpty(queue);
    this.count -= 1;
    return true;
  }

  /** Removes and returns the items whose deadline has passed. */
  takeExpired(nowMs: number): T[] {
    const expired: T[] = [];
    this.callers.forEach((queue) => {
      while (queue.items[0] && queue.items[0].deadlineMs <= nowMs) {
        expired.push(queue.items.shift()!);
        this.count -= 1;
      }
      this.removeIfEmpty(queue);
    });
    return expired;
  }

  private nextCaller(): CallerQueue<T> | undefined {
    let next: CallerQueue<T> | undefined;
    for (const queue of this.callers.values()) {
      if (!next || queue.servedTime < next.servedTime) next = queue;
    }
    return next;
  }

  private evict(): T | undefined {
    let largest: CallerQueue<T> | undefined;
    for (const queue of this.callers.values()) {
      if (!largest || queue.items.length > largest.items.length) largest = queue;
    }
    if (!largest) return undefined;
    const item = largest.items.pop();
    this.removeIfEmpty(largest);
    this.count -= 1;
    return item;
  }

  private removeIfEmpty(queue: CallerQueue<T>): void {
    if (queue.items.length === 0) this.callers.delete(queue.callerId);
  }
}
