import type { LogfmtFields } from './Logfmt.js';

/** Where a failure came from that ends the process. */
export enum FaultOrigin {
  /** An exception that no listener, timer or callback caught. */
  Exception = 'exception',
  /** A rejected promise without a handler. */
  Rejection = 'rejection',
  /** The replicated state could not be changed or stored. */
  State = 'state',
  Start = 'start',
  Stop = 'stop',
}

/**
 * Fields of the log line of a failure that ends the process. The detail holds the stack, whose first
 * frames name the listener.
 *
 * @example
 * log.line('process_failed', faultFields(new Error('x'), FaultOrigin.Exception));
 */
export function faultFields(error: unknown, origin: FaultOrigin): LogfmtFields {
  const { code, syscall } = (error ?? {}) as {
    readonly code?: unknown;
    readonly syscall?: unknown;
  };
  return {
    origin,
    ...(code !== undefined && { code: String(code) }),
    ...(syscall !== undefined && { syscall: String(syscall) }),
    detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
  };
}

/** Calls back with each exception and rejection of this process that nothing handles. */
export function onUnhandledFault(handle: (error: unknown, origin: FaultOrigin) => void): void {
  process.on('uncaughtException', (error) => handle(error, FaultOrigin.Exception));
  process.on('unhandledRejection', (reason) => handle(reason, FaultOrigin.Rejection));
}
