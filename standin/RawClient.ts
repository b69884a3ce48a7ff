import net, { type Socket } from 'node:net';

/** Bytes of the received text that are kept; further ones are only counted. */
const RECEIVED_MAX_LENGTH = 100_000;

/** Client on one connection that may send requests before earlier ones are answered. */
export class RawClient {
  received = '';

  receivedBytes = 0;

  /** True once the server has closed its side. */
  ended = false;

  /** True once the connection failed. */
  broken = false;

  readonly socket: Socket;

  constructor(port: number, { allowHalfOpen = false } = {}) {
    this.socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen });
    this.socket.on('data', (chunk) => {
      this.receivedBytes += chunk.length;
      if (this.received.length < RECEIVED_MAX_LENGTH) this.received += chunk.toString('latin1');
    });
    this.socket.on('end', () => {
      this.ended = true;
    });
    this.socket.on('error', () => {
      this.broken = true;
    });
  }

  /** Sends one GET request for each path, without a pause. */
  get(paths: readonly string[], headersOf: (path: string) => Record<string, string>): void {
    const requests = paths.map((path) => {
      const headers = Object.entries(headersOf(path)).map(([name, value]) => `${name}: ${value}`);
      return [`GET ${path} HTTP/1.1`, ...headers, '\r\n'].join('\r\n');
    });
    this.socket.write(requests.join(''));
  }

  /** Status codes of the answers received so far. */
  get statusCodes(): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => Number(match[1]));
  }

  close(): void {
    this.socket.destroy();
  }
}
