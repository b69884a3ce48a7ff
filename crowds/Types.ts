/** Use of the machine by a process. */
export interface ProcessUse {
  /** Largest resident memory since the start of the process. */
  readonly peakMemoryMb: number;
  readonly memoryMb: number;
  readonly openFiles: number;
}

/** Client of a crowd, on a connection of its own. */
export interface CrowdClient {
  /** What it sends, piece by piece; the connection stays open afterwards. */
  readonly pieces: Iterable<Buffer>;
  /** False for a client that never reads what it is sent. */
  readonly reads?: boolean;
}
