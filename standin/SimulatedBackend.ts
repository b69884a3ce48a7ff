import type { Timeline } from '../fuzz/Timeline.js';
import type { RandomSource } from '../src/common/Random.js';
import type { LoadReport } from '../src/gateway/Types.js';

/** Options of a {@link SimulatedBackend}. */
export interface SimulatedBackendOptions {
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly slots: number;
  readonly queueMax: number;
  readonly workMs: number;
  /** Probability that the backend server is slow in a period. */
  readonly slowShare: number;
  /** Factor on the work in a slow period. */
  readonly slowFactor: number;
  /** Mean length of a period. */
  readonly slowPeriodMs: number;
}

/** Receives true after a completed run and false if the call was rejected as not run. */
export type AnswerCallback = (completed: boolean, load: LoadReport) => void;

/** Largest relative deviation of the work from its mean: about a third. */
const WORK_SPREAD = 0.33;

interface PendingCall {
  readonly answer: AnswerCallback;
  cancelled: boolean;
}

/** Backend server in virtual time with slots, a bounded queue and random slow periods. */
export class SimulatedBackend {
  /** Limit of requests that it names in its answers; undefined if it names none. */
  limitPerSecond: number | undefined;

  private running = 0;

  private readonly queue: PendingCall[] = [];

  private slowdown = 1;

  constructor(private readonly options: SimulatedBackendOptions) {
    this.drawSlowdown();
  }

  get load(): LoadReport {
    const { slots } = this.options;
    const waiting = this.queue.length;
    return { running: this.running, waiting, slots, slowdown: this.slowdown };
  }

  /** Runs, queues or rejects a call, and returns a function that cancels it. */
  run(answer: AnswerCallback): () => void {
    const call = { answer, cancelled: false };
    if (this.running < this.options.slots) this.start(call);
    else if (this.queue.length < this.options.queueMax) this.queue.push(call);
    else answer(false, this.load);
    return () => {
      call.cancelled = true;
      const position = this.queue.indexOf(call);
      if (position >= 0) this.queue.splice(position, 1);
    };
  }

  private start(call: PendingCall): void {
    const { timeline, random, workMs } = this.options;
    this.running += 1;
    const spread = 1 + WORK_SPREAD * (2 * random.next() - 1);
    timeline.after(workMs * spread * this.slowdown, () => {
      this.running -= 1;
      const next = this.queue.shift();
      if (next) this.start(next);
      if (!call.cancelled) call.answer(true, this.load);
    });
  }

  private drawSlowdown(): void {
    const { timeline, random, slowShare, slowFactor, slowPeriodMs } = this.options;
    this.slowdown = random.next() < slowShare ? slowFactor : 1;
    timeline.after(slowPeriodMs * (0.5 + random.next()), () => this.drawSlowdown());
  }
}
