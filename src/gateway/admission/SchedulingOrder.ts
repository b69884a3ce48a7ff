/** What becomes of a call for which a backend server was found. */
export enum OrderDecision {
  Send = 'send',
  /** Wait at the gateway, then pick again. */
  Wait = 'wait',
  Refuse = 'refuse',
}

/** Inputs of {@link decideOrder}; times in milliseconds. */
export interface OrderInputs {
  /** Time left to the objective and to the deadline. */
  readonly objectiveLeftMs: number;
  readonly deadlineLeftMs: number;
  /** Expected time of the call at the backend server that was found. */
  readonly expectedMs: number;
  /** True if the backend server has a free slot and keeps another one free. */
  readonly hasRoom: boolean;
  /** True if calls of a more urgent priority use the service. */
  readonly isOutranked: boolean;
}

/** Part of the time left to the objective that the expected time may take; as for picks. */
const IN_TIME_SHARE = 0.85;

/**
 * Decides whether a call is sent now. A call that would be late waits instead of lengthening a queue,
 * so that queues stay as short as the objectives of the calls in them demand. A call of lower urgency
 * leaves the last slot and the queue to more urgent ones while its objective allows it; then it is
 * sent like any other, which is the minimum that every priority gets.
 *
 * @example
 * decideOrder({ objectiveLeftMs: 600, deadlineLeftMs: 7_000, expectedMs: 800,
 *   hasRoom: false, isOutranked: false }); // OrderDecision.Wait
 */
export function decideOrder(inputs: OrderInputs): OrderDecision {
  const { objectiveLeftMs, deadlineLeftMs, expectedMs, hasRoom, isOutranked } = inputs;
  if (expectedMs >= deadlineLeftMs) return OrderDecision.Refuse;
  if (hasRoom) return OrderDecision.Send;
  if (expectedMs > objectiveLeftMs * IN_TIME_SHARE) return OrderDecision.Wait;
  // After one more wait of about its expected time, it would still be in time.
  const mayWait = 2 * expectedMs <= objectiveLeftMs * IN_TIME_SHARE;
  return isOutranked && mayWait ? OrderDecision.Wait : OrderDecision.Send;
}
