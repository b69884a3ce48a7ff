import type { Timeline } from './Timeline.js';

/** Options of a {@link HeldPipe}. */
export interface HeldPipeOptions {
  readonly timeline: Timeline;
  readonly delayMs: () => number;
  /** False while nothing passes. */
  readonly isOpen: () => boolean;
}

/** Interval at which a message is sent again that does not pass; TCP's first intervals are such. */
const RESEND_MS = 200;

/** One direction of a TCP connection: what does not pass is held, and arrives late and in order. */
export class HeldPipe {
  private queue: { readonly deliver: () => void; readonly transferMs: number }[] = [];

  private running = false;

  /** True while a long message is under way. */
  isTransferring = false;

  /** True while there is no connection: what is sent is lost. */
  isClosed = false;

  /** Incremented by each {@link clear}. */
  private epoch = 0;

  constructor(private readonly options: HeldPipeOptions) {}

  /** Sends a message; one that is long for the link takes `transferMs`, and delays what follows. */
  send(deliver: () => void, transferMs = 0): void {
    if (this.isClosed) return;
    this.queue.push({ deliver, transferMs });
    if (this.running) return;
    this.running = true;
    this.schedule(this.options.delayMs(), this.epoch);
  }

  /** Drops what has not arrived, as the end of a connection does. */
  clear(): void {
    this.queue = [];
    this.running = false;
    this.isTransferring = false;
    this.epoch += 1;
  }

  private schedule(delayMs: number, epoch: number): void {
    this.options.timeline.after(delayMs, () => {
      if (epoch !== this.epoch) return;
      if (!this.options.isOpen()) {
        this.schedule(RESEND_MS, epoch);
        return;
      }
      this.deliverNext(epoch);
    });
  }

  private deliverNext(epoch: number): void {
    this.isTransferring = false;
    while (epoch === this.epoch) {
      const next = this.queue.shift();
      if (!next) {
        this.running = false;
        return;
      }
      const { deliver, transferMs } = next;
      if (transferMs > 0) {
        this.isTransferring = true;
        this.queue.unshift({ deliver, transferMs: 0 });
        this.schedule(transferMs, epoch);
        return;
      }
      deliver();
    }
  }
}
