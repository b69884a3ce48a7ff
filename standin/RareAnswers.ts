import type { Socket } from 'node:net';

/** Answer of a backend server in a rare form, and what its caller may get. */
export interface RareAnswer {
  readonly bytes: string;
  /** Ends the connection right behind the bytes; it stays open by default. */
  readonly end?: (socket: Socket) => void;
  /** Method of the request; `GET` by default. */
  readonly method?: string;
  /** Status of the answer; undefined for a broken one, which is no answer. */
  readonly status?: number;
  /** Body of the answer; empty by default. */
  readonly text?: string;
}

const WHOLE = 'whole';

const endInOrder = (socket: Socket) => socket.end();
const reset = (socket: Socket) => socket.resetAndDestroy();

/**
 * Answers whose heads or ends are rare, sound or broken. The field `x-odd` is in informational heads and
 * trailers only, so that no caller may get it.
 *
 * @param identity - header lines that identify an answer
 * @example
 * rareAnswers(['Call-Id: c-1'])['a trailer']; // { bytes, status: 200, text: 'whole' }
 */
export function rareAnswers(identity: readonly string[]): Readonly<Record<string, RareAnswer>> {
  const head = (status: string, ...headers: string[]) =>
    [`HTTP/1.1 ${status}`, ...identity, ...headers, '', ''].join('\r\n');
  const answer = (text: string) => `${head('200 OK', `Content-Length: ${text.length}`)}${text}`;
  const chunked = (trailer: string) =>
    `${head('200 OK', 'Transfer-Encoding: chunked')}5\r\n${WHOLE}\r\n0\r\n${trailer}\r\n`;
  const unframed = (text: string) => head('200 OK').replace('HTTP/1.1', 'HTTP/1.0') + text;
  const whole = answer(WHOLE);
  const foreign = answer('foreign');
  return {
    'an informational head before it': {
      bytes: `HTTP/1.1 103 Early Hints\r\nX-Odd: a\r\n\r\n${whole}`,
      status: 200,
      text: WHOLE,
    },
    'an informational head with a blank in a name': {
      bytes: `HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n${whole}`,
    },
    'a head with status 099 before it': { bytes: `HTTP/1.1 099 Odd\r\n\r\n${whole}` },
    'a trailer': { bytes: chunked('X-Odd: a\r\n'), status: 200, text: WHOLE },
    'a trailer with a blank in its name': { bytes: chunked('X Odd: a\r\n') },
    'a trailer with a control byte in its name': { bytes: chunked('X\x01Odd: a\r\n') },
    'status 204, and bytes': { bytes: head('204 No Content') + foreign, status: 204 },
    'status 304, and bytes': { bytes: head('304 Not Modified') + foreign, status: 304 },
    'a body, to HEAD': { bytes: whole, method: 'HEAD', status: 200 },
    'a second answer behind it': { bytes: whole + foreign, status: 200, text: WHOLE },
    'HTTP/1.0 without a length': {
      bytes: unframed(WHOLE),
      end: endInOrder,
      status: 200,
      text: WHOLE,
    },
    'HTTP/1.0 without a length, and a reset': { bytes: unframed('whol'), end: reset },
  };
}
