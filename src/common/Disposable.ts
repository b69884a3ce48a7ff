/** Something that is ended once. */
export interface Disposable {
  dispose(): void;
}

/** Owns disposables and ends them in reverse order. */
export class DisposableStore implements Disposable {
  private readonly owned: Disposable[] = [];

  /** Takes ownership of a disposable and returns it. */
  add<T extends Disposable>(disposable: T): T {
    this.owned.push(disposable);
    return disposable;
  }

  dispose(): void {
    while (this.owned.length > 0) {
      this.owned.pop()?.dispose();
    }
  }
}
