import { BackendState, PolicyName } from '../../common/Enums.js';
import { pickIndex, type RandomSource } from '../../common/Random.js';
import type { BackendRecord } from './BackendRecord.js';
import type { ServicePool } from './ServicePool.js';

/** What a policy needs to know about the call. */
export interface ChoiceRequest {
  readonly nowMs: number;
  readonly random: RandomSource;
  /** Backend servers that the call has already been sent to. */
  readonly tried: readonly string[];
  /** True where the call may have ended a backend server. */
  readonly suspect: boolean;
  readonly idempotent: boolean;
  readonly callerId: string;
}

/** Way to select a backend server. */
export interface Policy {
  /** True where an entry host dispatches without a lease, on reported load. */
  readonly free: boolean;
  /** Selects a backend server, or none where the call should wait. */
  choose(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined;
}

/** A backend server this many times slower than the service's median is a straggler. */
const STRAGGLER_RATIO = 2.5;

/** Requests in flight older than so many mean latencies are a sign of a straggler. */
const OLD_AGE_RATIO = 4;

/** Failure rate above which a server is avoided, and the slowness it counts as. */
const FAILING_RATE = 0.4;
const FAILING_RATIO = 1_000;

/** Interval of the single requests that notice a straggler's recovery. */
const STRAGGLER_PROBE_MS = 250;

function isUsable(record: BackendRecord, request: ChoiceRequest): boolean {
  if (request.tried.includes(record.id)) return false;
  // Calls under suspicion run apart, so that only the guilty one meets a second death.
  return !request.suspect || record.suspectsInFlight === 0;
}

/** True where the server fails much more often than its service, as a fail-fast one does. */
function isFailing(record: BackendRecord, pool: ServicePool): boolean {
  return record.failureRate > FAILING_RATE && pool.failureRate < record.failureRate / 2;
}

/** Ratio of the expected latency to the service's median; 1 for every ordinary server. */
function slowness(record: BackendRecord, pool: ServicePool, nowMs: number): number {
  if (isFailing(record, pool)) return FAILING_RATIO;
  const { medianMs } = pool.latency;
  if (medianMs <= 0) return 1;
  const ordinaryMs = Math.max(medianMs, pool.latency.meanMs);
  const ratio = record.expectedLatencyMs(ordinaryMs * OLD_AGE_RATIO, nowMs) / ordinaryMs;
  return ratio < STRAGGLER_RATIO ? 1 : ratio;
}

/** True where a straggler would still answer before a free slot of an ordinary server comes up. */
function isWorthwhile(
  record: BackendRecord,
  ratio: number,
  pool: ServicePool,
  request: ChoiceRequest,
): boolean {
  if (!pool.hasOrdinary) return true;
  const probeDue = request.nowMs - record.probedAtMs >= STRAGGLER_PROBE_MS;
  if (probeDue && request.idempotent && record.inFlight === 0) return true;
  const meanMs = Math.max(pool.latency.meanMs, pool.latency.medianMs);
  return meanMs * ratio < meanMs + pool.expectedWaitMs(request.callerId);
}

/** Lowest expected finish; equal ones are spread at random. Scans the pool without allocation. */
function chooseLeased(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined {
  const { nowMs, random } = request;
  let best: BackendRecord | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  let bestRatio = 1;
  let equals = 0;
  let hasOrdinary = false;
  for (const record of pool.records.values()) {
    const ratio = slowness(record, pool, nowMs);
    if (ratio === 1 && record.isLeased(nowMs)) hasOrdinary = true;
    if (pool.isOpen(record) && record.freeSlots(nowMs) > 0 && isUsable(record, request)) {
      const score = ratio * (1 + record.inFlight / record.allowed);
      if (score < bestScore) {
        best = record;
        bestScore = score;
        bestRatio = ratio;
        equals = 1;
      } else if (score === bestScore) {
        equals += 1;
        if (pickIndex(random, equals) === 0) best = record;
      }
    }
  }
  pool.hasOrdinary = hasOrdinary;
  if (!best || bestRatio === 1) return best;
  if (!isWorthwhile(best, bestRatio, pool, request)) return undefined;
  best.probedAtMs = nowMs;
  return best;
}

/** Backend servers that a policy without leases may select. */
function freeCandidates(pool: ServicePool, request: ChoiceRequest): BackendRecord[] {
  return [...pool.records.values()].filter(
    (record) =>
      record.state === BackendState.Ready &&
      pool.isOpen(record) &&
      request.nowMs < record.leaseUntilMs &&
      !request.tried.includes(record.id),
  );
}

function chooseRoundRobin(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined {
  const candidates = freeCandidates(pool, request);
  pool.roundRobinCursor += 1;
  return candidates[pool.roundRobinCursor % Math.max(1, candidates.length)];
}

/** Two random choices (Mitzenmacher 2001) on the last reports and the own requests in flight. */
function chooseOfTwo(pool: ServicePool, request: ChoiceRequest): BackendRecord | undefined {
  const candidates = freeCandidates(pool, request);
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
  [PolicyName.Leaseholder]: { free: false, choose: chooseLeased },
  [PolicyName.RoundRobin]: { free: true, choose: chooseRoundRobin },
  [PolicyName.TwoChoices]: { free: true, choose: chooseOfTwo },
};
