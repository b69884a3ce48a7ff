import { createHash } from 'node:crypto';

/** Maximum length of a method and target that are used as the fingerprint without hashing. */
const MAX_PLAIN_LENGTH = 200;

/**
 * Identifies equal requests. Of a body that is not buffered, only the length is included.
 *
 * @example
 * fingerprintOf('GET', '/records/7', Buffer.alloc(0)); // 'GET /records/7'
 */
export function fingerprintOf(
  method: string,
  target: string,
  body: Buffer | null,
  bodyBytes = -1,
): string {
  const plain = `${method} ${target}`;
  const short = plain.length <= MAX_PLAIN_LENGTH;
  if (short && body !== null && body.length === 0) return plain;
  const hash = createHash('sha256').update(plain).update('\0');
  if (body === null) hash.update(String(bodyBytes));
  else hash.update(body);
  return hash.digest('base64url');
}
