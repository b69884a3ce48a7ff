import { createConsola, type ConsolaInstance } from 'consola';
import { LogLevel } from '../common/Enums.js';
import { formatLogfmt, quoteValue, type LogfmtFields } from './Logfmt.js';

/** Fields of one log line. */
export type LogFields = LogfmtFields;

/** Log of one process: one line of key=value pairs for each event. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

const CONSOLA_LEVELS: Record<LogLevel, number> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

/**
 * Formats one event as key=value pairs.
 *
 * @example
 * formatLine('started', { port: 80 }); // 'event=started port=80'
 */
export function formatLine(event: string, fields: LogFields = {}): string {
  return [`event=${quoteValue(event)}`, formatLogfmt(fields, String)].join(' ').trimEnd();
}

/** Ignores write errors: they mean that nobody reads the log any more, and only log lines are lost. */
function ignoreWriteError(): void {}

function writeToStandardError(line: string): void {
  const { stderr } = process;
  if (!stderr.listeners('error').includes(ignoreWriteError)) stderr.on('error', ignoreWriteError);
  stderr.write(`${line}\n`);
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level: LogLevel;
  /** Fields added to every line. */
  readonly base?: LogFields;
  /** Receives finished lines; standard error by default. */
  readonly write?: (line: string) => void;
}

/**
 * Creates a logger on top of consola.
 *
 * @example
 * createLogger({ level: LogLevel.Info }).info('started', { port: 80 });
 */
export function createLogger(options: LoggerOptions): Logger {
  const write = options.write ?? writeToStandardError;
  const consola: ConsolaInstance = createConsola({
    level: CONSOLA_LEVELS[options.level],
    // Throttling would drop repeated events.
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          const time = entry.date.toISOString();
          write(`time=${time} level=${entry.type} ${String(entry.args[0])}`);
        },
      },
    ],
  });
  const line = (event: string, fields?: LogFields) =>
    formatLine(event, { ...options.base, ...fields });
  return {
    error: (event, fields) => consola.error(line(event, fields)),
    warn: (event, fields) => consola.warn(line(event, fields)),
    info: (event, fields) => consola.info(line(event, fields)),
    debug: (event, fields) => consola.debug(line(event, fields)),
  };
}

/** Logger that discards everything, for tests. */
export const silentLogger: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};
