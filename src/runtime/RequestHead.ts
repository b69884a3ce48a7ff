import type { IncomingMessage } from 'node:http';
import { areValidHeaders } from './HeaderFields.js';

/** Head of a request as Node's server reports it. */
export type RequestHeadParts = Pick<IncomingMessage, 'url' | 'rawHeaders'>;

/** Characters of a request target that Node's client sends on. */
const TARGET = /^[\x21-\xff]*$/;

/**
 * What makes the head of a request invalid, or impossible to pass on; undefined for a sound one. Node's
 * client throws when it is to send such a head, and a backend server may take a name like
 * `Transfer-Encoding ` for the header that this host did not apply (RFC 9112, section 5.1).
 *
 * @example
 * requestHeadFault({ url: '/a\tb', rawHeaders: [] }); // 'target'
 */
export function requestHeadFault({ url = '', rawHeaders }: RequestHeadParts): string | undefined {
  if (!TARGET.test(url)) return 'target';
  return areValidHeaders(rawHeaders) ? undefined : 'header';
}
