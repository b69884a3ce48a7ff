import type { IncomingMessage } from 'node:http';

/** Version in which only a length shows whether a body is complete. */
export const HTTP_WITHOUT_CHUNKS = '1.0';

/** Answer as Node's client reports it, and the method of its request. */
export interface AnswerBodyParts extends Pick<IncomingMessage, 'statusCode' | 'headers'> {
  readonly method: string;
}

/** Statuses of answers that never have a body (RFC 9110, sections 15.3.5 and 15.4.5). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** True for an answer that has no body, whatever length it states. */
export function hasNoBody({ method, statusCode = 0 }: AnswerBodyParts): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(statusCode);
}

/** True unless only the end of the connection marks the end of the body. */
export function isFramed(answer: AnswerBodyParts): boolean {
  const { headers } = answer;
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    hasNoBody(answer)
  );
}

/**
 * True if as many bytes were read as the answer states. The parser is ahead of the reader, so that it may
 * have seen the end of an answer whose last bytes were dropped.
 *
 * @example
 * hasWholeBody({ method: 'GET', statusCode: 200, headers: { 'content-length': '9' } }, 4); // false
 */
export function hasWholeBody(answer: AnswerBodyParts, bodyBytes: number): boolean {
  const declared = answer.headers['content-length'];
  return declared === undefined || hasNoBody(answer) || Number(declared) === bodyBytes;
}
