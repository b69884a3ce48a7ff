import { BackendLifecycleState, PolicyName } from '../../common/Enums.js';
import { pickIndex, type RandomSource } from '../../common/Random.js';
import type { BackendRecord } from './BackendRecord.js';
import type { ServicePool } from './ServicePool.js';

/** Properties of a call that a policy takes into account. */
export interface ChoiceRequest {
  readonly nowMs: number;
  readonly random: RandomSource;
  /** Backend servers that the call has already been sent to. */
  readonly tried: readonly string[];
  /** True if the call is suspected of having crashed a backend server. */
  readonly suspect: boolean;
  readonly idempotent: boolean;
  readonly callerId: string;
}

/** Strategy for selecting a backend server. */
export interface Policy {
  /** True if entry hosts dispatch without leases, based on reported load. */
  readonly leaseless: boolean;
  /** Selects a backend server, or none if the call should wait. */
  choose(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined;
}

/** A backend server this many times slower than the service's median is a straggler. */
const STRAGGLER_RATIO = 2.5;

/** Age of requests in flight, in mean latencies, that indicates a straggler. */
const STRAGGLER_AGE_RATIO = 4;

/** Failure rate above which a server is avoided, and the latency ratio assigned to it. */
const FAILING_RATE = 0.4;
const FAILING_LATENCY_RATIO = 1_000;

/** Interval of the single requests that detect a straggler's recovery. */
const STRAGGLER_PROBE_INTERVAL_MS = 250;

function isUsable(record: BackendRecord, request: ChoiceRequest): boolean {
  if (request.tried.includes(record.id)) return false;
  // Suspected calls run apart, so that only the call at fault is involved in a second crash.
  return !request.suspect || record.suspectedInFlight === 0;
}

/** True if the server fails much more often than its service, as one that fails fast does. */
function isFailing(record: BackendRecord, pool: ServicePool): boolean {
  return record.failureRate > FAILING_RATE && pool.failureRate < record.failureRate / 2;
}

/** Ratio of the expected latency to the service's typical one; 1 unless straggling or failing. */
function latencyRatio(record: BackendRecord, pool: ServicePool, nowMs: number): number {
  if (isFailing(record, pool)) return FAILING_LATENCY_RATIO;
  const { medianMs } = pool.latency;
  if (medianMs <= 0) return 1;
  const typicalMs = Math.max(medianMs, pool.latency.meanMs);
  const ratio = record.expectedLatencyMs(typicalMs * STRAGGLER_AGE_RATIO, nowMs) / typicalMs;
  return ratio < STRAGGLER_RATIO ? 1 : ratio;
}

/** True if a straggler is due for a probe or would answer sooner than waiting for other slots. */
function isWorthwhile(
  record: BackendRecord,
  ratio: number,
  pool: ServicePool,
  request: ChoiceRequest,
): boolean {
  if (!pool.hasNonStraggler) return true;
  const probeDue = request.nowMs - record.probedAtMs >= STRAGGLER_PROBE_INTERVAL_MS;
  if (probeDue && request.idempotent && record.inFlight === 0) return true;
  const meanMs = Math.max(pool.latency.meanMs, pool.latency.medianMs);
  return meanMs * ratio < meanMs + pool.expectedWaitMs(request.callerId);
}

/** Selects the earliest expected completion, ties at random. Scans without allocation. */
function chooseLeased(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined {
  const { nowMs, random } = request;
  let best: BackendRecord | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  let bestRatio = 1;
  let ties = 0;
  let hasNonStraggler = false;
  for (const record of pool.records.values()) {
    const ratio = latencyRatio(record, pool, nowMs);
    if (ratio === 1 && record.isLeased(nowMs)) hasNonStraggler = true;
    if (pool.isOpen(record) && record.freeSlots(nowMs) > 0 && isUsable(record, request)) {
      const score = ratio * (1 + record.inFlight / record.effectiveLimit);
      if (score < bestScore) {
        best = record;
        bestScore = score;
        bestRatio = ratio;
        ties = 1;
      } else if (score === bestScore) {
        ties += 1;
        if (pickIndex(random, ties) === 0) best = record;
      }
    }
  }
  pool.hasNonStraggler = hasNonStraggler;
  if (!best || bestRatio === 1) return best;
  if (!isWorthwhile(best, bestRatio, pool, request)) return undefined;
  best.probedAtMs = nowMs;
  return best;
}

/** Backend servers that a policy without leases may select. */
function leaselessCandidates(pool: ServicePool, request: ChoiceRequest): BackendRecord[] {
  return [...pool.records.values()].filter(
    (record) =>
      record.state === BackendLifecycleState.Ready &&
      pool.isOpen(record) &&
      request.nowMs < record.leaseUntilMs &&
      !request.tried.includes(record.id),
  );
}

function chooseRoundRobin(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined {
  const candidates = leaselessCandidates(pool, request);
  pool.roundRobinCursor += 1;
  return candidates[pool.roundRobinCursor % Math.max(1, candidates.length)];
}

/** Two random choices (Mitzenmacher 2001), by reported load and this host's requests in flight. */
function chooseOfTwo(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined {
  const candidates = leaselessCandidates(pool, request);
  if (candidates.length < 2) return candidates[0];
  const first = pickIndex(request.random, candidates.length);
  const offset = 1 + pickIndex(request.random, candidates.length - 1);
  const a = candidates[first]!;
  const b = candidates[(first + offset) % candidates.length]!;
  const load = (record: BackendRecord) => Math.max(record.reportedInFlight, record.inFlight);
  return load(a) <= load(b) ? a : b;
}

/** Policies by name. */
export const POLICIES: Record<PolicyName, Policy> = {
  [PolicyName.Leaseholder]: { leaseless: false, choose: chooseLeased },
  [PolicyName.RoundRobin]: { leaseless: true, choose: chooseRoundRobin },
  [PolicyName.TwoChoices]: { leaseless: true, choose: chooseOfTwo },
};
