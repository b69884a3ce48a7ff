import type { IncomingMessage } from 'node:http';
import { areValidHeaders } from './HeaderFields.js';

/** Head of an answer as Node's client reports it. */
export type AnswerHeadParts = Pick<
  IncomingMessage,
  'statusCode' | 'statusMessage' | 'headers' | 'rawHeaders'
>;

/** Final statuses (RFC 9110, section 15); Node's parser accepts any three digits. */
const STATUS_MIN = 200;
const STATUS_MAX = 599;

/** Characters of a reason phrase (RFC 9112, section 4); Node's parser accepts more. */
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/;

/**
 * What makes the head of an answer invalid, or impossible to pass on; undefined for a sound one.
 * Node's server throws when it is to write such a head.
 *
 * @example
 * headFault({ statusCode: 99, statusMessage: '', headers: {}, rawHeaders: [] }); // 'status 99'
 */
export function headFault(head: AnswerHeadParts): string | undefined {
  const { statusCode = 0, statusMessage = '', headers, rawHeaders } = head;
  if (statusCode < STATUS_MIN || statusCode > STATUS_MAX) return `status ${statusCode}`;
  if (!REASON_PHRASE.test(statusMessage)) return 'reason phrase';
  const coding = headers['transfer-encoding'];
  // No other coding was asked for (RFC 9110, section 10.1.4), and none is decoded here.
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return 'transfer coding';
  return areValidHeaders(rawHeaders) ? undefined : 'header';
}
