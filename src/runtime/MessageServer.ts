import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { WebSocketServer, type RawData, type WebSocket } from 'ws';
import { MAX_MESSAGE_BYTES } from '../common/Constants.js';
import type { Disposable } from '../common/Disposable.js';
import {
  checkResponse,
  createNonce,
  createWelcome,
  readResponse,
  type ChallengeResponse,
  type LinkRole,
} from './LinkAuth.js';
import { LinkBytes } from './LinkBytes.js';
import { releaseConnection } from './ConnectionGuard.js';
import type { Logger } from './Logger.js';
import { decodeMessage, encodeMessage } from './MessageCodec.js';
import { checkMessage, isUnknownType, type MessageFields } from './MessageCheck.js';

/** Authenticated link to a client. */
export interface ServerSession {
  readonly sessionId: number;
  /** Authenticated id of the client. */
  readonly clientId: string;
  readonly role: LinkRole;
  readonly ticket: string;
  /** Availability zone of the client; undefined if its version omits it. */
  readonly availabilityZone: string | undefined;
  send(message: object): void;
  /** Sends a message of a type that is encoded already. */
  sendEncoded(bytes: Buffer, messageType: string): void;
}

/** Options of a {@link MessageServer}. */
export interface MessageServerOptions {
  readonly secret: string;
  readonly logger: Logger;
  /** Fields that messages of each type must have. */
  readonly fields: MessageFields;
  /** Own availability zone, which clients use in their metrics. */
  readonly availabilityZone?: string;
  /** Receives the bytes sent by message type, and the client's zone if it is known. */
  readonly onBytes?: (messageType: string, bytes: number, clientZone: string | undefined) => void;
  /** Opens the session of an authenticated link, at once or later; at once by default. */
  readonly admit?: (role: LinkRole, open: () => void) => void;
  readonly onOpen: (session: ServerSession) => void;
  readonly onMessage: (session: ServerSession, message: object) => void;
  readonly onClose: (session: ServerSession) => void;
}

const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Bytes that an end may send before it has authenticated; its one message has a few hundred. */
const HANDSHAKE_BYTES_MAX = 64 * 1024;

/**
 * A client with more unsent data than this is disconnected: with hundreds of sessions, the memory of
 * a host must not depend on how slowly they read. The largest message still fits.
 */
const MAX_BUFFERED_BYTES = MAX_MESSAGE_BYTES;

/** Well below the receive timeouts of clients. */
const PROGRESS_INTERVAL_MS = 400;

/** Interval at which pings and the like are counted: several times in each scrape of the metrics. */
const OVERHEAD_INTERVAL_MS = 1_000;

const POLICY_VIOLATION_CODE = 1008;

function toBuffer(data: RawData): Buffer {
  if (Buffer.isBuffer(data)) return data;
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data);
}

/** Sends an encoded message; disconnects a client that reads too slowly. Returns false if unsent. */
function sendBytes(socket: WebSocket, bytes: Buffer): boolean {
  if (socket.readyState !== socket.OPEN) return false;
  if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
    socket.terminate();
    return false;
  }
  socket.send(bytes);
  return true;
}

/**
 * Sends a pong for each interval in which only a part of a message arrived. On a slow link, the
 * client's next ping follows the message, too late for its receive timeout.
 */
function reportProgress(socket: WebSocket, connection: Socket): void {
  let receivedBytes = connection.bytesRead;
  let isComplete = true;
  const complete = () => {
    isComplete = true;
  };
  socket.on('message', complete);
  socket.on('ping', complete);
  const timer = setInterval(() => {
    const { bytesRead } = connection;
    const isPartial = bytesRead > receivedBytes && !isComplete;
    receivedBytes = bytesRead;
    isComplete = false;
    if (isPartial && socket.readyState === socket.OPEN) socket.pong();
  }, PROGRESS_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}

/** Ends a link whose other end sends more than a handshake; returns a function that stops this. */
function limitHandshake(socket: WebSocket, connection: Socket): () => void {
  const bytesBefore = connection.bytesRead;
  const onData = () => {
    if (connection.bytesRead - bytesBefore > HANDSHAKE_BYTES_MAX) socket.terminate();
  };
  connection.on('data', onData);
  return () => connection.off('data', onData);
}

/** Accepts authenticated WebSocket links on an HTTP server; calls back no more once disposed. */
export class MessageServer implements Disposable {
  private readonly server = new WebSocketServer({
    noServer: true,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });

  private readonly sockets = new Set<WebSocket>();

  /** Sessions by ticket. */
  private readonly tickets = new Map<string, ServerSession>();

  private nextSessionId = 1;

  /** Messages that were not sent, as no client accepts their size. */
  oversizedMessages = 0;

  private disposed = false;

  constructor(private readonly options: MessageServerOptions) {}

  /** Handles the upgrade requests of an HTTP server. */
  attach(http: Server): void {
    http.on('upgrade', (request: IncomingMessage, stream: Duplex, head: Buffer) => {
      const connection = stream as Socket;
      // From here on this server owns the connection: Node has removed its listeners, and an error
      // without any listener would end the process.
      connection.on('error', () => connection.destroy());
      releaseConnection(connection);
      let isLink = false;
      this.server.handleUpgrade(request, connection, head, (webSocket) => {
        isLink = true;
        this.accept(webSocket, connection);
      });
      // Another upgrade than to a WebSocket has been answered, and its connection ends.
      if (!isLink) this.options.logger.warn('link_refused', { reason: 'upgrade' });
    });
  }

  /** The session that a ticket was issued to. */
  sessionOfTicket(ticket: string): ServerSession | undefined {
    return this.tickets.get(ticket);
  }

  dispose(): void {
    this.disposed = true;
    this.sockets.forEach((socket) => socket.terminate());
    this.server.close();
  }

  private accept(socket: WebSocket, connection: Socket): void {
    const challenge = { nonce: createNonce() };
    const timer = setTimeout(() => socket.terminate(), HANDSHAKE_TIMEOUT_MS);
    const endLimit = limitHandshake(socket, connection);
    this.sockets.add(socket);
    let from = 'unauthenticated';
    socket.on('error', (error) => {
      this.options.logger.warn('link_failed', { from, detail: String(error) });
      socket.terminate();
    });
    socket.once('close', () => {
      clearTimeout(timer);
      this.sockets.delete(socket);
    });
    socket.once('message', (data) => {
      clearTimeout(timer);
      if (this.disposed) return;
      const decoded = decodeMessage(toBuffer(data));
      const response = decoded.isOk ? readResponse(decoded.value) : undefined;
      if (!response || !checkResponse(this.options.secret, challenge, response)) {
        this.options.logger.warn('link_refused', { reason: 'authentication' });
        socket.close(POLICY_VIOLATION_CODE, 'authentication failed');
        return;
      }
      from = response.id;
      endLimit();
      reportProgress(socket, connection);
      const open = () => this.open(socket, connection, response);
      if (this.options.admit) this.options.admit(response.role, open);
      else open();
    });
    socket.send(encodeMessage(challenge));
  }

  private open(socket: WebSocket, connection: Socket, response: ChallengeResponse): void {
    // The client may have left while its session was delayed.
    if (this.disposed || socket.readyState !== socket.OPEN) return;
    const { availabilityZone } = this.options;
    const welcome = {
      ...createWelcome(this.options.secret, response),
      ...(availabilityZone !== undefined && { availabilityZone }),
    };
    const sentBytes = this.countBytes(socket, connection, response);
    const sendEncoded = (bytes: Buffer, messageType: string) => {
      if (bytes.length > MAX_MESSAGE_BYTES) {
        this.oversizedMessages += 1;
        const fields = { to: response.id, kind: messageType, bytes: bytes.length };
        this.options.logger.error('message_oversized', fields);
        return;
      }
      if (sendBytes(socket, bytes)) sentBytes?.noteMessage(messageType, bytes.length);
    };
    const session: ServerSession = {
      sessionId: this.nextSessionId,
      clientId: response.id,
      role: response.role,
      ticket: welcome.ticket,
      availabilityZone: response.availabilityZone,
      send: (message) =>
        sendEncoded(encodeMessage(message), String((message as { type?: unknown }).type)),
      sendEncoded,
    };
    this.nextSessionId += 1;
    this.tickets.set(session.ticket, session);
    socket.send(encodeMessage(welcome));
    socket.on('message', (data) => this.receive(session, socket, toBuffer(data)));
    socket.once('close', () => {
      this.tickets.delete(session.ticket);
      if (!this.disposed) this.options.onClose(session);
    });
    this.options.onOpen(session);
  }

  /** Counts what is sent on a link; pings and the like are counted at intervals and at its end. */
  private countBytes(
    socket: WebSocket,
    connection: Socket,
    { availabilityZone }: ChallengeResponse,
  ): LinkBytes | undefined {
    const { onBytes } = this.options;
    if (!onBytes) return undefined;
    const clientZone = typeof availabilityZone === 'string' ? availabilityZone : undefined;
    const sentBytes = new LinkBytes({
      connection,
      isClient: false,
      onBytes: (messageType, bytes) => onBytes(messageType, bytes, clientZone),
    });
    const timer = setInterval(() => sentBytes.settle(), OVERHEAD_INTERVAL_MS);
    socket.once('close', () => {
      clearInterval(timer);
      sentBytes.settle();
    });
    return sentBytes;
  }

  private receive(session: ServerSession, socket: WebSocket, bytes: Buffer): void {
    // A terminated socket still emits the messages that it has read.
    if (this.disposed) return;
    const decoded = decodeMessage(bytes);
    if (decoded.isOk && isUnknownType(decoded.value, this.options.fields)) {
      // A later version may send messages that this one does not have.
      this.options.logger.warn('message_ignored', {
        from: session.clientId,
        kind: String(decoded.value.type),
      });
      return;
    }
    const checked = decoded.andThen((message) => checkMessage(message, this.options.fields));
    if (checked.isOk) {
      this.options.onMessage(session, checked.value);
      return;
    }
    this.options.logger.warn('message_refused', {
      from: session.clientId,
      kind: checked.error.kind,
      detail: checked.error.detail,
    });
    socket.close(POLICY_VIOLATION_CODE, checked.error.kind);
  }
}
