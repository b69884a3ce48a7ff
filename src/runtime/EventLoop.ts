import csp, { type Channel } from 'js-csp';
import type { Disposable } from '../common/Disposable.js';

/** Options of an {@link EventLoop}. */
export interface EventLoopOptions<E> {
  /** Events that may wait; further ones are refused. */
  readonly capacity?: number;
  readonly handle: (event: E) => void;
}

/** js-csp throws beyond 1,024 pending operations; the buffer stays within that. */
const DEFAULT_CAPACITY = 1024;

/**
 * A js-csp process that takes events from a bounded channel, one at a time. A full channel refuses
 * ordinary events, which their senders treat as lost; completions of the own I/O are never refused
 * but wait in a side list whose length their number in flight bounds.
 */
export class EventLoop<E> implements Disposable {
  /** Ordinary events refused so far. */
  refused = 0;

  private readonly channel: Channel<E>;

  private readonly completions: E[] = [];

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

  /** Queues the completion of an own operation, which must not be lost. */
  postCompletion(event: E): void {
    if (this.closed) return;
    if (!csp.offer(this.channel, event)) this.completions.push(event);
  }

  dispose(): void {
    this.closed = true;
    this.channel.close();
  }

  private *run(): Generator {
    for (;;) {
      const event = (yield csp.take(this.channel)) as E | null;
      if (event === csp.CLOSED) return;
      this.options.handle(event as E);
      while (this.completions.length > 0) {
        this.options.handle(this.completions.shift()!);
      }
    }
  }
}
