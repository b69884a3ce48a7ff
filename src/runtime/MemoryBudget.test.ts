import { describe, expect, it } from 'vitest';
import { MemoryBudget, type MemoryHolder } from './MemoryBudget.js';

const LIMIT_BYTES = 1_000;

function createBudget() {
  const ended: string[] = [];
  const budget = new MemoryBudget({ limitBytes: LIMIT_BYTES });
  const add = (name: string, bytes: number, waits = true): MemoryHolder => {
    const holder = {
      heldBytes: () => bytes,
      waitsForClient: () => waits,
      end: () => {
        ended.push(name);
      },
    };
    budget.add(holder);
    return holder;
  };
  return { budget, ended, add };
}

describe('MemoryBudget', () => {
  it('ends no holder within the limit', () => {
    const { budget, ended, add } = createBudget();
    add('a', 500);
    add('b', 500);
    budget.check();
    expect(ended).toEqual([]);
  });

  // Guards against ordinary callers that are ended for a crowd whose bodies have no end.
  it('ends the largest that wait for their client first', () => {
    const { budget, ended, add } = createBudget();
    add('small', 10);
    add('running', 600, false);
    add('medium', 300);
    add('large', 400);
    budget.check();
    expect(ended).toEqual(['large']);
    expect(budget.heldBytes).toBe(910);
  });

  it('ends others only if none waits for its client', () => {
    const { budget, ended, add } = createBudget();
    add('running', 1_200, false);
    add('waiting', 100);
    budget.check();
    expect(ended).toEqual(['waiting', 'running']);
  });

  // Guards against bytes that arrive faster than the checks at intervals.
  it('checks when the holders have grown by a sixteenth of the limit', () => {
    const { budget, ended, add } = createBudget();
    add('large', 2_000);
    budget.noteGrowth(LIMIT_BYTES / 16 - 1);
    expect(ended).toEqual([]);
    budget.noteGrowth(1);
    expect(ended).toEqual(['large']);
  });
});
