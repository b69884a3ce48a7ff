import { request as createRequest } from 'node:http';
import { Duplex } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { requestHeadFault, type RequestHeadParts } from './RequestHead.js';

function createHead(changes: Partial<RequestHeadParts> = {}): RequestHeadParts {
  return { url: '/a', rawHeaders: ['Host', 'a', 'A', 'b'], ...changes };
}

/** Connection that takes everything and answers nothing. */
function createSink(): Duplex {
  return new Duplex({ read() {}, write: (chunk, encoding, done) => done() });
}

/** True if Node's client sends the head without throwing. */
function canBeSent({ url, rawHeaders }: RequestHeadParts): boolean {
  try {
    const headers = [...rawHeaders] as unknown as Record<string, string>;
    const request = createRequest({ path: url, headers, createConnection: createSink });
    request.on('error', () => {});
    request.destroy();
    return true;
  } catch {
    return false;
  }
}

describe('requestHeadFault', () => {
  // Guards against a request that passes the check and can't be sent to a backend server.
  it('passes no character at which sending the head fails', () => {
    const texts = Array.from({ length: 300 }, (unused, code) => String.fromCharCode(code));
    const heads = texts.flatMap((text) => [
      createHead({ url: `/a${text}b` }),
      createHead({ rawHeaders: ['Host', 'a', 'A', `b${text}c`] }),
      createHead({ rawHeaders: ['Host', 'a', `A${text}B`, 'c'] }),
      createHead({ rawHeaders: ['Host', 'a', `A${text}`, 'c'] }),
    ]);
    expect(heads.filter((head) => !requestHeadFault(head) && !canBeSent(head))).toEqual([]);
  });

  // Guards against a body that a backend server delimits otherwise than this host.
  it.each(['Transfer-Encoding ', 'Content-Length\t', 'A B', ''])(
    'refuses the name "%s", which some versions of the parser pass',
    (name) => {
      expect(requestHeadFault(createHead({ rawHeaders: [name, '3'] }))).toBe('header');
    },
  );

  it('passes sound heads, also with bytes beyond ASCII', () => {
    const rawHeaders = ['Host', 'a', 'X-Text', 'a\xe9\tb'];
    expect(requestHeadFault({ url: '/a%20b?c=\xff', rawHeaders })).toBeUndefined();
  });
});
