import type { RandomSource } from '../../common/Random.js';
import type { RoutedService } from '../../common/routing/Types.js';
import { NoPickReason, type PickResult, type Picker } from '../DispatchTypes.js';
import type { Call } from '../Types.js';
import { OrderDecision, decideOrder } from './SchedulingOrder.js';

/** Options of an {@link OrderedPicker}. */
export interface OrderedPickerOptions {
  readonly picker: Picker;
  readonly workMs: (call: Call) => number;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly setTimer: (delayMs: number, fire: () => void) => void;
}

/** Calls that wait at one gateway at most: five per second for a deadline of about twelve seconds. */
const WAITING_MAX = 64;

/** A priority counts as in use for this time after its last call: the worst seconds count. */
const PRIORITY_USE_MS = 2_000;

/** Expected time of a call that finds a free slot at usual speed, in usual work times. */
const ROOM_WORK = 1.3;

/**
 * Part of a work time after which a waiting call is picked again at the earliest, and a third of the
 * longest delay: slots of a backend server become free several times in a work time.
 */
const REPICK_WORK_MIN = 0.15;

/** Least retry delay of a refused call; a random part of the expected time spreads the retries. */
const RETRY_AFTER_MIN_MS = 150;

/** Picks backend servers in the scheduling order: calls that must wait do so at the gateway. */
export class OrderedPicker implements Picker {
  /** Calls that wait now. */
  waiting = 0;

  /** Last call of each priority, by service. */
  private readonly seenAtMs = new Map<string, Map<number, number>>();

  constructor(private readonly options: OrderedPickerOptions) {}

  async pick(
    call: Call,
    service: RoutedService,
    tried: ReadonlySet<string>,
    versions?: Parameters<Picker['pick']>[3],
  ): Promise<PickResult> {
    if (tried.size === 0) this.noteSeen(call);
    const result = await this.options.picker.pick(call, service, tried, versions);
    // The results of earlier attempts are not handled while a later attempt is picked.
    if (!result.view || tried.size > 0) return result;
    const nowMs = this.options.nowMs();
    const workMs = this.options.workMs(call);
    const hasRoom = !result.view.isNearlyFull && result.expectedMs <= workMs * ROOM_WORK;
    const decision = decideOrder({
      objectiveLeftMs: call.objectiveAtMs - nowMs,
      deadlineLeftMs: call.dueAtMs - nowMs,
      expectedMs: result.expectedMs,
      hasRoom,
      isOutranked: this.isOutranked(call, nowMs),
    });
    if (decision === OrderDecision.Send) return result;
    const isFull = this.waiting >= WAITING_MAX;
    if (decision === OrderDecision.Refuse || isFull || !call.isCallerConnected()) {
      return this.refuse(result);
    }
    await this.wait(workMs * REPICK_WORK_MIN * (1 + 2 * this.options.random.next()));
    return this.pick(call, service, tried, versions);
  }

  private refuse({ expectedMs, probes }: { expectedMs: number; probes: number }): PickResult {
    const retryAfterMs = RETRY_AFTER_MIN_MS + this.options.random.next() * expectedMs;
    return { view: null, reason: NoPickReason.Overloaded, probes, loads: '', retryAfterMs };
  }

  private async wait(delayMs: number): Promise<void> {
    this.waiting += 1;
    await new Promise<void>((resolve) => {
      this.options.setTimer(delayMs, resolve);
    });
    this.waiting -= 1;
  }

  private noteSeen({ service, route }: Call): void {
    const seen = this.seenAtMs.get(service) ?? new Map<number, number>();
    seen.set(route.priority, this.options.nowMs());
    this.seenAtMs.set(service, seen);
  }

  private isOutranked({ service, route }: Call, nowMs: number): boolean {
    const seen = [...(this.seenAtMs.get(service) ?? [])];
    return seen.some(
      ([priority, atMs]) => priority < route.priority && nowMs - atMs < PRIORITY_USE_MS,
    );
  }
}
