import { LinkRole } from '../../runtime/LinkAuth.js';

/** Options of a {@link SessionAdmission}. */
export interface SessionAdmissionOptions {
  /** True once this control host can serve entry hosts. */
  readonly isReady: () => boolean;
  readonly nowMs: () => number;
}

/** Authenticated link that waits for its session. */
interface WaitingLink {
  readonly open: () => void;
  readonly sinceMs: number;
}

/**
 * Sessions that are opened in one interval. Each is sent whole lists; hundreds at once would delay
 * the messages of the replicated log by more than an election timeout.
 */
const SESSIONS_PER_TICK = 12;

/** Longest wait of an entry host: a control host without a leader still answers heartbeats. */
const WAIT_MAX_MS = 3_000;

/**
 * Admits entry hosts at a bounded rate, and only once there is a leader: before, there is no routing
 * to send, and the election must not wait behind hundreds of sessions. Control hosts never wait.
 */
export class SessionAdmission {
  private readonly waiting: WaitingLink[] = [];

  private openedInTick = 0;

  constructor(private readonly options: SessionAdmissionOptions) {}

  /** Number of entry hosts that wait. */
  get size(): number {
    return this.waiting.length;
  }

  /** Opens the session of an authenticated link now, or queues it. */
  admit(role: LinkRole, open: () => void): void {
    if (role === LinkRole.Control) {
      open();
      return;
    }
    const mayOpen = this.waiting.length === 0 && this.openedInTick < SESSIONS_PER_TICK;
    if (mayOpen && this.options.isReady()) {
      this.openedInTick += 1;
      open();
      return;
    }
    this.waiting.push({ open, sinceMs: this.options.nowMs() });
  }

  /** Opens sessions of links that wait; called in every interval. */
  tick(): void {
    this.openedInTick = 0;
    const nowMs = this.options.nowMs();
    while (this.openedInTick < SESSIONS_PER_TICK) {
      const [first] = this.waiting;
      if (!first) return;
      if (!this.options.isReady() && nowMs - first.sinceMs < WAIT_MAX_MS) return;
      this.waiting.shift();
      this.openedInTick += 1;
      first.open();
    }
  }
}
