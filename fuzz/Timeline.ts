/** Action with the virtual time at which it is due. */
interface ScheduledAction {
  readonly atMs: number;
  /** Insertion number, which orders actions that are due at the same time. */
  readonly order: number;
  readonly action: () => void;
}

function isBefore(a: ScheduledAction, b: ScheduledAction): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Priority queue of pending actions in virtual time. */
export class Timeline {
  nowMs = 0;

  private readonly heap: ScheduledAction[] = [];

  private order = 0;

  /** Runs an action after a delay of virtual time. */
  after(delayMs: number, action: () => void): void {
    this.order += 1;
    const due = { atMs: this.nowMs + Math.max(0, delayMs), order: this.order, action };
    this.heap.push(due);
    this.siftUp(this.heap.length - 1);
  }

  /** Runs everything that is due within a span of virtual time. */
  advance(spanMs: number): void {
    const untilMs = this.nowMs + spanMs;
    while (this.heap.length > 0 && this.heap[0]!.atMs <= untilMs) {
      const due = this.pop();
      this.nowMs = Math.max(this.nowMs, due.atMs);
      due.action();
    }
    this.nowMs = untilMs;
  }

  private pop(): ScheduledAction {
    const first = this.heap[0]!;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(this.heap[index]!, this.heap[parent]!)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.heap.length && isBefore(this.heap[left]!, this.heap[least]!)) least = left;
      if (right < this.heap.length && isBefore(this.heap[right]!, this.heap[least]!)) least = right;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private swap(a: number, b: number): void {
    [this.heap[a], this.heap[b]] = [this.heap[b]!, this.heap[a]!];
  }
}
