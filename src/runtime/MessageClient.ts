import type { Socket } from 'node:net';
import { WebSocket, type RawData } from 'ws';
import { MAX_MESSAGE_BYTES } from '../common/Constants.js';
import type { Disposable } from '../common/Disposable.js';
import {
  checkWelcome,
  readChallenge,
  respondToChallenge,
  type ChallengeResponse,
  type LinkRole,
  type Welcome,
} from './LinkAuth.js';
import type { Logger } from './Logger.js';
import { LinkBytes } from './LinkBytes.js';
import { checkMessage, type MessageFields } from './MessageCheck.js';
import { decodeMessage, encodeMessage } from './MessageCodec.js';
import { RetryDelays } from './RetryDelays.js';

/** Timing of a link. */
export interface LinkTiming {
  /** Maximum delay between two attempts to connect. */
  readonly retryMaxMs: number;
  /** Attempts at the shortest delay, so that hosts that start together connect quickly. */
  readonly quickRetries: number;
  readonly heartbeatIntervalMs: number;
  /** Time without a received byte after which the link counts as broken. */
  readonly receiveTimeoutMs: number;
  readonly connectTimeoutMs: number;
}

/** Timing for hosts that are rarely unreachable. */
const DEFAULT_LINK_TIMING: LinkTiming = {
  retryMaxMs: 1_000,
  quickRetries: 1,
  heartbeatIntervalMs: 1_000,
  receiveTimeoutMs: 3_000,
  connectTimeoutMs: 2_000,
};

/** Timing for links that must be in use again within three seconds of a network recovery. */
export const FAST_LINK_TIMING: LinkTiming = {
  retryMaxMs: 120,
  quickRetries: 10,
  heartbeatIntervalMs: 400,
  receiveTimeoutMs: 1_400,
  connectTimeoutMs: 700,
};

/** Options of a {@link MessageClient}. */
export interface MessageClientOptions {
  readonly address: string;
  readonly port: number;
  /** Id of this process. */
  readonly id: string;
  readonly role: LinkRole;
  readonly secret: string;
  readonly logger: Logger;
  /** Fields that messages of each type must have. */
  readonly fields: MessageFields;
  readonly timing?: LinkTiming;
  /** Own availability zone, which the server uses in its metrics. */
  readonly availabilityZone?: string;
  /** Receives the bytes sent by message type, and the server's zone once it is known. */
  readonly onBytes?: (messageType: string, bytes: number, serverZone: string | undefined) => void;
  readonly onOpen: () => void;
  readonly onMessage: (message: object) => void;
  readonly onClose: (lost: LostLink) => void;
}

/** What an open link did until it was lost, for the log. */
export interface LostLink {
  readonly openMs: number;
  /** Time since the last received byte; long if the other end or the path to it is slow. */
  readonly silentMs: number;
  /** Bytes of messages sent since the link was opened. */
  readonly sentBytes: number;
  /** Bytes of them that this process could not pass on yet; many if the path is too slow. */
  readonly unsentBytes: number;
}

/** Number of messages and encoded bytes in both directions. */
export interface LinkTraffic {
  bytes: number;
  messages: number;
}

/** State of a link. */
enum LinkState {
  Connecting,
  Challenged,
  Open,
  Closed,
}

const FIRST_RETRY_MS = 40;
/** Share of the heartbeat interval after which a link counts as idle and is pinged. */
const IDLE_SHARE = 0.75;
/** Shortest time without a received byte after which a handshake counts as broken. */
const HANDSHAKE_SILENCE_MS = 3_000;
/** A link with more unsent data than this is closed. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
/** Header size of a masked WebSocket frame with a payload of 126 to 65,535 bytes. */
const FRAME_BYTES = 8;

function pingIfOpen(socket: WebSocket): void {
  if (socket.readyState === socket.OPEN) socket.ping();
}

/** Authenticated WebSocket link that reconnects until it is disposed, and then calls back no more. */
export class MessageClient implements Disposable {
  private socket: WebSocket | undefined;

  private state = LinkState.Connecting;

  private response: ChallengeResponse | undefined;

  private readonly retryDelays: RetryDelays;

  private retryTimer: NodeJS.Timeout | undefined;

  private heartbeat: NodeJS.Timeout | undefined;

  private receivedAtMs = 0;

  private openedAtMs = 0;

  /** Bytes of messages sent on the open link. */
  private sentMessageBytes = 0;

  /** Connection under the WebSocket; its byte count includes incomplete messages. */
  private connection: Socket | undefined;

  /** Bytes received on the connection at the last heartbeat. */
  private receivedBytes = 0;

  private sentBytes: LinkBytes | undefined;

  private serverZone: string | undefined;

  private disposed = false;

  readonly traffic: LinkTraffic = { bytes: 0, messages: 0 };

  /** Messages that were not sent, as no other end accepts their size. */
  oversizedMessages = 0;

  /** Credential for calls forwarded to the server; empty while the link is down. */
  ticket = '';

  /** Protocol version of the server, once the link is open. */
  serverProtocol = 1;

  /** Time of the last message or sign of life. */
  get lastReceivedAtMs(): number {
    return this.receivedAtMs;
  }

  private readonly timing: LinkTiming;

  constructor(private readonly options: MessageClientOptions) {
    this.timing = options.timing ?? DEFAULT_LINK_TIMING;
    this.retryDelays = new RetryDelays({
      firstMs: FIRST_RETRY_MS,
      maxMs: this.timing.retryMaxMs,
      quickRetries: this.timing.quickRetries,
    });
    this.connect();
  }

  get isOpen(): boolean {
    return this.state === LinkState.Open && !this.disposed;
  }

  /**
   * Sends a message; false if the link is down, the server reads too slowly or the message is larger
   * than {@link MAX_MESSAGE_BYTES}, which would end the link at the server.
   */
  send(message: object): boolean {
    if (!this.socket || this.state !== LinkState.Open || this.disposed) return false;
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.socket.terminate();
      return false;
    }
    const bytes = encodeMessage(message);
    const kind = String((message as { type?: unknown }).type);
    if (bytes.length > MAX_MESSAGE_BYTES) {
      this.oversizedMessages += 1;
      const to = `${this.options.address}:${this.options.port}`;
      this.options.logger.error('message_oversized', { to, kind, bytes: bytes.length });
      return false;
    }
    this.countTraffic(bytes);
    this.sentMessageBytes += bytes.length;
    this.socket.send(bytes);
    this.sentBytes?.noteMessage(kind, bytes.length);
    return true;
  }

  dispose(): void {
    this.disposed = true;
    this.sentBytes?.settle();
    clearTimeout(this.retryTimer);
    clearInterval(this.heartbeat);
    this.socket?.terminate();
  }

  private countTraffic(bytes: Buffer): void {
    this.traffic.bytes += bytes.length + FRAME_BYTES;
    this.traffic.messages += 1;
  }

  private connect(): void {
    const { address, port } = this.options;
    const url = `ws://${address}:${port}/`;
    if (!URL.canParse(url)) {
      // The address comes from other hosts, which an earlier version may have let in unchecked.
      this.options.logger.error('link_failed', { from: url, detail: 'The address is invalid.' });
      return;
    }
    const socket = new WebSocket(url, {
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: this.timing.connectTimeoutMs,
    });
    this.socket = socket;
    this.state = LinkState.Connecting;
    socket.on('error', (error) => {
      if (this.state === LinkState.Open) {
        const from = `${address}:${port}`;
        this.options.logger.warn('link_failed', { from, detail: String(error) });
      }
      socket.terminate();
    });
    socket.on('message', (data) => this.receive(socket, data));
    socket.once('upgrade', (response) => {
      this.connection = response.socket;
      this.receivedBytes = response.socket.bytesRead;
      this.watchHandshake(socket);
      this.sentBytes = new LinkBytes({
        connection: response.socket,
        isClient: true,
        onBytes: (messageType, bytes) =>
          this.options.onBytes?.(messageType, bytes, this.serverZone),
      });
    });
    socket.on('pong', () => {
      this.receivedAtMs = performance.now();
    });
    socket.once('close', () => this.onClosed(socket));
  }

  private receive(socket: WebSocket, data: RawData): void {
    // A terminated socket still emits the messages that it has read.
    if (this.disposed) return;
    this.receivedAtMs = performance.now();
    this.countTraffic(data as Buffer);
    const decoded = decodeMessage(data as Buffer);
    if (decoded.isErr) {
      socket.terminate();
      return;
    }
    this.stateHandlers[this.state](socket, decoded.value);
  }

  private readonly stateHandlers: Record<
    LinkState,
    (socket: WebSocket, message: Record<string, unknown>) => void
  > = {
    [LinkState.Connecting]: (socket, message) => {
      const { secret, id, role, availabilityZone } = this.options;
      const challenge = readChallenge(message);
      if (!challenge) {
        this.options.logger.warn('link_refused', { reason: 'malformed challenge' });
        socket.terminate();
        return;
      }
      this.response = {
        ...respondToChallenge(secret, id, role, challenge),
        ...(availabilityZone !== undefined && { availabilityZone }),
      };
      this.state = LinkState.Challenged;
      socket.send(encodeMessage(this.response));
    },
    [LinkState.Challenged]: (socket, message) => {
      const welcome = message as unknown as Welcome;
      const isAuthentic =
        this.response !== undefined &&
        typeof welcome.mac === 'string' &&
        checkWelcome(this.options.secret, this.response, welcome);
      if (!isAuthentic) {
        this.options.logger.warn('link_refused', { reason: 'server authentication' });
        socket.terminate();
        return;
      }
      this.ticket = welcome.ticket;
      if (typeof welcome.availabilityZone === 'string') this.serverZone = welcome.availabilityZone;
      this.serverProtocol = welcome.protocol ?? 1;
      this.state = LinkState.Open;
      this.openedAtMs = performance.now();
      this.sentMessageBytes = 0;
      this.retryDelays.reset();
      this.startHeartbeat(socket);
      this.options.onOpen();
    },
    [LinkState.Open]: (socket, message) => {
      const checked = checkMessage(message, this.options.fields);
      if (checked.isOk) {
        this.options.onMessage(checked.value);
        return;
      }
      this.options.logger.warn('message_refused', { detail: checked.error.detail });
    },
    [LinkState.Closed]: () => {},
  };

  /**
   * Closes a link whose other end falls silent before it is open. A server may admit its clients
   * late, so that one ping asks whether it still runs; its answer counts as a sign of life.
   */
  private watchHandshake(socket: WebSocket): void {
    clearInterval(this.heartbeat);
    this.receivedAtMs = performance.now();
    const limitMs = Math.max(this.timing.receiveTimeoutMs, HANDSHAKE_SILENCE_MS);
    this.heartbeat = setInterval(() => {
      this.noteReceivedBytes();
      if (performance.now() - this.receivedAtMs > limitMs) socket.terminate();
      else pingIfOpen(socket);
    }, limitMs / 2);
  }

  /** Closes a link whose other end stops responding, for example after a network failure. */
  private startHeartbeat(socket: WebSocket): void {
    clearInterval(this.heartbeat);
    this.heartbeat = setInterval(() => {
      this.noteReceivedBytes();
      this.sentBytes?.settle();
      const silentMs = performance.now() - this.receivedAtMs;
      if (silentMs > this.timing.receiveTimeoutMs) socket.terminate();
      // Messages that arrive show that the link works as well as the answer to a ping.
      else if (silentMs > this.timing.heartbeatIntervalMs * IDLE_SHARE) pingIfOpen(socket);
    }, this.timing.heartbeatIntervalMs);
  }

  /** Counts a part of a message as a sign of life: on a slow link, a whole one takes longer. */
  private noteReceivedBytes(): void {
    const bytesRead = this.connection?.bytesRead ?? 0;
    if (bytesRead > this.receivedBytes) this.receivedAtMs = performance.now();
    this.receivedBytes = bytesRead;
  }

  private onClosed(socket: WebSocket): void {
    if (socket !== this.socket) return;
    if (!this.disposed) this.sentBytes?.settle();
    this.sentBytes = undefined;
    clearInterval(this.heartbeat);
    const wasOpen = this.state === LinkState.Open;
    this.state = LinkState.Closed;
    this.ticket = '';
    if (this.disposed) return;
    if (wasOpen) this.options.onClose(this.describeLost(socket));
    this.retryTimer = setTimeout(() => this.connect(), this.retryDelays.next());
  }

  private describeLost(socket: WebSocket): LostLink {
    const nowMs = performance.now();
    return {
      openMs: Math.round(nowMs - this.openedAtMs),
      silentMs: Math.round(nowMs - this.receivedAtMs),
      sentBytes: this.sentMessageBytes,
      unsentBytes: socket.bufferedAmount,
    };
  }
}
