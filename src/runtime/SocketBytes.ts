import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Bytes that passed on a connection. */
export interface ByteCounts {
  readonly sent: number;
  readonly received: number;
}

/**
 * Assigns the bytes of pooled connections to the requests that they carried one after the other. The
 * counts are those of the sockets, so they include headers and answers that were cut short.
 */
export class SocketBytes {
  /** Bytes of each connection that are assigned to earlier requests. */
  private readonly assigned = new WeakMap<Socket, ByteCounts>();

  /** Calls back with the bytes of a request and its answer once both have ended. */
  watch(request: ClientRequest, onBytes: (counts: ByteCounts) => void): void {
    let socket: Socket | undefined;
    request.once('socket', (assigned) => {
      socket = assigned;
    });
    request.once('close', () => {
      if (socket) onBytes(this.take(socket));
    });
  }

  private take(socket: Socket): ByteCounts {
    const { sent, received } = this.assigned.get(socket) ?? { sent: 0, received: 0 };
    const counts = { sent: socket.bytesWritten, received: socket.bytesRead };
    this.assigned.set(socket, counts);
    return { sent: counts.sent - sent, received: counts.received - received };
  }
}
