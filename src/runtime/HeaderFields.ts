import { validateHeaderName, validateHeaderValue } from 'node:http';

/**
 * True if Node's writer accepts the names and values, which it checks by throwing. Its parser accepts
 * more, by its version: some pass a space in a name.
 *
 * @example
 * areValidHeaders(['X-Space ', 'a']); // false
 */
export function areValidHeaders(rawHeaders: readonly string[]): boolean {
  try {
    for (let index = 0; index < rawHeaders.length; index += 2) {
      validateHeaderName(rawHeaders[index]!);
      validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
    return true;
  } catch {
    return false;
  }
}
