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
  readonly slowShare: number;
  readonly slowTimes: number;
  readonly slowSpellMs: number;
}

/** Answers with true for a run, false for a call that was turned away. */
export type Answering = (ran: boolean, load: LoadReport) => void;

/** Spread of the work around its mean: a third up and down. */
const WORK_SPREAD = 0.33;

interface Waiting {
  readonly answer: Answering;
  cancelled: boolean;
}

/** Backend server in simulated time: slots, a short queue, and spells in which it is slow. */
export class SimulatedBackend {
  private running = 0;

  private readonly queue: Waiting[] = [];

  private slowdown = 1;

  constructor(private readonly options: SimulatedBackendOptions) {
    this.drawSpell();
  }

  get load(): LoadReport {
    const { slots } = this.options;
    const waiting = this.queue.length;
    return { running: this.running, waiting, slots, slowdown: this.slowdown };
  }

  /** Takes a call; returns how to cancel it. */
  run(answer: Answering): () => void {
    const waiting = { answer, cancelled: false };
    if (this.running < this.options.slots) this.begin(waiting);
    else if (this.queue.length < this.options.queueMax) this.queue.push(waiting);
    else answer(false, this.load);
    return () => {
      waiting.cancelled = true;
      const at = this.queue.indexOf(waiting);
      if (at >= 0) this.queue.splice(at, 1);
    };
  }

  private begin(waiting: Waiting): void {
    const { timeline, random, workMs } = this.options;
    this.running += 1;
    const spread = 1 + WORK_SPREAD * (2 * random.next() - 1);
    timeline.after(workMs * spread * this.slowdown, () => {
      this.running -= 1;
      const next = this.queue.shift();
      if (next) this.begin(next);
      if (!waiting.cancelled) waiting.answer(true, this.load);
    });
  }

  private drawSpell(): void {
    const { timeline, random, slowShare, slowTimes, slowSpellMs } = this.options;
    this.slowdown = random.next() < slowShare ? slowTimes : 1;
    timeline.after(slowSpellMs * (0.5 + random.next()), () => this.drawSpell());
  }
}
