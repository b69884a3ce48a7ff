import http, { type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** Opens a connection. */
export type Connect = (target: { readonly host: string; readonly port: number }) => Socket;

/**
 * Connection pool that closes an idle connection on which bytes arrive. Such bytes answer no
 * request, so a later request on that connection could receive the answer to another one.
 *
 * @example
 * const agent = new GuardedAgent({ keepAlive: true });
 */
export class GuardedAgent extends http.Agent {
  override keepSocketAlive(socket: Duplex): boolean {
    // The declared type lacks the result: false closes the connection.
    const kept: unknown = super.keepSocketAlive(socket);
    if (kept === false) return false;
    socket.on('data', GuardedAgent.onIdleData);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', GuardedAgent.onIdleData);
    super.reuseSocket(socket, request);
  }

  private static onIdleData(this: Duplex): void {
    this.destroy();
  }
}
