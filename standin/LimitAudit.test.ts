import { describe, expect, it } from 'vitest';
import { LimitAudit } from './LimitAudit.js';

function createAudit(): LimitAudit {
  const audit = new LimitAudit();
  audit.noteNamed(1, 0);
  audit.noteReceived('a', 100);
  return audit;
}

/** Sends requests one after the other at a fixed interval. */
function sendSteadily(audit: LimitAudit, fromMs: number, intervalMs: number, count: number): void {
  for (let index = 0; index < count; index += 1)
    audit.noteRequest('a', fromMs + index * intervalMs);
}

describe('LimitAudit', () => {
  it('allows one and a half times the limit and five requests in each window of four seconds', () => {
    const audit = createAudit();
    sendSteadily(audit, 4_000, 10, 11);
    expect(audit.worstExcess()).toBeUndefined();
    audit.noteRequest('a', 4_500);
    expect(audit.worstExcess()).toEqual({ endsAtMs: 4_500, requests: 12, allowed: 11 });
  });

  it('counts only from the contact time on', () => {
    const audit = createAudit();
    sendSteadily(audit, 1_000, 10, 100);
    sendSteadily(audit, 3_000, 10, 11);
    expect(audit.worstExcess()).toBeUndefined();
  });

  it('counts only senders that received the limit half a second before', () => {
    const audit = createAudit();
    for (let index = 0; index < 50; index += 1) audit.noteRequest('b', 4_000 + index);
    audit.noteReceived('b', 5_000);
    for (let index = 0; index < 50; index += 1) audit.noteRequest('b', 5_400 + index);
    expect(audit.size).toBe(0);
    audit.noteRequest('b', 5_500);
    expect(audit.size).toBe(1);
    audit.noteDisturbed('b');
    audit.noteRequest('b', 5_600);
    expect(audit.size).toBe(1);
  });
});
