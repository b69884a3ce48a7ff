import { ODD_BYTES, type OddInput } from './OddRequests.js';

/** Status codes that a parser may accept, with their reason phrases. */
const STATUSES = [
  ...['000 x', '001 x', '099 x', '100 x', '101 x', '102 x', '103 x', '199 x', '204 x', '205 x'],
  ...['206 x', '304 x', '306 x', '407 x', '417 x', '426 x', '599 x', '600 x', '999 x', '1000 x'],
  ...['20 x', '2x0 x', '200', '200 ', ' 200 OK'],
];

/** Options of {@link oddAnswers}. */
export interface OddAnswerOptions {
  /** Header lines that identify the answer, separated by `\n`; none by default. */
  readonly identity?: string;
  /** Number of bytes of the body; the first are `ok`. */
  readonly bodyBytes?: number;
}

/**
 * Answers of a backend server that are malformed, or well-formed in a rare way. What they cost is
 * their own call.
 *
 * @example
 * oddAnswers({ identity: 'X-Attempt-Id: c-1' }).map(({ bytes }) => bytes);
 */
export function oddAnswers({ identity = '', bodyBytes = 2 }: OddAnswerOptions = {}): OddInput[] {
  const body = 'ok'.padEnd(bodyBytes, 'x');
  const head = (status: string, headers: string) => {
    const lines = [identity, headers].filter((text) => text !== '').flatMap((t) => t.split('\n'));
    return [`HTTP/1.1 ${status}`, ...lines, '', ''].join('\r\n');
  };
  const length = `Content-Length: ${bodyBytes}`;
  const answer = (headers = '', status = '200 OK') =>
    head(status, headers === '' ? length : `${length}\n${headers}`) + body;
  const unframed = (headers: string, text = body) => head('200 OK', headers) + text;
  const chunks = `${bodyBytes.toString(16)}\r\n${body}\r\n0\r\n`;
  const inputs: Record<string, string> = {
    'reason in UTF-8': answer('', '200 \xc3\xa9\xe2\x82\xac'),
    'long reason': answer('', `200 ${'x'.repeat(10_000)}`),
    'trailer with a length': answer('Trailer: X-Sum'),
    'trailer without a length': unframed('Trailer: X-Sum\nConnection: close'),
    trailers: unframed('Trailer: X-Sum\nTransfer-Encoding: chunked', `${chunks}X-Sum: 1\r\n\r\n`),
    upgrade: head('101 Switching Protocols', 'Connection: Upgrade\nUpgrade: x'),
    'upgrade that nobody requested': answer('Connection: Upgrade\nUpgrade: h2c'),
    'upgrade required': answer('Connection: Upgrade\nUpgrade: x', '426 Upgrade Required'),
    'informational answers': `HTTP/1.1 103 x\r\n\r\nHTTP/1.1 100 x\r\n\r\n${answer()}`,
    'two lengths': answer('Content-Length: 3'),
    'two equal lengths': answer(length),
    'length and chunks': unframed(`${length}\nTransfer-Encoding: chunked`, `${chunks}\r\n`),
    'negative length': unframed('Content-Length: -1'),
    'length beyond 64 bits': unframed('Content-Length: 99999999999999999999'),
    'length with a sign': unframed(`Content-Length: +${bodyBytes}`),
    'unknown transfer encoding': unframed('Transfer-Encoding: gzip'),
    'malformed chunk': unframed('Transfer-Encoding: chunked', 'zz\r\n'),
    'two cookies': answer('Set-Cookie: a=b\nSet-Cookie: c=d'),
    'connection names headers': answer('Connection: x-attempt-id, content-length, date'),
    'connection names nothing': answer('Connection: ,;='),
    'huge keep-alive': answer('Connection: keep-alive\nKeep-Alive: timeout=99999999999999999999'),
    'negative keep-alive': answer('Connection: keep-alive\nKeep-Alive: timeout=-1'),
    'two dates': answer('Date: x\nDate: y'),
    'refusal with a huge delay': answer(
      'X-Not-Executed: 1\nEgret-Outcome: not-run\nRetry-After: 999999999999999',
      '503 x',
    ),
    'refusal with an unreadable delay': answer(
      'X-Not-Executed: 1\nEgret-Outcome: not-run\nRetry-After: 1e999',
      '503 x',
    ),
    'limit of zero': answer('Server-Limit: 0\nServer-Leaving: 1'),
    'huge limit': answer('Server-Limit: 999999999999999.999999999999999'),
    'unreadable load': answer('X-Server-Load: ,,,'),
    'huge load': answer('X-Server-Load: 1e308,1e308,0,1e-308'),
    'huge cold time': answer('X-Cold-Ms: 999999999999'),
    'unreadable range': answer('Content-Range: bytes 99999999999999999999-1/x', '206 x'),
    'names of object properties': answer('__proto__: x\nconstructor: y\nhasOwnProperty: z'),
    'headers between hosts': answer('Egret-Peer-Answer: unsent\nEgret-Pool: a,b,c'),
    'many headers': answer(Array.from({ length: 1_800 }, (_, n) => `A${n}: 1`).join('\n')),
    'large head': answer(`X-Large: ${'x'.repeat(80_000)}`),
    'bare line feeds': `HTTP/1.1 200 OK\n${length}\n\n${body}`,
    'obsolete folding': answer('X-Fold: a\r\n b'),
    'space before a colon': answer('X-Space : a'),
    'space in a name': answer('A B: c'),
    'HTTP/1.0': answer().replace('HTTP/1.1', 'HTTP/1.0'),
    'HTTP/9.9': answer().replace('HTTP/1.1', 'HTTP/9.9'),
    'no head': '<html>ok</html>',
    'two answers': answer().repeat(2),
    'body of an answer without one': answer('', '304 Not Modified'),
    'zero bytes': '\0'.repeat(64),
    'a request': 'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
    'content encoding': answer('Content-Encoding: gzip'),
  };
  STATUSES.forEach((status) => {
    inputs[`status ${JSON.stringify(status)}`] = answer('', status);
  });
  ODD_BYTES.forEach((byte) => {
    const shown = JSON.stringify(byte);
    inputs[`${shown} in the reason`] = answer('', `200 a${byte}b`);
    inputs[`${shown} in a value`] = answer(`X-Odd: a${byte}b`);
    inputs[`${shown} in a name`] = answer(`X${byte}Odd: a`);
    inputs[`${shown} in the load`] = answer(`X-Server-Load: 1,${byte},3`);
    inputs[`${shown} in the entity tag`] = answer(`ETag: "${byte}"`);
  });
  return Object.entries(inputs).map(([name, bytes]) => ({ name, bytes }));
}
