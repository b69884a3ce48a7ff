import type { Socket } from 'node:net';

/** Receives the bytes that one end of a link has sent, by message type. */
export type OnLinkBytes = (messageType: string, bytes: number) => void;

/** Type under which bytes outside messages are counted: handshake, pings and pongs. */
export const LINK_OVERHEAD = 'link-overhead';

/** Options of {@link LinkBytes}. */
export interface LinkBytesOptions {
  readonly connection: Pick<Socket, 'bytesWritten'>;
  /** True at the client's end, whose WebSocket frames have a mask. */
  readonly isClient: boolean;
  readonly onBytes: OnLinkBytes;
}

/** Sizes of parts of a WebSocket frame header (RFC 6455, section 5.2). */
const HEADER_BYTES = 2;
const MASK_BYTES = 4;

/** Payload sizes from which the header has a longer length field, and the bytes that it adds. */
const EXTENDED_LENGTHS: readonly (readonly [fromBytes: number, addedBytes: number])[] = [
  [65_536, 8],
  [126, 2],
];

/**
 * Counts the bytes that one end of a WebSocket link sends: each message with its frame header, and
 * what else passed on the connection as overhead.
 */
export class LinkBytes {
  /** Bytes of the connection that have been reported. */
  private reported = 0;

  constructor(private readonly options: LinkBytesOptions) {}

  /** Reports a message that was sent. */
  noteMessage(messageType: string, payloadBytes: number): void {
    const added = EXTENDED_LENGTHS.find(([fromBytes]) => payloadBytes >= fromBytes)?.[1] ?? 0;
    const maskBytes = this.options.isClient ? MASK_BYTES : 0;
    this.report(messageType, payloadBytes + HEADER_BYTES + added + maskBytes);
  }

  /** Reports the bytes of the connection that belong to no message. */
  settle(): void {
    const rest = this.options.connection.bytesWritten - this.reported;
    if (rest > 0) this.report(LINK_OVERHEAD, rest);
  }

  private report(messageType: string, bytes: number): void {
    this.reported += bytes;
    this.options.onBytes(messageType, bytes);
  }
}
