import type { IncomingMessage, Server } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { HttpConnections } from './HttpConnections.js';

/** Time for which a client may take to close its side after the refusal. */
const LINGER_MS = 1_000;

const REFUSAL = 'HTTP/1.1 501 Not Implemented\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/**
 * Answers `CONNECT` requests with 501 and ends their connections; no port of the system opens tunnels.
 * Node's server hands their connections over, or destroys them with the answers that are due without
 * a listener.
 *
 * @param connections - Connections of the server whose clients may send requests ahead; such a request
 *   behind others is not answered, as the end of its connection shows.
 * @example
 * refuseTunnels(server);
 */
export function refuseTunnels(server: Server, connections?: HttpConnections): void {
  server.on('connect', (request: IncomingMessage, stream: Duplex) => {
    const socket = stream as Socket;
    // Node has removed its own listeners, also the one for errors.
    socket.on('error', () => socket.destroy());
    socket.resume();
    if (connections?.finishHandedOver(socket)) return;
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.end(REFUSAL);
  });
}
