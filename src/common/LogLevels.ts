import { LogLevel } from './Enums.js';
import type { LogEvent } from './LogEvents.js';

/** Levels from the most to the least severe. */
const LEVELS: readonly LogLevel[] = [LogLevel.Error, LogLevel.Warn, LogLevel.Info, LogLevel.Debug];

/** Levels of the events whose level is not `info`. */
const EVENT_LEVELS: Partial<Record<string, LogLevel>> = {
  call_crashed: LogLevel.Error,
  control_request_failed: LogLevel.Error,
  disk_refusing: LogLevel.Error,
  metrics_failed: LogLevel.Error,
  process_failed: LogLevel.Error,
  lines_dropped: LogLevel.Error,
  backends_unsaved: LogLevel.Warn,
  answer_undelivered: LogLevel.Warn,
  call_quarantined: LogLevel.Warn,
  call_unadmitted: LogLevel.Warn,
  call_suspected: LogLevel.Warn,
  call_failed: LogLevel.Warn,
  call_late: LogLevel.Warn,
  call_refused: LogLevel.Warn,
  call_timed_out: LogLevel.Warn,
  call_unrouted: LogLevel.Warn,
  attempt_failed: LogLevel.Warn,
  attempt_overdue: LogLevel.Warn,
  no_backend: LogLevel.Warn,
  announcement_malformed: LogLevel.Warn,
  announcement_refused: LogLevel.Warn,
  backend_record_refused: LogLevel.Warn,
  backends_lost: LogLevel.Warn,
  forward_failed: LogLevel.Warn,
  no_peer: LogLevel.Warn,
  confirmed_not_in_force: LogLevel.Warn,
  control_lost: LogLevel.Warn,
  control_link_lost: LogLevel.Warn,
  join_failed: LogLevel.Warn,
  link_refused: LogLevel.Warn,
  message_refused: LogLevel.Warn,
  routing_malformed: LogLevel.Warn,
  write_abandoned: LogLevel.Warn,
  lines_suppressed: LogLevel.Warn,
} satisfies Partial<Record<LogEvent, LogLevel>>;

/** Lines per second of an event of ordinary success at `info`. */
const SAMPLED_LINES_PER_SECOND = 2;

/** The same at `debug`: every line is written, since a gateway serves fewer calls than this. */
const UNSAMPLED_LINES_PER_SECOND = 1_000;

const SAMPLED_EVENTS: readonly LogEvent[] = [
  'attempt_sent',
  'call_answered',
  'call_forwarded',
  'call_received',
];

/**
 * True if an event is written at a level.
 *
 * @example
 * isWritten('call_late', LogLevel.Error); // false
 */
export function isWritten(event: string, level: LogLevel): boolean {
  return LEVELS.indexOf(EVENT_LEVELS[event] ?? LogLevel.Info) <= LEVELS.indexOf(level);
}

/**
 * Limits in lines per second: events of ordinary success are sampled except at `debug`.
 *
 * @example
 * lineLimits(LogLevel.Info).call_answered; // 2
 */
export function lineLimits(level: LogLevel): Readonly<Record<string, number>> {
  const limit = level === LogLevel.Debug ? UNSAMPLED_LINES_PER_SECOND : SAMPLED_LINES_PER_SECOND;
  return Object.fromEntries(SAMPLED_EVENTS.map((event) => [event, limit]));
}
