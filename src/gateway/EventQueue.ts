/** Queue with one reader that waits for the next item. */
export class EventQueue<T> {
  private readonly items: T[] = [];

  private waiter: ((item: T) => void) | undefined;

  push(item: T): void {
    const { waiter } = this;
    if (!waiter) {
      this.items.push(item);
      return;
    }
    this.waiter = undefined;
    waiter(item);
  }

  next(): Promise<T> {
    const item = this.items.shift();
    if (item !== undefined) return Promise.resolve(item);
    return new Promise((resolve) => {
      this.waiter = resolve;
    });
  }
}
