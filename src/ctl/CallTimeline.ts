import { LOG_EVENTS, type LogEvent } from '../common/LogEvents.js';

/** Parsed log line of a call. */
export interface CallLogLine {
  readonly time: string;
  readonly host: string;
  readonly event: string;
  readonly rest: string;
}

/** Tolerated clock difference of two hosts; the order of lines closer than this is uncertain. */
export const CLOCK_TOLERANCE_MS = 250;

/**
 * Parses a log line; returns undefined if it isn't one or belongs to another call.
 *
 * @example
 * parseCallLogLine('time=2026-01-01T00:00:00.000Z event=call_late host=a call=c-1', 'c-1')?.event;
 */
export function parseCallLogLine(line: string, callId: string): CallLogLine | undefined {
  const start = line.indexOf('time=');
  if (start < 0 || !line.includes(`call=${callId}`)) return undefined;
  const fields = [...line.slice(start).matchAll(/([a-zA-Z_]+)=("(?:[^"\\]|\\.)*"|\S*)/g)];
  const values = new Map(fields.map(([, key, value]) => [key!, value!]));
  if (values.get('call') !== callId) return undefined;
  const omitted = new Set(['time', 'event', 'program', 'host', 'call']);
  return {
    time: values.get('time') ?? '',
    host: values.get('host') ?? '',
    event: values.get('event') ?? '',
    rest: [...values]
      .filter(([key]) => !omitted.has(key))
      .map(([key, value]) => `${key}=${value}`)
      .join(' '),
  };
}

/** Formats the lines of a call in order of time, with a note where the order is uncertain. */
export function formatTimeline(lines: readonly CallLogLine[]): string[] {
  const sorted = [...lines].sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  return sorted.flatMap((line, index) => {
    const previous = sorted[index - 1];
    const isOrderUncertain =
      previous !== undefined &&
      previous.host !== line.host &&
      Date.parse(line.time) - Date.parse(previous.time) < CLOCK_TOLERANCE_MS;
    const meaning = LOG_EVENTS[line.event as LogEvent] ?? '';
    const note = isOrderUncertain ? ['  (another host; the order may be the other way round)'] : [];
    return [...note, `${line.time} ${line.host} ${line.event} ${line.rest}`, `    ${meaning}`];
  });
}
