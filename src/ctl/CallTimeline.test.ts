import { describe, expect, it } from 'vitest';
import { parseCallLogLine, formatTimeline } from './CallTimeline.js';

function createLine(time: string, host: string, event: string, call = 'c-1'): string {
  return `time=${time} event=${event} program=gateway host=${host} call=${call} reason="a b"`;
}

describe('egretctl explain', () => {
  it('parses only the log lines of the given call', () => {
    const line = createLine('2026-01-01T00:00:01.000Z', 'a', 'call_late');
    expect(parseCallLogLine(line, 'c-1')).toMatchObject({
      event: 'call_late',
      rest: 'reason="a b"',
    });
    expect(parseCallLogLine(line, 'c-2')).toBeUndefined();
    expect(parseCallLogLine(line, 'c')).toBeUndefined();
    expect(parseCallLogLine('no line', 'c-1')).toBeUndefined();
  });

  it('orders lines by time and marks where clock differences make the order uncertain', () => {
    const lines = [
      createLine('2026-01-01T00:00:01.100Z', 'b', 'call_refused'),
      createLine('2026-01-01T00:00:01.000Z', 'a', 'no_backend'),
    ].map((line) => parseCallLogLine(line, 'c-1')!);
    const timeline = formatTimeline(lines);
    expect(timeline[0]).toContain('no_backend');
    expect(timeline[2]).toContain('order may be the other way round');
    expect(timeline[3]).toContain('call_refused');
  });
});
