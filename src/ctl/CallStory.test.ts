import { describe, expect, it } from 'vitest';
import { parseStoryLine, tellStory } from './CallStory.js';

function createLine(time: string, host: string, event: string, call = 'c-1'): string {
  return `time=${time} event=${event} program=gateway host=${host} call=${call} reason="a b"`;
}

describe('egretctl explain', () => {
  it('reads the lines of one call only', () => {
    const line = createLine('2026-01-01T00:00:01.000Z', 'a', 'call_late');
    expect(parseStoryLine(line, 'c-1')).toMatchObject({ event: 'call_late', rest: 'reason="a b"' });
    expect(parseStoryLine(line, 'c-2')).toBeUndefined();
    expect(parseStoryLine(line, 'c')).toBeUndefined();
    expect(parseStoryLine('no line', 'c-1')).toBeUndefined();
  });

  it('orders them by time and says where clocks leave the order open', () => {
    const lines = [
      createLine('2026-01-01T00:00:01.100Z', 'b', 'call_refused'),
      createLine('2026-01-01T00:00:01.000Z', 'a', 'no_backend'),
    ].map((line) => parseStoryLine(line, 'c-1')!);
    const story = tellStory(lines);
    expect(story[0]).toContain('no_backend');
    expect(story[2]).toContain('order may be the other way round');
    expect(story[3]).toContain('call_refused');
  });
});
