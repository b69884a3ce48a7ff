/** Signals that a supervisor sends to a program. */
export enum ProcessSignal {
  Terminate = 'SIGTERM',
  Interrupt = 'SIGINT',
  Reload = 'SIGHUP',
}

/** What a program does on signals. */
export interface ProcessSignalHandlers {
  /** Called once, on the first SIGTERM or SIGINT. */
  readonly stop: (signal: ProcessSignal) => void;
  /** Called on each SIGHUP. */
  readonly reload: () => void;
}

/** Source of signals; the process itself outside tests. */
export interface SignalSource {
  on(signal: ProcessSignal, listener: () => void): unknown;
}

/**
 * Signals of a process. Node.js ends a process by its default action for a signal without a listener,
 * so the listeners are added before the program is loaded. What arrives until its handlers are
 * attached is kept: several signals to reload count as one.
 *
 * @example
 * const signals = new ProcessSignals();
 * signals.attach({ stop: () => server.stop(), reload: () => settings.reload() });
 */
export class ProcessSignals {
  private handlers: ProcessSignalHandlers | undefined;

  private stopSignal: ProcessSignal | undefined;

  private isReloadDue = false;

  constructor(source: SignalSource = process) {
    source.on(ProcessSignal.Terminate, () => this.noteStop(ProcessSignal.Terminate));
    source.on(ProcessSignal.Interrupt, () => this.noteStop(ProcessSignal.Interrupt));
    source.on(ProcessSignal.Reload, () => this.noteReload());
  }

  /** True once a signal to stop has arrived, whether or not handlers are attached. */
  get isStopping(): boolean {
    return this.stopSignal !== undefined;
  }

  /** Sets the handlers, and calls them for the signals that have arrived before. */
  attach(handlers: ProcessSignalHandlers): void {
    this.handlers = handlers;
    if (this.isReloadDue) handlers.reload();
    if (this.stopSignal !== undefined) handlers.stop(this.stopSignal);
  }

  private noteStop(signal: ProcessSignal): void {
    if (this.stopSignal !== undefined) return;
    this.stopSignal = signal;
    this.handlers?.stop(signal);
  }

  private noteReload(): void {
    if (this.handlers) this.handlers.reload();
    else this.isReloadDue = true;
  }
}
