/** Largest number of probes that one pick sends. */
export interface ProbeDepth {
  readonly rounds: number;
  /** Probes in parallel in each round. */
  readonly parallel: number;
}

interface DepthStep extends ProbeDepth {
  /** Smallest share of recent probes that found a free slot. */
  readonly freeShareMin: number;
}

/**
 * At a share p, a search sends 1/p probes for each free slot that it finds, and the slot is the more
 * contested the smaller p is.
 *
 * - From a half on, the first round finds a slot in three of four picks; further rounds are rare.
 * - From a quarter on, two rounds of two send the four probes that one slot costs at p = 1/4.
 * - Below that, most picks end in a queue whatever they probe: one round compares two queues.
 * - Below a tenth, nearly all do, and one probe keeps the share current.
 */
const DEPTH_STEPS: readonly DepthStep[] = [
  { freeShareMin: 0.5, rounds: Infinity, parallel: Infinity },
  { freeShareMin: 0.25, rounds: 2, parallel: 2 },
  { freeShareMin: 0.1, rounds: 1, parallel: 2 },
  { freeShareMin: 0, rounds: 1, parallel: 1 },
];

/**
 * Returns how many probes a pick may send while a share of the recent ones finds a free slot.
 *
 * @example
 * probeDepth(0.1); // one round of one probe
 */
export function probeDepth(freeShare: number): ProbeDepth {
  return DEPTH_STEPS.find(({ freeShareMin }) => freeShare >= freeShareMin) ?? DEPTH_STEPS.at(-1)!;
}
