import { describe, expect, it } from 'vitest';
import { QUARANTINE_CAPACITY, QUARANTINE_MS } from '../../common/Constants.js';
import { Quarantine, Standing } from './Quarantine.js';

const CALL = 'GET /crash';

describe('Quarantine', () => {
  it('quarantines a call after two confirmed crashes', () => {
    const quarantine = new Quarantine();
    quarantine.suspect(CALL, 'a', 1, 10);
    expect(quarantine.standingOf(CALL, 10)).toBe(Standing.Suspect);
    quarantine.suspect(CALL, 'b', 1, 20);
    expect(quarantine.standingOf(CALL, 20)).toBe(Standing.Doubtful);
    expect(quarantine.confirmAll('a', 1, 30)).toEqual([CALL]);
    quarantine.confirmAll('b', 1, 40);
    expect(quarantine.standingOf(CALL, 40)).toBe(Standing.Quarantined);
    expect(quarantine.standingOf(CALL, 41 + QUARANTINE_MS)).toBe(Standing.Clear);
  });

  it('clears suspicions of ordinary resets once the server was alive after them', () => {
    const quarantine = new Quarantine();
    quarantine.suspect(CALL, 'a', 1, 10);
    quarantine.suspect(CALL, 'b', 1, 20);
    quarantine.clearIncarnation('a', 1, 9);
    expect(quarantine.standingOf(CALL, 30)).toBe(Standing.Doubtful);
    quarantine.clearIncarnation('a', 1, 11);
    quarantine.clearIncarnation('b', 1, 21);
    expect(quarantine.standingOf(CALL, 30)).toBe(Standing.Clear);
  });

  it('counts each incarnation only once', () => {
    const quarantine = new Quarantine();
    quarantine.suspect(CALL, 'a', 1, 10);
    quarantine.confirm(CALL, 'a', 1, 11);
    quarantine.suspect(CALL, 'a', 1, 12);
    expect(quarantine.standingOf(CALL, 12)).toBe(Standing.Suspect);
  });

  it('keeps a bounded number of fingerprints', () => {
    const quarantine = new Quarantine();
    for (let index = 0; index <= QUARANTINE_CAPACITY; index += 1) {
      quarantine.suspect(`GET /${index}`, 'a', 1, index);
    }
    expect(quarantine.size).toBe(QUARANTINE_CAPACITY);
  });
});
