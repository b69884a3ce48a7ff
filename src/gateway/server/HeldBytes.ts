/** Bytes that one answer holds in memory. */
export interface HeldShare {
  readonly bytes: number;
  add(bytes: number): void;
  release(): void;
}

/**
 * Counts the bytes of answers that wait in memory for their callers, of all connections together.
 *
 * @example
 * const share = held.open();
 * share.add(chunk.length);
 * if (held.isFull) share.release();
 */
export class HeldBytes {
  private totalBytes = 0;

  constructor(private readonly bytesMax: number) {}

  get isFull(): boolean {
    return this.totalBytes > this.bytesMax;
  }

  open(): HeldShare {
    let ownBytes = 0;
    return {
      get bytes() {
        return ownBytes;
      },
      add: (bytes) => {
        ownBytes += bytes;
        this.totalBytes += bytes;
      },
      release: () => {
        this.totalBytes -= ownBytes;
        ownBytes = 0;
      },
    };
  }
}
