import { Packr } from 'msgpackr';
import Result from 'true-myth/result';
import { EgretError, ErrorKind } from '../common/Errors.js';

const codec = new Packr({ useRecords: false });

/** Message with the type field that every message has. */
export interface TypedMessage {
  readonly type: string;
}

/**
 * Encodes a message between the system's own processes.
 *
 * @example
 * encodeMessage({ type: 'ping' }).length > 0; // true
 */
export function encodeMessage(message: object): Buffer {
  return codec.pack(message);
}

/**
 * Decodes a message; values other than maps are refused.
 *
 * @example
 * decodeMessage(encodeMessage({ type: 'ping' })).isOk; // true
 */
export function decodeMessage(bytes: Buffer): Result<Record<string, unknown>, EgretError> {
  try {
    const message: unknown = codec.unpack(bytes);
    if (typeof message === 'object' && message !== null && !Array.isArray(message)) {
      return Result.ok(message as Record<string, unknown>);
    }
  } catch {
    // Falls through to the error below.
  }
  return Result.err(new EgretError(ErrorKind.BadRequest, 'The message is not a MessagePack map.'));
}
