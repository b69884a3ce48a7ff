import { createHash } from 'node:crypto';

/** Hexadecimal characters of a digest: enough to tell a few hundred settings apart. */
const DIGEST_LENGTH = 12;

/**
 * Digest of settings, by which operators see which hosts run the same ones. The order of the fields
 * does not matter, and a secret can not be read from it.
 *
 * @example
 * settingsDigest({ stopMs: 6_000, logLevel: 'info' }).length; // 12
 */
export function settingsDigest(settings: Readonly<Record<string, unknown>>): string {
  const fields = Object.keys(settings)
    .sort()
    .map((key) => [key, settings[key]]);
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex').slice(0, DIGEST_LENGTH);
}
