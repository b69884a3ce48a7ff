import { HeaderName } from '../../common/Constants.js';
import type { PoolStatus } from '../Types.js';

/** Headers that belong to one connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Answer header in which a peer reports the free slots, slots and queue of its pool. */
export const POOL_HEADER = 'egret-pool';

/** Value of the {@link POOL_HEADER}. */
export function formatPoolStatus({ freeSlots, slots, queued }: PoolStatus): string {
  return `${freeSlots},${slots},${queued}`;
}

/** Request headers that are not copied because entry hosts handle or set them. */
const RESERVED_REQUEST_HEADERS = new Set<string>([
  HeaderName.RequestId,
  HeaderName.TimeoutMs,
  HeaderName.Attempt,
  HeaderName.Caller,
  HeaderName.Peer,
  'expect',
  'content-length',
]);

/** Answer headers that are not copied because only entry hosts set them. */
const RESERVED_ANSWER_HEADERS = new Set<string>([HeaderName.RequestId, POOL_HEADER]);

/** Names that the Connection header declares to be hop-by-hop. */
function connectionTokens(rawHeaders: readonly string[]): Set<string> | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'connection') {
      const names = rawHeaders[index + 1]!.toLowerCase().split(',');
      return new Set(names.map((name) => name.trim()));
    }
  }
  return undefined;
}

/** Copies the end-to-end headers that are not excluded. Runs for every call. */
export function copyEndToEnd(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string>,
): string[] {
  const copied: string[] = [];
  const tokens = connectionTokens(rawHeaders);
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!HOP_BY_HOP.has(name) && !excluded.has(name) && !tokens?.has(name)) {
      copied.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return copied;
}

/**
 * Headers of a caller's request that are relayed to a backend server.
 *
 * @example
 * requestHeaders(['Host', 'x', 'Connection', 'close']); // ['Host', 'x']
 */
export function requestHeaders(rawHeaders: readonly string[]): string[] {
  return copyEndToEnd(rawHeaders, RESERVED_REQUEST_HEADERS);
}

/**
 * Headers of a backend server's answer that are relayed to the caller.
 *
 * @example
 * answerHeaders(['ETag', '"1"', 'Keep-Alive', 'timeout=5']); // ['ETag', '"1"']
 */
export function answerHeaders(rawHeaders: readonly string[]): string[] {
  return copyEndToEnd(rawHeaders, RESERVED_ANSWER_HEADERS);
}
