/**
 * Records exceptions and rejections that nothing handles. Each would end a process.
 *
 * @example
 * const faults = new UnhandledFaults();
 * // ...
 * expect(faults.end()).toEqual([]);
 */
export class UnhandledFaults {
  private readonly faults: string[] = [];

  private readonly note = (reason: unknown) => {
    this.faults.push(reason instanceof Error ? (reason.stack ?? reason.message) : String(reason));
  };

  constructor() {
    process.on('uncaughtException', this.note);
    process.on('unhandledRejection', this.note);
  }

  /** Stops recording and returns the faults. */
  end(): string[] {
    process.off('uncaughtException', this.note);
    process.off('unhandledRejection', this.note);
    return this.faults;
  }
}
