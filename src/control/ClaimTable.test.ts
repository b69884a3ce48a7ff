import { v7 } from 'uuid';
import { describe, expect, it } from 'vitest';
import { ClaimOutcome, ClaimReplyVerdict } from '../common/Messages.js';
import { ClaimTable } from './ClaimTable.js';
import { CommandType, type ClaimCommand, type SettleCommand } from './Commands.js';

const NOW_MS = 1_700_000_000_000;
const RETENTION_MS = 3_600_000;
const HOLD_MS = 1_000;
const KEY = v7({ msecs: NOW_MS });
const ANSWER = { statusCode: 201, rawHeaders: [], body: new Uint8Array([1]) };

function createClaim(attemptId: string, changes: Partial<ClaimCommand> = {}): ClaimCommand {
  return {
    type: CommandType.Claim,
    key: KEY,
    service: 'dispatch',
    fingerprint: 'f',
    attemptId,
    entryHostId: 'entry-1',
    holdMs: HOLD_MS,
    atMs: NOW_MS,
    ...changes,
  };
}

function createSettle(attemptId: string, outcome: ClaimOutcome): SettleCommand {
  const answer = outcome === ClaimOutcome.Answered ? ANSWER : null;
  const type = CommandType.Settle;
  return { type, key: KEY, service: 'dispatch', attemptId, outcome, answer, atMs: NOW_MS };
}

const claim = (table: ClaimTable, attemptId: string, atMs = NOW_MS, changes = {}) =>
  table.claim(createClaim(attemptId, changes), atMs, RETENTION_MS);

describe('ClaimTable', () => {
  it.each([
    ['running', null, NOW_MS + 1, ClaimReplyVerdict.InProgress],
    ['past its hold time', null, NOW_MS + HOLD_MS, ClaimReplyVerdict.Unknown],
    ['answered', ClaimOutcome.Answered, NOW_MS + 1, ClaimReplyVerdict.Replay],
    ['unknown', ClaimOutcome.Unknown, NOW_MS + 1, ClaimReplyVerdict.Unknown],
    ['not run', ClaimOutcome.NotRun, NOW_MS + 1, ClaimReplyVerdict.Granted],
  ])('answers a second attempt by the state of the first: %s', (name, outcome, atMs, verdict) => {
    const table = new ClaimTable();
    expect(claim(table, 'a').verdict).toBe(ClaimReplyVerdict.Granted);
    if (outcome) table.settle(createSettle('a', outcome));
    expect(claim(table, 'b', atMs).verdict).toBe(verdict);
  });

  it('grants a resend of the same attempt, but not once that attempt is settled as not run', () => {
    const table = new ClaimTable();
    claim(table, 'a');
    expect(claim(table, 'a').verdict).toBe(ClaimReplyVerdict.Granted);
    table.settle(createSettle('a', ClaimOutcome.NotRun));
    expect(claim(table, 'a').verdict).not.toBe(ClaimReplyVerdict.Granted);
  });

  it('lets only the claiming attempt settle, and only once', () => {
    const table = new ClaimTable();
    claim(table, 'a');
    expect(table.settle(createSettle('b', ClaimOutcome.NotRun))).toBe(false);
    expect(table.settle(createSettle('a', ClaimOutcome.Unknown))).toBe(true);
    expect(table.settle(createSettle('a', ClaimOutcome.NotRun))).toBe(false);
  });

  it.each([
    ['a key of another request', {}, { fingerprint: 'g' }, NOW_MS, 'idempotency-key-reused'],
    ['an old key', {}, {}, NOW_MS + RETENTION_MS, 'idempotency-key-expired'],
    [
      'a future key',
      {},
      { key: v7({ msecs: NOW_MS + 600_000 }) },
      NOW_MS,
      'idempotency-key-invalid',
    ],
    ['a key that is not a UUIDv7', {}, { key: 'x' }, NOW_MS, 'idempotency-key-invalid'],
  ])('refuses %s', (name, first, second, atMs, refusal) => {
    const table = new ClaimTable();
    claim(table, 'a', NOW_MS, first);
    expect(claim(table, 'b', atMs, second).refusal).toBe(refusal);
  });

  it('deletes keys only once they are refused as expired', () => {
    const table = new ClaimTable();
    claim(table, 'a');
    const newerKey = v7({ msecs: NOW_MS + RETENTION_MS });
    claim(table, 'b', NOW_MS + RETENTION_MS, { key: newerKey });
    expect(table.size).toBe(2);
    const later = NOW_MS + 2 * RETENTION_MS;
    claim(table, 'c', later, { key: v7({ msecs: later }) });
    expect(table.size).toBe(2);
    expect(new ClaimTable(table.toRecords()).size).toBe(2);
  });
});
