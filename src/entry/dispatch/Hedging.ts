import type { EntryContext } from '../EntryContext.js';
import { CounterName, TargetKind } from '../Types.js';
import type { BackendRecord } from './BackendRecord.js';
import type { CallRecord } from './CallRecord.js';
import type { ServicePool } from './ServicePool.js';
import { Standing } from './Quarantine.js';

/** Minimum age at which a call is hedged. */
const MIN_HEDGE_AGE_MS = 2;

/** Share of the slots that hedges leave free. */
const HEADROOM_RATIO = 0.1;

/** True while enough slots are free for calls that arrive next. */
function hasHeadroom(pool: ServicePool, nowMs: number): boolean {
  return pool.freeSlots(nowMs) > Math.max(1, pool.totalLimit(nowMs) * HEADROOM_RATIO);
}

/**
 * Selects a second backend server for an idempotent call that is slower than the service's hedge
 * quantile (Dean and Barroso, "The Tail at Scale", 2013), within the hedge budget and only where
 * no other call waits for a slot.
 *
 * @example
 * const backend = chooseHedge(record, context); // undefined unless the call is slow
 */
export function chooseHedge(record: CallRecord, context: EntryContext): BackendRecord | undefined {
  const { pool, call } = record;
  if (!record.idempotent || !call.replayable || record.attempts.size !== 1) return undefined;
  if (pool.policy.leaseless || pool.settings.hedgeBudgetRatio === 0 || pool.queue.length > 0) {
    return undefined;
  }
  if (!hasHeadroom(pool, context.nowMs)) return undefined;
  const [attempt] = record.attempts.values();
  if (!attempt || attempt.target.kind !== TargetKind.Backend) return undefined;
  const dueMs = Math.max(MIN_HEDGE_AGE_MS, pool.latency.hedgeMs);
  if (pool.latency.hedgeMs === 0 || context.nowMs - attempt.startedAtMs < dueMs) return undefined;
  if (pool.quarantine.standingOf(call.fingerprint, context.nowMs) !== Standing.Clear) {
    return undefined;
  }
  const backend = pool.policy.choose(pool, {
    nowMs: context.nowMs,
    random: context.random,
    tried: record.tried,
    suspect: false,
    idempotent: true,
    callerId: record.callerId,
  });
  if (!backend || !pool.hedgeBudget.tryTake(context.nowMs)) return undefined;
  context.count(CounterName.Hedges, call.service);
  return backend;
}
