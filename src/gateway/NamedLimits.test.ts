import { describe, expect, it } from 'vitest';
import { BackendView } from './BackendView.js';
import { createBackend } from './fixtures.js';
import { NamedLimits } from './NamedLimits.js';
import { LimitReadingType } from './Types.js';

const NONE = { type: LimitReadingType.None } as const;

const named = (perSecond: number) => ({ type: LimitReadingType.Named, perSecond }) as const;

function createLimits() {
  const logged: Readonly<Record<string, unknown>>[] = [];
  const limits = new NamedLimits({ log: (event, fields) => logged.push({ event, ...fields }) });
  return { limits, logged, view: new BackendView(createBackend('b-1')) };
}

describe('NamedLimits', () => {
  it('logs a limit that is named, changed and ended, each once', () => {
    const { limits, logged, view } = createLimits();
    limits.noteReading(view, named(2), 0, 10);
    limits.noteReading(view, named(2), 0, 20);
    limits.noteReading(view, named(1), 20, 30);
    limits.noteReading(view, NONE, 40, 50);
    limits.noteReading(view, NONE, 50, 60);
    expect(logged.map(({ before, perSecond }) => [before, perSecond])).toEqual([
      [undefined, 2],
      [2, 1],
      [1, undefined],
    ]);
    expect(limits.get(view)).toBeUndefined();
  });

  it('keeps a limit when an answer to an earlier request arrives without one', () => {
    const { limits, view } = createLimits();
    limits.noteReading(view, named(2), 0, 10);
    limits.noteReading(view, NONE, 5, 20);
    expect(limits.get(view)?.perSecond).toBe(2);
  });

  it('keeps a limit when a value is unreadable or missing, and logs the value', () => {
    const { limits, logged, view } = createLimits();
    limits.noteReading(view, named(2), 0, 10);
    limits.noteReading(view, { type: LimitReadingType.Unreadable, text: 'nan' }, 11, 12);
    limits.noteReading(view, { type: LimitReadingType.Unknown }, 11, 12);
    expect(limits.get(view)?.perSecond).toBe(2);
    expect(logged.at(-1)).toMatchObject({ event: 'limit_unreadable', value: 'nan' });
  });

  it('forgets the limit of an incarnation that has ended', () => {
    const { limits, view } = createLimits();
    limits.noteReading(view, named(2), 0, 10);
    view.update(createBackend('b-1', { bornMs: 2 }), 20);
    expect(limits.get(view)).toBeUndefined();
  });
});
