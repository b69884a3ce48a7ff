/** Weight of the newest pick in the share; about the last eight picks count. */
const PICK_WEIGHT = 0.12;

/**
 * Time in which the share halves without a pick that searched the own zone: as long as loads take
 * to change at backend servers that answer within an objective of half a second.
 */
const HALF_LIFE_MS = 1_000;

/** Share from which calls skip the search of their own zone, and below which they search it again. */
const SKIP_FROM = 0.6;
const SKIP_UNTIL = 0.3;

/** Largest share of calls that skip the search: the others find out when the own zone recovers. */
const SKIPPED_MAX = 0.9;

/** Share of one service, with the time at which it was last noted. */
interface ShareState {
  share: number;
  notedAtMs: number;
  isSkipping: boolean;
  /** Part of a call that is due to skip the search. */
  due: number;
}

/**
 * Smoothed share of the calls of each service for which the own zone had no backend server that
 * would answer in time. While it is large, that share of the calls is sent on without probes to the
 * own zone. The two thresholds keep a zone from changing between both ways with every few picks.
 */
export class LeaveShare {
  private readonly states = new Map<string, ShareState>();

  /** Smoothed share; 0 before the first pick. */
  share(service: string, nowMs: number): number {
    const state = this.states.get(service);
    return state ? state.share * 0.5 ** ((nowMs - state.notedAtMs) / HALF_LIFE_MS) : 0;
  }

  /** Records whether a pick that searched the own zone found none that answers in time. */
  note(service: string, hasLeft: boolean, nowMs: number): void {
    const share = this.share(service, nowMs);
    const state = this.states.get(service) ?? { share, notedAtMs: 0, isSkipping: false, due: 0 };
    state.share = share + PICK_WEIGHT * (Number(hasLeft) - share);
    state.notedAtMs = nowMs;
    this.states.set(service, state);
  }

  /** True if the next call of a service skips the search of the own zone; spread evenly. */
  takeSkip(service: string, nowMs: number): boolean {
    const state = this.states.get(service);
    if (!state) return false;
    const share = this.share(service, nowMs);
    state.isSkipping = share >= (state.isSkipping ? SKIP_UNTIL : SKIP_FROM);
    if (!state.isSkipping) {
      state.due = 0;
      return false;
    }
    state.due += Math.min(SKIPPED_MAX, share);
    if (state.due < 1) return false;
    state.due -= 1;
    return true;
  }
}
