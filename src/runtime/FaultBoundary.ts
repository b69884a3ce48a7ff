/** Codes of errors that show a broken state of the process itself. */
const PROCESS_FAULTS: ReadonlySet<string> = new Set([
  'ERR_ASSERTION',
  'ERR_INTERNAL_ASSERTION',
  'ERR_MEMORY_ALLOCATION_FAILED',
]);

/** Message of the error without a code that an allocation of V8 fails with. */
const ALLOCATION_FAILED = /allocation failed/;

function isProcessFault(error: unknown): boolean {
  if (error instanceof RangeError && ALLOCATION_FAILED.test(error.message)) return true;
  const { code } = (error ?? {}) as { readonly code?: unknown };
  return typeof code === 'string' && PROCESS_FAULTS.has(code);
}

/**
 * Keeps an error that a listener, timer or callback throws within the one call, connection or message
 * that it serves. A failed assertion or allocation is thrown on, and so is an error of `end` itself:
 * the process ends rather than go on in an unknown state.
 *
 * @example
 * const boundary = new FaultBoundary((error) => {
 *   log('call_crashed', { detail: String(error) });
 *   socket.destroy();
 * });
 * response.on('data', boundary.wrap((chunk: Buffer) => parse(chunk)));
 */
export class FaultBoundary {
  private ended = false;

  /** `end` is called with the first error; it ends what the listeners serve. */
  constructor(private readonly end: (error: unknown) => void) {}

  /** Runs an action; its result, or undefined if it threw. */
  run<T>(action: () => T): T | undefined {
    try {
      return action();
    } catch (error) {
      this.note(error);
      return undefined;
    }
  }

  /** Listener that runs within the boundary. */
  wrap<A extends unknown[], T>(listener: (...args: A) => T): (...args: A) => T | undefined {
    return (...args) => this.run(() => listener(...args));
  }

  /** Handles an error that was caught elsewhere, such as that of a rejected promise. */
  note(error: unknown): void {
    if (isProcessFault(error)) throw error;
    if (this.ended) return;
    this.ended = true;
    this.end(error);
  }
}
