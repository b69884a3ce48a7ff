import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionLimit } from './ConnectionLimit.js';
import { GuardedConnection } from './GuardedConnection.js';
import type { MemoryBudget } from './MemoryBudget.js';

/** Connection that was ended. */
export interface EndedConnection {
  readonly limit: ConnectionLimit;
  readonly peer: string;
  readonly heldBytes: number;
}

/** Options of a {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly server: Server;
  readonly budget: MemoryBudget;
  readonly connectionsMax: number;
  /** Requests of one connection that may be without a complete answer. */
  readonly requestsMax: number;
  readonly onEnded: (ended: EndedConnection) => void;
}

const GUARDED = new WeakMap<Socket, GuardedConnection>();

const RELEASES = new WeakMap<Socket, () => void>();

/**
 * Ends the limits of a connection that has a new owner with limits of its own.
 *
 * @example
 * server.on('upgrade', (request, socket: Socket) => releaseConnection(socket));
 */
export function releaseConnection(socket: Socket): void {
  RELEASES.get(socket)?.();
}

/**
 * Notes bytes that are kept for a request until its answer is sent; less than 0 for bytes that are kept
 * no more.
 *
 * @example
 * request.on('data', (chunk: Buffer) => noteKeptBytes(request, chunk.length));
 */
export function noteKeptBytes(request: IncomingMessage, bytes: number): void {
  GUARDED.get(request.socket)?.noteKeptBytes(request, bytes);
}

/**
 * Sets what ends the work for a request at once if its connection is ended for a limit. Its socket reports
 * its end only after all that has arrived on others, such as those to backend servers, is read.
 *
 * @example
 * whenLimited(request, () => call.abandon());
 */
export function whenLimited(request: IncomingMessage, abandon: () => void): void {
  GUARDED.get(request.socket)?.onLimited(request, abandon);
}

/**
 * Ends the connection of a request that is beyond a limit.
 *
 * @example
 * endBeyondLimit(request, ConnectionLimit.Body);
 */
export function endBeyondLimit(request: IncomingMessage, limit: ConnectionLimit): void {
  const connection = GUARDED.get(request.socket);
  if (connection) connection.endBeyond(limit);
  else request.socket.destroy();
}

/** Bounds the connections of an HTTP server and what they hold. */
export class ConnectionGuard {
  private readonly connections = new Set<GuardedConnection>();

  constructor(private readonly options: ConnectionGuardOptions) {
    const { server } = options;
    server.prependListener('connection', (socket: Socket) => this.add(socket));
    const noteRequest = (request: IncomingMessage, response: ServerResponse) =>
      this.noteRequest(request, response);
    server.prependListener('request', noteRequest);
    // Node handles such requests by itself only while there is no listener.
    if (server.listenerCount('checkContinue') > 0) {
      server.prependListener('checkContinue', noteRequest);
    }
  }

  private add(socket: Socket): void {
    const { budget, connectionsMax, onEnded } = this.options;
    const connection = new GuardedConnection({
      socket,
      onEnded: (limit, heldBytes) =>
        onEnded({ limit, heldBytes, peer: socket.remoteAddress ?? '' }),
      noteGrowth: (bytes) => budget.noteGrowth(bytes),
    });
    GUARDED.set(socket, connection);
    RELEASES.set(socket, () => this.release(socket));
    this.connections.add(connection);
    budget.add(connection);
    socket.once('close', () => this.release(socket));
    if (this.connections.size > connectionsMax) {
      this.leastUsed().endBeyond(ConnectionLimit.Connections);
    }
  }

  private release(socket: Socket): void {
    const connection = GUARDED.get(socket);
    if (!connection) return;
    this.connections.delete(connection);
    this.options.budget.remove(connection);
  }

  private noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = GUARDED.get(request.socket);
    if (!connection) return;
    connection.noteRequest(request, response);
    if (connection.openRequests > this.options.requestsMax) {
      connection.endBeyond(ConnectionLimit.Requests);
    }
  }

  /** The oldest connection without any request, else the one idle for longest, else the newest. */
  private leastUsed(): GuardedConnection {
    const all = [...this.connections];
    const unused = all.find(({ hasRequested }) => !hasRequested);
    if (unused) return unused;
    const idle = all.filter(({ openRequests }) => openRequests === 0);
    const longest = idle.reduce<GuardedConnection | undefined>(
      (oldest, next) => (oldest && oldest.lastUsedMs <= next.lastUsedMs ? oldest : next),
      undefined,
    );
    return longest ?? all.at(-1)!;
  }
}
