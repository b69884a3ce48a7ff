import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { ProcessSignal, ProcessSignals } from './ProcessSignals.js';

function createSignals() {
  const source = new EventEmitter();
  const signals = new ProcessSignals(source);
  const calls: string[] = [];
  const attach = () =>
    signals.attach({
      stop: (signal) => calls.push(`stop ${signal}`),
      reload: () => calls.push('reload'),
    });
  return { source, signals, calls, attach };
}

describe('ProcessSignals', () => {
  it('calls the handlers that are attached', () => {
    const { source, signals, calls, attach } = createSignals();
    attach();
    source.emit(ProcessSignal.Reload);
    source.emit(ProcessSignal.Reload);
    expect(signals.isStopping).toBe(false);
    source.emit(ProcessSignal.Interrupt);
    expect(signals.isStopping).toBe(true);
    expect(calls).toEqual(['reload', 'reload', 'stop SIGINT']);
  });

  // Guards against a reload or a stop that is lost because it arrives while the program starts.
  it('keeps the signals that arrive before the handlers are attached', () => {
    const { source, calls, attach } = createSignals();
    source.emit(ProcessSignal.Reload);
    source.emit(ProcessSignal.Reload);
    source.emit(ProcessSignal.Terminate);
    expect(calls).toEqual([]);
    attach();
    expect(calls).toEqual(['reload', 'stop SIGTERM']);
  });

  // Guards against a second signal that starts the stop again or shortens it.
  it('stops once, whichever signals follow', () => {
    const { source, calls, attach } = createSignals();
    source.emit(ProcessSignal.Terminate);
    attach();
    source.emit(ProcessSignal.Interrupt);
    source.emit(ProcessSignal.Terminate);
    expect(calls).toEqual(['stop SIGTERM']);
  });
});
