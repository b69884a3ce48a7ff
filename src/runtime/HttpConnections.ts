import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Side that closed a connection before an answer on it was complete. */
export enum ClosedBy {
  Client = 'client',
  Host = 'host',
}

/** Called once an answer was sent, or with the side that closed its connection before. */
export type AnswerEnded = (closedBy: ClosedBy | null) => void;

/** Answers of one connection that are not yet sent completely, in the order of their requests. */
type DueAnswers = Map<ServerResponse, AnswerEnded>;

/** Connections of an HTTP server, with the answers that are due on each. */
export class HttpConnections {
  private readonly connections = new Map<Socket, DueAnswers>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => this.add(socket));
  }

  /**
   * Follows the answer to a request; `onEnded` is called when it has been sent, or when its
   * connection is closed before.
   *
   * @example
   * connections.follow(request, response, (closedBy) => log('answer_ended', { closedBy }));
   */
  follow(request: IncomingMessage, response: ServerResponse, onEnded: AnswerEnded): void {
    const due = this.connections.get(request.socket);
    if (!due) return;
    due.set(response, onEnded);
    response.once('close', () => {
      if (response.writableFinished) HttpConnections.finish(due, response, null);
    });
  }

  private add(socket: Socket): void {
    const due: DueAnswers = new Map();
    this.connections.set(socket, due);
    socket.once('close', () => {
      this.connections.delete(socket);
      const closedByClient = socket.readableEnded || socket.errored !== null;
      const closedBy = closedByClient ? ClosedBy.Client : ClosedBy.Host;
      // Node's server emits no event for answers that wait behind another one.
      [...due.keys()].forEach((response) => HttpConnections.finish(due, response, closedBy));
    });
  }

  private static finish(
    due: DueAnswers,
    response: ServerResponse,
    closedBy: ClosedBy | null,
  ): void {
    const onEnded = due.get(response);
    due.delete(response);
    onEnded?.(closedBy);
  }
}
