import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionLimit } from './ConnectionLimit.js';
import type { MemoryHolder } from './MemoryBudget.js';

/** Options of a {@link GuardedConnection}. */
export interface GuardedConnectionOptions {
  readonly socket: Socket;
  readonly onEnded: (limit: ConnectionLimit, heldBytes: number) => void;
  readonly noteGrowth: (bytes: number) => void;
}

/** Request without a complete answer. */
interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  keptBytes: number;
  /** Ends the work for the request; set once there is any. */
  abandon?: () => void;
}

/** Cost of a connection and of its parser, without any request. */
const CONNECTION_BYTES = 4 * 1_024;

/** Cost of the objects of a request, its answer and the work on it, without their bytes. */
const REQUEST_BYTES = 16 * 1_024;

/** The parser keeps each header as strings of its own, beside the bytes that were read. */
const HEAD_COST_RATIO = 2;

/** Connection of an HTTP server and what its client makes the process hold. */
export class GuardedConnection implements MemoryHolder {
  /** True once a whole head has arrived. */
  hasRequested = false;

  lastUsedMs = performance.now();

  private readonly open = new Map<IncomingMessage, OpenRequest>();

  /** Bytes read when the last head was complete. */
  private readBytes = 0;

  private ended = false;

  constructor(private readonly options: GuardedConnectionOptions) {}

  get openRequests(): number {
    return this.open.size;
  }

  heldBytes(): number {
    let bytes = CONNECTION_BYTES + this.headBytes() + this.unsentBytes();
    this.open.forEach(({ request, keptBytes }) => {
      bytes += REQUEST_BYTES + keptBytes + request.readableLength;
    });
    return bytes;
  }

  waitsForClient(): boolean {
    if (this.open.size === 0 || this.unsentBytes() > 0) return true;
    return [...this.open.keys()].some(({ complete }) => !complete);
  }

  end(heldBytes: number): void {
    this.endWith(ConnectionLimit.Memory, heldBytes);
  }

  endBeyond(limit: ConnectionLimit): void {
    this.endWith(limit, this.heldBytes());
  }

  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket, noteGrowth } = this.options;
    this.hasRequested = true;
    this.readBytes = socket.bytesRead;
    this.open.set(request, { request, response, keptBytes: 0 });
    const use = () => {
      this.lastUsedMs = performance.now();
      this.readBytes = socket.bytesRead;
    };
    use();
    request.once('end', use);
    response.once('close', () => {
      this.open.delete(request);
      use();
    });
    noteGrowth(REQUEST_BYTES);
  }

  noteKeptBytes(request: IncomingMessage, bytes: number): void {
    const open = this.open.get(request);
    if (!open) return;
    open.keptBytes += bytes;
    if (bytes > 0) this.options.noteGrowth(bytes);
  }

  /** Sets what ends the work for a request if its connection is ended for a limit. */
  onLimited(request: IncomingMessage, abandon: () => void): void {
    const open = this.open.get(request);
    if (open) open.abandon = abandon;
  }

  /** Cost of a head that is not complete; none while a body arrives, which its reader counts. */
  private headBytes(): number {
    const arrives = [...this.open.keys()].some(({ complete }) => !complete);
    return arrives ? 0 : (this.options.socket.bytesRead - this.readBytes) * HEAD_COST_RATIO;
  }

  /** Bytes of answers that are written and not sent. */
  private unsentBytes(): number {
    const { socket } = this.options;
    let bytes = socket.writableLength;
    this.open.forEach(({ response }) => {
      // The one that is being sent includes those of its socket.
      bytes += response.writableLength - (response.socket ? socket.writableLength : 0);
    });
    return bytes;
  }

  private endWith(limit: ConnectionLimit, heldBytes: number): void {
    if (this.ended) return;
    this.ended = true;
    this.options.onEnded(limit, heldBytes);
    this.options.socket.destroy();
    this.open.forEach(({ abandon }) => abandon?.());
  }
}
