/** Parts of a lease stamp. */
export interface LeaseStamp {
  readonly entryHostId: string;
  readonly bootId: string;
  readonly answeredAtMs: number;
}

const SEPARATOR = ' ';
const PARTS = 3;

/**
 * Encodes a stamp, opaque to backend servers.
 *
 * @example
 * encodeLeaseStamp({ entryHostId: 'entry-1', bootId: 'x', answeredAtMs: 5 }); // 'entry-1 x 5'
 */
export function encodeLeaseStamp(stamp: LeaseStamp): string {
  return [stamp.entryHostId, stamp.bootId, stamp.answeredAtMs].join(SEPARATOR);
}

/**
 * Decodes a stamp; undefined if the text is not a valid one.
 *
 * @example
 * decodeLeaseStamp('entry-1 x 5')?.answeredAtMs; // 5
 */
export function decodeLeaseStamp(text: string | null): LeaseStamp | undefined {
  const parts = text?.split(SEPARATOR) ?? [];
  const answeredAtMs = Number(parts[2]);
  if (parts.length !== PARTS || !Number.isFinite(answeredAtMs)) return undefined;
  return { entryHostId: parts[0]!, bootId: parts[1]!, answeredAtMs };
}
