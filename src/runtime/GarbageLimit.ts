import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Options of a {@link GarbageLimit}; the functions are those of this process by default. */
export interface GarbageLimitOptions {
  /** Bytes of buffers beyond those in use from which on garbage is collected. */
  readonly limitBytes: number;
  /** Bytes of all buffers, in use or not. */
  readonly bufferBytes?: () => number;
  readonly collect?: () => void;
  readonly nowMs?: () => number;
}

/** Shortest time between two collections; one takes 10 to 25 ms with the heap of a crowd. */
const COLLECT_EVERY_MS = 50;

/** Bytes outside the heap, nearly all of which are those of buffers. */
function externalBytes(): number {
  return getHeapStatistics().external_memory;
}

/** Function that collects all garbage; the engine shows it to contexts that are created with the flag. */
function exposeCollector(): () => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  setFlagsFromString('--no-expose-gc');
  return () => collect();
}

/**
 * Bounds the memory of buffers that are no longer in use. The engine collects garbage by the growth of its
 * own heap, of which a buffer of 64 KB takes some hundred bytes, so that a crowd of clients makes a
 * process drop more buffers between two collections than a small machine can hold.
 *
 * @example
 * const garbage = new GarbageLimit({ limitBytes: 50 * 1024 * 1024 });
 * garbage.check(budget.heldBytes);
 */
export class GarbageLimit {
  private readonly bufferBytes: () => number;

  private readonly collect: () => void;

  private readonly nowMs: () => number;

  private collectedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: GarbageLimitOptions) {
    this.bufferBytes = options.bufferBytes ?? externalBytes;
    this.collect = options.collect ?? exposeCollector();
    this.nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Collects garbage if there is much more of buffers than is in use. */
  check(usedBytes: number): void {
    if (this.bufferBytes() - usedBytes <= this.options.limitBytes) return;
    if (this.nowMs() - this.collectedAtMs < COLLECT_EVERY_MS) return;
    this.collect();
    this.collectedAtMs = this.nowMs();
  }
}
