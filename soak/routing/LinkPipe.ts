import type { Socket } from 'node:net';

/** What the network does to the links of one machine to another. */
export enum LinkFault {
  None = 'none',
  /** Nothing passes in either direction, and nothing is closed. */
  Cut = 'cut',
  /** What the machine sends arrives; what it should receive does not. */
  CutAnswers = 'cut-answers',
  /** What the machine sends does not arrive. */
  CutRequests = 'cut-requests',
  /** Open connections work; new ones are accepted and get no answer. */
  StallNew = 'stall-new',
  Delay = 'delay',
  /** A few kilobytes a second. */
  Trickle = 'trickle',
}

/** Direction of bytes, seen from the machine that opened the connection. */
export enum Way {
  Out = 'out',
  Back = 'back',
}

const DELAY_MS = 400;

const TRICKLE_BYTES = 400;

const TRICKLE_EVERY_MS = 100;

/** Interval at which held bytes are looked at. */
const STEP_MS = 10;

/** Directions in which a fault lets nothing pass. */
export const HELD_WAYS: Partial<Record<LinkFault, readonly Way[]>> = {
  [LinkFault.Cut]: [Way.Out, Way.Back],
  [LinkFault.CutAnswers]: [Way.Back],
  [LinkFault.CutRequests]: [Way.Out],
};

/** Bytes on their way in one direction of a connection. */
export class LinkPipe {
  private readonly held: { bytes: Buffer; arrivedAtMs: number }[] = [];

  private passedAtMs = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(
    from: Socket,
    private readonly to: Socket,
    private readonly fault: () => LinkFault,
    private readonly way: Way,
    private readonly isStalled: boolean,
  ) {
    from.on('data', (bytes) => {
      this.held.push({ bytes, arrivedAtMs: performance.now() });
      this.pass();
    });
    this.timer = setInterval(() => this.pass(), STEP_MS);
    from.once('close', () => clearInterval(this.timer));
  }

  private pass(): void {
    const fault = this.fault();
    const nowMs = performance.now();
    if (HELD_WAYS[fault]?.includes(this.way)) return;
    if (fault === LinkFault.StallNew && this.isStalled) return;
    while (this.held[0]) {
      const [first] = this.held;
      if (fault === LinkFault.Delay && nowMs - first.arrivedAtMs < DELAY_MS) return;
      if (fault === LinkFault.Trickle) {
        if (nowMs - this.passedAtMs < TRICKLE_EVERY_MS) return;
        this.passedAtMs = nowMs;
        this.to.write(first.bytes.subarray(0, TRICKLE_BYTES));
        first.bytes = first.bytes.subarray(TRICKLE_BYTES);
        if (first.bytes.length === 0) this.held.shift();
        return;
      }
      this.held.shift();
      this.to.write(first.bytes);
    }
  }
}
