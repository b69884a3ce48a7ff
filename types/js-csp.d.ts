declare module 'js-csp' {
  /** Bounded buffer of a channel. */
  export interface CspBuffer<T> {
    readonly element?: T;
  }
  /** Channel between processes. */
  export interface Channel<T> {
    close(): void;
    readonly element?: T;
  }
  /** Instruction that a process yields to the scheduler. */
  export interface Instruction {
    readonly instruction?: never;
  }
  export interface Csp {
    go<A extends unknown[]>(body: (...args: A) => Generator, args?: A): Channel<unknown>;
    chan<T>(bufferOrSize?: CspBuffer<T> | number): Channel<T>;
    take<T>(channel: Channel<T>): Instruction;
    put<T>(channel: Channel<T>, value: T): Instruction;
    offer<T>(channel: Channel<T>, value: T): boolean;
    putAsync<T>(channel: Channel<T>, value: T, callback?: (accepted: boolean) => void): void;
    takeAsync<T>(channel: Channel<T>, callback: (value: T | null) => void): void;
    timeout(delayMs: number): Channel<null>;
    readonly CLOSED: null;
    readonly buffers: {
      fixed<T>(size: number): CspBuffer<T>;
      dropping<T>(size: number): CspBuffer<T>;
      sliding<T>(size: number): CspBuffer<T>;
    };
  }
  const csp: Csp;
  export default csp;
}

declare module 'imurmurhash' {
  /** Incremental MurmurHash3 state. */
  interface MurmurHash {
    hash(text: string): MurmurHash;
    result(): number;
  }
  export default function murmur(text: string, seed?: number): MurmurHash;
}
