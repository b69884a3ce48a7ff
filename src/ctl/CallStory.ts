import { LOG_EVENTS, type LogEvent } from '../common/LogEvents.js';

/** One log line of a call. */
export interface StoryLine {
  readonly time: string;
  readonly host: string;
  readonly event: string;
  readonly rest: string;
}

/** Hosts' clocks may differ by this much; lines this close together may be in another order. */
export const CLOCK_TOLERANCE_MS = 250;

/**
 * Reads a log line; undefined where it is none, or not about the call.
 *
 * @example
 * parseStoryLine('time=2026-01-01T00:00:00.000Z event=call_late host=a call=c-1', 'c-1')?.event;
 */
export function parseStoryLine(line: string, callId: string): StoryLine | undefined {
  const at = line.indexOf('time=');
  if (at < 0 || !line.includes(`call=${callId}`)) return undefined;
  const fields = [...line.slice(at).matchAll(/([a-zA-Z_]+)=("(?:[^"\\]|\\.)*"|\S*)/g)];
  const values = new Map(fields.map(([, key, value]) => [key!, value!]));
  if (values.get('call') !== callId) return undefined;
  const hidden = new Set(['time', 'event', 'program', 'host', 'call']);
  return {
    time: values.get('time') ?? '',
    host: values.get('host') ?? '',
    event: values.get('event') ?? '',
    rest: [...values]
      .filter(([key]) => !hidden.has(key))
      .map(([key, value]) => `${key}=${value}`)
      .join(' '),
  };
}

/** Lines of one call in the order of their times, with a note where the order isn't sure. */
export function tellStory(lines: readonly StoryLine[]): string[] {
  const sorted = [...lines].sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  return sorted.flatMap((line, at) => {
    const before = sorted[at - 1];
    const close =
      before !== undefined &&
      before.host !== line.host &&
      Date.parse(line.time) - Date.parse(before.time) < CLOCK_TOLERANCE_MS;
    const meaning = LOG_EVENTS[line.event as LogEvent] ?? '';
    const note = close ? ['  (another host; the order may be the other way round)'] : [];
    return [...note, `${line.time} ${line.host} ${line.event} ${line.rest}`, `    ${meaning}`];
  });
}
