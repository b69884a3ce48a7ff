import { createServer, type Server, type Socket } from 'node:net';

/** Connection to a {@link RawBackend}. */
export interface RawConnection {
  readonly socket: Socket;
  /** True once the caller has closed or reset the connection. */
  closed: boolean;
}

/** Request that a {@link RawBackend} received. */
export interface RawRequest {
  /** Request line and headers. */
  readonly head: string;
  readonly path: string;
  readonly connection: RawConnection;
}

/** Writes the answer to one request. */
export type RawReply = (socket: Socket, request: RawRequest) => void;

/** Options of a {@link RawBackend}. */
export interface RawBackendOptions {
  /** True to answer each request at the end of its head, without its body; false by default. */
  readonly answersAtHead?: boolean;
}

const HEAD_END = '\r\n\r\n';

/** Value of a header of a request; empty if it is missing. */
export function headerOf(head: string, name: string): string {
  const line = head.split('\r\n').find((item) => item.toLowerCase().startsWith(`${name}: `));
  return line?.slice(name.length + 2) ?? '';
}

/**
 * Writes the same bytes again and again until the connection is closed.
 *
 * @example
 * backend.reply = (socket) => writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n');
 */
export function writeEndlessly(socket: Socket, bytes: string, pauseMs = 0): void {
  if (socket.destroyed) return;
  const next = () => writeEndlessly(socket, bytes, pauseMs);
  const continueLater = () => (pauseMs > 0 ? setTimeout(next, pauseMs) : setImmediate(next));
  if (socket.write(bytes)) continueLater();
  else socket.once('drain', continueLater);
}

/** Backend server whose answers are raw bytes, valid HTTP or not. */
export class RawBackend {
  readonly connections: RawConnection[] = [];

  readonly requests: RawRequest[] = [];

  private readonly server: Server = createServer((socket) => this.accept(socket));

  constructor(
    public reply: RawReply,
    private readonly options: RawBackendOptions = {},
  ) {}

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Bytes written to all connections, including those that the caller has not read yet. */
  get bytesWritten(): number {
    return this.connections.reduce((sum, { socket }) => sum + socket.bytesWritten, 0);
  }

  get openConnections(): number {
    return this.connections.filter((connection) => !connection.closed).length;
  }

  /** Requests for a path. */
  requestsFor(path: string): RawRequest[] {
    return this.requests.filter((request) => request.path === path);
  }

  start(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  stop(): Promise<void> {
    this.connections.forEach(({ socket }) => socket.destroy());
    return new Promise((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(socket: Socket): void {
    const connection: RawConnection = { socket, closed: false };
    this.connections.push(connection);
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      received = this.takeRequests(connection, received);
    });
    socket.on('error', () => {});
    socket.on('end', () => {
      connection.closed = true;
      socket.destroy();
    });
    socket.on('close', () => {
      connection.closed = true;
    });
  }

  /** Handles every complete request and returns the bytes that remain. */
  private takeRequests(connection: RawConnection, received: string): string {
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd < 0) return received;
    const head = received.slice(0, headEnd);
    const { answersAtHead = false } = this.options;
    const bodyBytes = answersAtHead ? 0 : Number(headerOf(head, 'content-length') || 0);
    const end = headEnd + HEAD_END.length + bodyBytes;
    if (received.length < end) return received;
    const request = { head, path: head.split(' ')[1] ?? '', connection };
    this.requests.push(request);
    this.reply(connection.socket, request);
    return this.takeRequests(connection, received.slice(end));
  }
}
