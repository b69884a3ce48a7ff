import Result from 'true-myth/result';
import { MAX_KEY_FUTURE_MS } from './Constants.js';
import { EgretError, ErrorKind } from './Errors.js';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/** Options of {@link checkKeyAge}. */
export interface KeyAgeOptions {
  readonly nowMs: number;
  readonly retentionMs: number;
}

/**
 * Reads the creation time of a UUIDv7 idempotency key, in Unix milliseconds.
 *
 * @example
 * parseKeyTimeMs('018f3c5a-0000-7000-8000-000000000000').isOk; // true
 */
export function parseKeyTimeMs(key: string): Result<number, EgretError> {
  if (!UUID_V7.test(key)) {
    return Result.err(new EgretError(ErrorKind.KeyInvalid, 'The idempotency key is not a UUIDv7.'));
  }
  const digits = key.replace('-', '').slice(0, TIMESTAMP_HEX_DIGITS);
  return Result.ok(Number.parseInt(digits, HEX_RADIX));
}

/**
 * Refuses keys older than the retention period and keys too far in the future.
 *
 * @example
 * checkKeyAge(1_000, { nowMs: 2_000, retentionMs: 500 }).isErr; // true
 */
export function checkKeyAge(keyTimeMs: number, options: KeyAgeOptions): Result<number, EgretError> {
  if (keyTimeMs > options.nowMs + MAX_KEY_FUTURE_MS) {
    return Result.err(
      new EgretError(ErrorKind.KeyInvalid, 'The idempotency key is too far in the future.'),
    );
  }
  if (keyTimeMs <= options.nowMs - options.retentionMs) {
    return Result.err(
      new EgretError(ErrorKind.KeyExpired, 'The idempotency key exceeds the retention period.'),
    );
  }
  return Result.ok(keyTimeMs);
}
