import type { Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeServer } from './HttpJson.js';

/**
 * Time for which a server that finishes goes on accepting: a request that was sent before may still
 * wait in the kernel, in a connection that is not accepted or not read yet.
 */
const LINGER_MS = 100;

/**
 * Tracks the responses in progress of an HTTP server, so that a planned stop can complete them.
 *
 * @example
 * const responses = new ResponseTracker(server);
 * await listen(server, '127.0.0.1', 0);
 * await responses.finish(1_000);
 */
export class ResponseTracker {
  private readonly open = new Set<ServerResponse>();

  private finishing = false;

  /** Called when a response ends while the server is finishing. */
  private onEnded: (() => void) | undefined;

  constructor(private readonly server: Server) {
    server.prependListener('request', (request, response: ServerResponse) => this.add(response));
  }

  /**
   * Stops accepting connections after a moment, waits until all responses in progress are sent, and
   * closes all connections; takes at most `timeoutMs`, and no time at all if that is 0.
   */
  async finish(timeoutMs: number): Promise<void> {
    this.finishing = true;
    this.open.forEach((response) => ResponseTracker.endConnectionAfter(response));
    const lingerMs = Math.min(LINGER_MS, timeoutMs);
    if (lingerMs > 0) await sleep(lingerMs);
    // The HTTP server's own close would cut responses that have ended but are not yet sent.
    NetServer.prototype.close.call(this.server);
    await this.waitUntilIdle(timeoutMs - lingerMs);
    await closeServer(this.server);
  }

  private waitUntilIdle(timeoutMs: number): Promise<void> {
    if (this.open.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.onEnded = () => {
        if (this.open.size > 0) return;
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private add(response: ServerResponse): void {
    this.open.add(response);
    if (this.finishing) ResponseTracker.endConnectionAfter(response);
    response.once('close', () => {
      this.open.delete(response);
      this.onEnded?.();
    });
  }

  /** Makes the response announce that its connection closes, unless its headers are sent. */
  private static endConnectionAfter(response: ServerResponse): void {
    // Node's own switch for keep-alive, which each response holds.
    // eslint-disable-next-line no-param-reassign
    response.shouldKeepAlive = false;
  }
}
