import type { Disposable } from './Disposable.js';

/** Typed listener of an {@link Emitter}. */
export type Listener<T> = (value: T) => void;

/** Event source whose subscriptions are disposables. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<Listener<T>>();

  /** Subscribes until the returned disposable is disposed. */
  on(listener: Listener<T>): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Calls every listener in the order of subscription. */
  emit(value: T): void {
    this.listeners.forEach((listener) => listener(value));
  }

  dispose(): void {
    this.listeners.clear();
  }
}
