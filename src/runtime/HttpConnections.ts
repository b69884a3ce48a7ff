import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { answerHalfClosed } from './HttpJson.js';

/** Side that closed a connection before an answer on it was complete. */
export enum ClosedBy {
  Client = 'client',
  Host = 'host',
}

/** Called once an answer was sent, or with the side that closed its connection before. */
export type AnswerEnded = (closedBy: ClosedBy | null) => void;

/** Options of {@link HttpConnections}. */
export interface HttpConnectionsOptions {
  readonly server: Server;
  /** True from the start of a planned stop; each connection then ends after its last answer. */
  readonly isStopping: () => boolean;
  /** Time for which a client may take to close its side after this host has closed its own. */
  readonly lingerMs?: number;
  /**
   * True for an answer that is sent even if its client seems to have left, such as that of a
   * non-idempotent call which a backend server runs; for none by default.
   */
  readonly mustAnswer?: (response: ServerResponse) => boolean;
  /**
   * Ends the work for an answer whose client seems to have left, and answers it as unserved, since
   * the client may only have closed its sending side. Without it such a connection is closed.
   */
  readonly endLeft?: (response: ServerResponse) => void;
}

/** State of one connection. */
interface Connection {
  readonly socket: Socket;
  /** Answers that are not yet sent completely, in the order of their requests. */
  readonly due: Map<ServerResponse, AnswerEnded[]>;
  /** True once the connection ends after the answers that are due. */
  ending: boolean;
  /** Time at which the latest request, or the latest end of a body, arrived. */
  lastArrivalMs: number;
  /** Closes the connection if its client has left; set once it has closed its sending side. */
  closeIfLeft?: () => void;
  /** Ends an idle connection after a delay. */
  idleTimer?: NodeJS.Timeout;
  /** Time at which this host closed its sending side. */
  closedAtMs?: number;
}

const DEFAULT_LINGER_MS = 1_000;

/** Delay before an idle connection ends: a request that has arrived is read and admitted first. */
const IDLE_GRACE_MS = 50;

/**
 * Longest time for which a request may have waited unread when its connection is ended as idle. Clients
 * count one as crossing the close if it was sent 200 ms before that at most; half is left for the network.
 */
const UNREAD_MAX_MS = 100;

/**
 * A client that closes only its sending side does so right behind its last request, since it has
 * nothing to wait for; one that gives up has waited for an answer. TCP shows the same for both.
 */
const HALF_CLOSE_MS = 100;

/**
 * Time for which a client that closed right behind its request may be served without a sign that it
 * still reads: work for a client that has left ends within half a second.
 */
const HALF_CLOSED_SERVICE_MS = 400;

/**
 * Requests of one connection that may be in progress; it ends after the answers to them, and its
 * client sends the others again elsewhere. Browsers and client libraries send far fewer ahead.
 */
const REQUESTS_AHEAD_MAX = 64;

/**
 * Connections of an HTTP server whose clients may send requests before earlier ones are answered.
 * A connection ends only after the answers to all admitted requests, since Node's server drops the
 * answers behind one with `Connection: close`, and closes connections as idle while an answer
 * is still being sent.
 */
export class HttpConnections {
  private readonly connections = new Map<Socket, Connection>();

  /** True once idle connections are ended; each connection then ends after the answers due. */
  private draining = false;

  constructor(private readonly options: HttpConnectionsOptions) {
    const { server } = options;
    server.on('connection', (socket: Socket) => this.add(socket));
    // `close` of the server calls this too.
    Object.assign(server, { closeIdleConnections: () => this.closeIdle() });
    answerHalfClosed(server);
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Number of admitted requests whose answers are not yet sent completely. */
  get dueAnswers(): number {
    return [...this.connections.values()].reduce((sum, { due }) => sum + due.size, 0);
  }

  /**
   * Admits a request. Returns false if its connection ends before an answer to it: the request must
   * not be handled, and its client sends it again on another connection.
   *
   * @example
   * if (!connections.admit(request, response)) return;
   */
  admit(request: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.connections.get(request.socket);
    if (!connection) return false;
    if (this.draining && connection.due.size > 0) connection.ending = true;
    if (connection.due.size >= REQUESTS_AHEAD_MAX) connection.ending = true;
    if (connection.ending) {
      request.resume();
      return false;
    }
    clearTimeout(connection.idleTimer);
    connection.idleTimer = undefined;
    connection.due.set(response, []);
    connection.lastArrivalMs = performance.now();
    request.once('end', () => {
      connection.lastArrivalMs = performance.now();
    });
    response.once('close', () => {
      if (response.writableFinished) this.finish(connection, response, null);
    });
    return true;
  }

  /**
   * Calls the listener once the answer has been sent or its connection has closed before; at once if
   * the connection has closed already.
   *
   * @example
   * connections.whenEnded(response, () => calls.delete(callId));
   */
  whenEnded(response: ServerResponse, listener: AnswerEnded): void {
    const listeners = this.connections.get(response.req.socket)?.due.get(response);
    if (listeners) listeners.push(listener);
    else listener(ClosedBy.Client);
  }

  /**
   * Time since this host closed its side of a request's connection; undefined while it has not.
   *
   * @example
   * if (!connections.admit(request, response)) log(connections.closedForMs(request));
   */
  closedForMs({ socket }: IncomingMessage): number | undefined {
    const closedAtMs = this.connections.get(socket)?.closedAtMs;
    return closedAtMs === undefined ? undefined : performance.now() - closedAtMs;
  }

  /** True until the answer has been sent or its connection has closed. */
  isDue(response: ServerResponse): boolean {
    return this.connections.get(response.req.socket)?.due.has(response) ?? false;
  }

  /** Answers that are due before this one on its connection. */
  answersAhead(response: ServerResponse): ServerResponse[] {
    const due = [...(this.connections.get(response.req.socket)?.due.keys() ?? [])];
    return due.slice(0, Math.max(0, due.indexOf(response)));
  }

  /** True if requests that arrived later on the connection wait for this answer. */
  hasAnswersBehind(response: ServerResponse): boolean {
    const due = this.connections.get(response.req.socket)?.due;
    return due !== undefined && due.has(response) && [...due.keys()].at(-1) !== response;
  }

  /**
   * True if the answer is the last one on its connection and must carry `Connection: close`. No
   * further request of the connection is admitted then.
   */
  endsConnection(response: ServerResponse): boolean {
    const connection = this.connections.get(response.req.socket);
    if (!connection || this.hasAnswersBehind(response)) return false;
    if (this.options.isStopping()) connection.ending = true;
    return connection.ending;
  }

  /** Admits no further request on the connection of an answer whose end is that of the connection. */
  endWith(response: ServerResponse): void {
    const connection = this.connections.get(response.req.socket);
    if (connection) connection.ending = true;
  }

  /**
   * Ends a connection after the answers that are due; returns false if none is due. A request whose body
   * is incomplete by then is not answered, unless its answer has begun or must be sent.
   */
  endAfterDueAnswers(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    const latest = [...(connection?.due.keys() ?? [])].at(-1);
    if (!connection || !latest) return false;
    connection.ending = true;
    const isExpected = latest.headersSent || this.options.mustAnswer?.(latest) === true;
    if (!latest.req.complete && !isExpected) this.abort(latest);
    return true;
  }

  /**
   * Ends a connection that Node's server has handed over after the answers that are due, and reports to
   * them when its buffer has drained, as Node no longer does; returns false if none is due.
   */
  finishHandedOver(socket: Socket): boolean {
    if (!this.endAfterDueAnswers(socket)) return false;
    socket.on('drain', () =>
      [...(this.connections.get(socket)?.due.keys() ?? [])]
        .filter((response) => response.socket === socket)
        .forEach((response) => response.emit('drain')),
    );
    return true;
  }

  /**
   * Closes an answer's connection once the answers before it are sent, in order: these may still wait in
   * the kernel, which drops them if the connection is reset or closed with unread bytes. Its own
   * length or chunks show that the answer is incomplete.
   */
  abort(response: ServerResponse): void {
    const { socket } = response.req;
    this.endWith(response);
    const close = () => {
      this.end(socket);
      const connection = this.connections.get(socket);
      if (!connection?.due.has(response)) return;
      const due = [...connection.due.keys()];
      const unsent = due.slice(due.indexOf(response));
      // The answer ahead is reported as sent first.
      setImmediate(() => unsent.forEach((item) => this.finish(connection, item, ClosedBy.Host)));
    };
    if (response.socket) close();
    else response.once('socket', close);
  }

  /** Ends the connections on which no answer is due; called repeatedly at the end of a stop. */
  closeIdle(): void {
    this.draining = true;
    this.connections.forEach((connection) => {
      if (connection.due.size > 0 || connection.ending || connection.idleTimer) return;
      Object.assign(connection, {
        idleTimer: setTimeout(() => this.endIfStillIdle(connection), IDLE_GRACE_MS),
      });
    });
  }

  /**
   * Ends an idle connection after a short turn of the event loop that read what had arrived: in a busy
   * process, timers run before that, and requests arrive while a long turn handles others.
   */
  private endIfStillIdle(connection: Connection): void {
    const { idleTimer } = connection;
    const turnStartedMs = performance.now();
    setImmediate(() => {
      if (!idleTimer || connection.idleTimer !== idleTimer) return;
      if (performance.now() - turnStartedMs <= UNREAD_MAX_MS) this.endIdle(connection);
      else this.endIfStillIdle(connection);
    });
  }

  private endIdle(connection: Connection): void {
    Object.assign(connection, { ending: true });
    this.end(connection.socket);
  }

  private add(socket: Socket): void {
    const connection: Connection = { socket, due: new Map(), ending: false, lastArrivalMs: 0 };
    this.connections.set(socket, connection);
    socket.once('end', () => this.noteHalfClosed(connection));
    socket.once('close', () => {
      this.connections.delete(socket);
      clearTimeout(connection.idleTimer);
      const leftByClient = socket.readableEnded || socket.errored !== null;
      const closedBy = connection.ending && !leftByClient ? ClosedBy.Host : ClosedBy.Client;
      // Node's server emits no event for answers that wait behind another one.
      [...connection.due.keys()].forEach((response) => this.finish(connection, response, closedBy));
    });
    // Node calls this after an answer that ends the connection.
    Object.assign(socket, { destroySoon: () => this.end(socket) });
  }

  /** Decides about the answers that are due on a connection whose client sends no more. */
  private noteHalfClosed(connection: Connection): void {
    const { socket, lastArrivalMs } = connection;
    connection.ending = true;
    if (connection.due.size === 0) return;
    const sentBytes = socket.bytesWritten;
    const closeIfLeft = () => {
      // A client that has left resets the connection when it receives bytes.
      const hasSent = socket.bytesWritten > sentBytes;
      if (!hasSent && !this.mustAnswerOn(connection)) this.endLeft(connection);
    };
    const delayMs = performance.now() - lastArrivalMs <= HALF_CLOSE_MS ? HALF_CLOSED_SERVICE_MS : 0;
    const timer = setTimeout(() => {
      connection.closeIfLeft = closeIfLeft;
      closeIfLeft();
    }, delayMs);
    socket.once('close', () => clearTimeout(timer));
  }

  private endLeft({ socket, due }: Connection): void {
    const { endLeft } = this.options;
    const responses = [...due.keys()];
    if (!endLeft || responses.some(({ headersSent }) => headersSent)) socket.destroy();
    else responses.forEach(endLeft);
  }

  private mustAnswerOn({ due }: Connection): boolean {
    const { mustAnswer } = this.options;
    return mustAnswer !== undefined && [...due.keys()].some(mustAnswer);
  }

  /**
   * Closes the sending side. The receiving side is read until the client closes it: closing it with
   * unread bytes resets the connection, and the part of an answer not yet received would be lost.
   */
  private end(socket: Socket): void {
    if (socket.destroyed || socket.writableEnded) return;
    const { lingerMs = DEFAULT_LINGER_MS } = this.options;
    const timer = setTimeout(() => socket.destroy(), lingerMs);
    socket.once('close', () => clearTimeout(timer));
    const connection = this.connections.get(socket);
    if (connection) connection.closedAtMs = performance.now();
    socket.end();
  }

  private finish(
    connection: Connection,
    response: ServerResponse,
    closedBy: ClosedBy | null,
  ): void {
    const listeners = connection.due.get(response) ?? [];
    connection.due.delete(response);
    listeners.forEach((listener) => listener(closedBy));
    if (connection.ending && connection.due.size === 0) this.end(connection.socket);
    else connection.closeIfLeft?.();
  }
}
