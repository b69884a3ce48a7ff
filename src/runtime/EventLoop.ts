import csp, { type Channel } from 'js-csp';
import type { Disposable } from '../common/Disposable.js';

/** Options of an {@link EventLoop}. */
export interface EventLoopOptions<E> {
  /** Maximum number of queued events; further ones are refused. */
  readonly capacity?: number;
  readonly handle: (event: E) => void;
}

/** js-csp throws on more than 1,024 pending operations; the buffer stays within this limit. */
const DEFAULT_CAPACITY = 1024;

/** Maximum number of urgent events that wait. */
const URGENT_MAX = 1024;

/** Wakes the loop for urgent events; it is no event itself. */
const WAKE: unknown = Symbol('wake');

/**
 * A js-csp process that handles events from a bounded channel, one at a time. A full channel
 * refuses ordinary events, which their senders treat as lost. Completions of the process's own I/O
 * are not refused: they overflow into a list bounded by the number of operations in flight.
 */
export class EventLoop<E> implements Disposable {
  /** Ordinary events refused so far. */
  refused = 0;

  private readonly channel: Channel<E>;

  private readonly completions: E[] = [];

  /** Events that are handled before all others. */
  private readonly urgent: E[] = [];

  private closed = false;

  constructor(private readonly options: EventLoopOptions<E>) {
    this.channel = csp.chan<E>(csp.buffers.fixed(options.capacity ?? DEFAULT_CAPACITY));
    csp.go(this.run.bind(this));
  }

  /** Queues an event; false if the channel is full or closed. */
  post(event: E): boolean {
    if (this.closed) return false;
    if (csp.offer(this.channel, event)) return true;
    this.refused += 1;
    return false;
  }

  /**
   * Queues an event that must not wait behind ordinary ones, however many there are; false if as
   * many urgent ones wait already.
   */
  postUrgent(event: E): boolean {
    if (this.closed) return false;
    if (this.urgent.length >= URGENT_MAX) {
      this.refused += 1;
      return false;
    }
    this.urgent.push(event);
    // Wakes the loop; a full channel shows that it is awake.
    csp.offer(this.channel, WAKE as E);
    return true;
  }

  /** Queues the completion of the process's own I/O, which must not be lost. */
  postCompletion(event: E): void {
    if (this.closed) return;
    if (!csp.offer(this.channel, event)) this.completions.push(event);
  }

  /** Ends the loop; events and completions that are still queued are not handled. */
  dispose(): void {
    this.closed = true;
    this.completions.length = 0;
    this.urgent.length = 0;
    this.channel.close();
  }

  private *run(): Generator {
    for (;;) {
      const event = (yield csp.take(this.channel)) as E | null;
      // A closed channel still returns its buffered events.
      if (event === csp.CLOSED || this.closed) return;
      while (this.urgent.length > 0) {
        this.options.handle(this.urgent.shift()!);
        if (this.closed) return;
      }
      if (event !== WAKE) this.options.handle(event as E);
      while (this.completions.length > 0) {
        this.options.handle(this.completions.shift()!);
      }
    }
  }
}
