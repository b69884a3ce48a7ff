import { deflateSync, inflateSync } from 'node:zlib';
import Result from 'true-myth/result';
import { MAX_MESSAGE_BYTES } from '../../common/Constants.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { ControlMessageType, type ControlToEntryMessage } from '../../common/Messages.js';
import { decodeMessage, encodeMessage } from '../../runtime/MessageCodec.js';

/** Encoded size from which a message is compressed: a few records, which share most of their text. */
const COMPRESS_FROM_BYTES = 1024;

/** Fastest level: lists of hosts shrink to a tenth at it, and each further level doubles the time. */
const COMPRESSION_LEVEL = 1;

/**
 * Decompresses a message, up to the size that a message may have.
 *
 * @example
 * decompressMessage(compressed.bytes).isOk; // true
 */
export function decompressMessage(bytes: Uint8Array): Result<Record<string, unknown>, EgretError> {
  try {
    return decodeMessage(inflateSync(bytes, { maxOutputLength: MAX_MESSAGE_BYTES }));
  } catch (error) {
    return Result.err(new EgretError(ErrorKind.BadRequest, `Compressed message: ${String(error)}`));
  }
}

/** Encodes messages that are sent to many sessions once. */
export class MessageCompressor {
  /** Encoded forms of messages, by identity: messages are never changed. */
  private readonly encoded = new WeakMap<ControlToEntryMessage, Buffer>();

  private readonly compressed = new WeakMap<ControlToEntryMessage, Buffer>();

  encode(message: ControlToEntryMessage): Buffer {
    const known = this.encoded.get(message);
    if (known) return known;
    const bytes = encodeMessage(message);
    this.encoded.set(message, bytes);
    return bytes;
  }

  /** Encodes a message, compressed if it is large. */
  compress(message: ControlToEntryMessage): Buffer {
    const known = this.compressed.get(message);
    if (known) return known;
    const plain = this.encode(message);
    if (plain.length < COMPRESS_FROM_BYTES) return plain;
    const bytes = encodeMessage({
      type: ControlMessageType.Compressed,
      bytes: deflateSync(plain, { level: COMPRESSION_LEVEL }),
    });
    this.compressed.set(message, bytes);
    return bytes;
  }
}
