import { write } from 'node:fs';
import { LogLevel } from '../common/Enums.js';
import { isWritten, lineLimits } from '../common/LogLevels.js';
import type { Logger } from './Logger.js';
import { formatLogfmt, type LogfmtFields } from './Logfmt.js';

/** Options of a {@link RateLimitedLog}. */
export interface RateLimitedLogOptions {
  /** Fields added to every line. */
  readonly base: LogfmtFields;
  /** Least severe level that is written; `info` by default. */
  readonly level?: LogLevel;
  /** Maximum lines of one event per second; further ones are only counted. */
  readonly linesPerSecond?: number;
  /** Writes lines in the background; to standard output by default. */
  readonly write?: (text: string, done: () => void) => void;
  readonly nowMs?: () => number;
  readonly wallMs?: () => number;
}

const DEFAULT_LINES_PER_SECOND = 20;

/** Maximum size of the unwritten lines; further ones are dropped and counted. */
const PENDING_MAX_BYTES = 128 * 1024;

/** Lines are written together at this interval. */
const FLUSH_INTERVAL_MS = 100;

/** Longest wait of a flush: an output that is not read must not delay the end of a process. */
const FLUSH_TIMEOUT_MS = 300;

const WINDOW_MS = 1_000;

/** Logged numbers are rounded to two decimal places. */
const NUMBER_SCALE = 100;

function roundedText(value: number): string {
  return String(Math.round(value * NUMBER_SCALE) / NUMBER_SCALE);
}

const STANDARD_OUTPUT = 1;

/** Ignores write errors: they mean that the output is closed, and only log lines are lost. */
function writeToStandardOutput(text: string, done: () => void): void {
  write(STANDARD_OUTPUT, text, () => done());
}

/** Flush that waits until a number of lines has been written. */
interface PendingFlush {
  readonly lines: number;
  readonly resolve: () => void;
}

/** Lines of one event within the current second. */
interface EventWindow {
  startedAtMs: number;
  lines: number;
  suppressed: number;
}

/**
 * Log of key=value lines that never blocks: lines are written in the background, dropped while the
 * output is not read, and limited per event and second. A separate line reports the number of
 * omitted lines.
 */
export class RateLimitedLog {
  private pending: string[] = [];

  private pendingBytes = 0;

  private dropped = 0;

  /** Numbers of lines accepted and written since the start. */
  private acceptedLines = 0;

  private writtenLines = 0;

  private pendingFlushes: PendingFlush[] = [];

  private writing = false;

  private timer: NodeJS.Timeout | undefined;

  private readonly windows = new Map<string, EventWindow>();

  private readonly prefix: string;

  private readonly level: LogLevel;

  private readonly limits: Readonly<Record<string, number>>;

  constructor(private readonly options: RateLimitedLogOptions) {
    this.prefix = RateLimitedLog.format(options.base);
    this.level = options.level ?? LogLevel.Info;
    this.limits = lineLimits(this.level);
  }

  /** Formats fields as key=value pairs. */
  static format(fields: LogfmtFields): string {
    return formatLogfmt(fields, roundedText);
  }

  /** Adapts this log to {@link Logger}; the event determines the level instead of the method. */
  asLogger(): Logger {
    const line = (event: string, fields?: LogfmtFields) => this.line(event, fields);
    return { error: line, warn: line, info: line, debug: () => {} };
  }

  /** Writes one event. */
  line(event: string, fields: LogfmtFields = {}): void {
    if (!isWritten(event, this.level)) return;
    const nowMs = this.options.nowMs?.() ?? performance.now();
    const window = this.windowOf(event, nowMs);
    const limit = this.limits[event] ?? this.options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    if (window.lines >= limit) {
      window.suppressed += 1;
      return;
    }
    window.lines += 1;
    this.append(event, fields);
  }

  /** Writes the pending lines; resolves once all earlier lines are written, or after 300 ms. */
  flush(): Promise<void> {
    this.windows.forEach((window, event) => this.reportSuppressed(event, window));
    const lines = this.acceptedLines;
    if (this.writtenLines >= lines) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, FLUSH_TIMEOUT_MS);
      const finish = () => {
        clearTimeout(timer);
        resolve();
      };
      this.pendingFlushes.push({ lines, resolve: finish });
      this.writePending();
    });
  }

  private windowOf(event: string, nowMs: number): EventWindow {
    const current = this.windows.get(event);
    if (current && nowMs - current.startedAtMs < WINDOW_MS) return current;
    if (current) this.reportSuppressed(event, current);
    const window = { startedAtMs: nowMs, lines: 0, suppressed: 0 };
    this.windows.set(event, window);
    return window;
  }

  private reportSuppressed(event: string, window: EventWindow): void {
    if (window.suppressed > 0) {
      this.append('lines_suppressed', { of: event, count: window.suppressed });
      window.suppressed = 0;
    }
  }

  private append(event: string, fields: LogfmtFields): void {
    const wallMs = this.options.wallMs?.() ?? Date.now();
    const time = new Date(wallMs).toISOString();
    const text = `time=${time} event=${event} ${this.prefix} ${RateLimitedLog.format(fields)}\n`;
    if (this.pendingBytes + text.length > PENDING_MAX_BYTES) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const droppedLine = `time=${time} event=lines_dropped ${this.prefix} count=${this.dropped}\n`;
      this.dropped = 0;
      this.accept(droppedLine);
    }
    this.accept(text);
    this.scheduleWrite();
  }

  private accept(text: string): void {
    this.pending.push(text);
    this.pendingBytes += text.length;
    this.acceptedLines += 1;
  }

  private scheduleWrite(): void {
    this.timer ??= setTimeout(() => this.writePending(), FLUSH_INTERVAL_MS).unref();
  }

  private writePending(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.writing || this.pending.length === 0) return;
    this.writing = true;
    const text = this.pending.join('');
    const lines = this.pending.length;
    this.pending = [];
    // Counts the text until it is written, so that the limit holds while the output is not read.
    (this.options.write ?? writeToStandardOutput)(text, () => {
      this.writing = false;
      this.pendingBytes -= text.length;
      this.writtenLines += lines;
      this.resolveFlushes();
      if (this.pendingFlushes.length > 0) this.writePending();
      else if (this.pending.length > 0) this.scheduleWrite();
    });
  }

  private resolveFlushes(): void {
    const isDone = (flush: PendingFlush) => flush.lines <= this.writtenLines;
    this.pendingFlushes.filter(isDone).forEach((flush) => flush.resolve());
    this.pendingFlushes = this.pendingFlushes.filter((flush) => !isDone(flush));
  }
}
