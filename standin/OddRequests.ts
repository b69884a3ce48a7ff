/** Bytes that a client or a backend server may send, as latin1 text. */
export interface OddInput {
  readonly name: string;
  readonly bytes: string;
}

/** Options of {@link oddRequests}. */
export interface OddRequestOptions {
  /** Path that the port serves. */
  readonly path: string;
  readonly host?: string;
}

/** Bytes that readers of request targets, names, values and reason phrases treat differently. */
export const ODD_BYTES: readonly string[] = [
  ...['\x00', '\x01', '\t', '\x0b', '\x0c', '\r', '\x1b', '\x7f', '\x80', '\xff'],
  ...['\\', '"', '{', '|', '#', '%', '%zz', '%00', '%0d%0a', '%c3'],
];

/** Levels of nesting that exceed the stack of a recursive reader or writer. */
const DEPTH = 50_000;

const NESTED = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`;

const METHODS = [
  ...['HEAD', 'OPTIONS', 'TRACE', 'PATCH', 'DELETE', 'PROPFIND', 'M-SEARCH', 'PURGE', 'BREW'],
  ...['get', 'CONNECT', 'PRI', 'SOURCE', 'LINK', 'LOCK'],
];

const JSON_BODIES: Readonly<Record<string, string>> = {
  unfinished: '{',
  empty: '',
  null: 'null',
  'beyond a number': '1e999',
  list: '[[]]',
  'lone surrogate': '"\\ud800"',
  nested: NESTED,
  'nested in fields': `{"service":${NESTED},"info":${NESTED},"load":${NESTED},"member":${NESTED}}`,
  __proto__: '{"__proto__":{"service":"x"},"constructor":1}',
  'invalid UTF-8': '{"a":"\xff\xfe"}',
  'byte order mark': '\xef\xbb\xbf{}',
  'null fields': '{"info":null,"status":null,"member":null,"version":null,"report":null}',
};

/** Joins the lines of a head and appends the body; header lines are separated by `\n`. */
function message(startLine: string, headers: string, body = ''): string {
  const lines = headers === '' ? [] : headers.split('\n');
  return [startLine, ...lines, '', body].join('\r\n');
}

/**
 * Requests that are malformed, or well-formed in a rare way. A server may refuse or drop them; it
 * must go on.
 *
 * @example
 * oddRequests({ path: '/read/x' }).forEach(({ bytes }) => socket.write(bytes, 'latin1'));
 */
export function oddRequests({ path, host = 'a.example' }: OddRequestOptions): OddInput[] {
  const ids = `Host: ${host}\nX-Attempt-Id: odd-1\nX-Deadline-Ms: 2000`;
  const line = `GET ${path} HTTP/1.1`;
  const get = (headers: string, start = line) => message(start, `${ids}\n${headers}`);
  const target = (text: string, method = 'GET') => message(`${method} ${text} HTTP/1.1`, ids);
  const send = (method: string, body: string, headers = `Content-Length: ${body.length}`) =>
    message(`${method} ${path} HTTP/1.1`, `${ids}\n${headers}`, body);
  const post = (headers: string, body = '') => send('POST', body, headers);
  const upgrade = (headers: string) => get(`Connection: Upgrade\n${headers}`);
  const socketKey = 'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==';
  const inputs: Record<string, string> = {
    'target *': target('*', 'OPTIONS'),
    'target of a host': target('a.example:80', 'CONNECT'),
    'target //': target('//'),
    'target ///[': target('///['),
    'target of another host': target(`//b${path}`),
    'target in absolute form': target(`http://${host}${path}`),
    'target with an invalid port': target(`http://${host}:99999${path}`),
    'target with an invalid host': target(`http://[${path}`),
    'target with a user': target(`http://u:p@${host}${path}`),
    'target without a slash': target('x'),
    'target of a query': target('?x'),
    'target that is too long': target(path + 'x'.repeat(20_000)),
    'target of an object property': target('/__proto__'),
    'target below an object property': target(`${path}/constructor`),
    'no host in HTTP/1.0': message(`GET ${path} HTTP/1.0`, 'X-Attempt-Id: odd'),
    'no host': message(line, ''),
    'two hosts': get('Host: b'),
    'empty host': message(line, 'Host:'),
    'HTTP/0.9': `GET ${path}\r\n\r\n`,
    'HTTP/2.0': target(path).replace('HTTP/1.1', 'HTTP/2.0'),
    'preface of HTTP/2': 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    'TLS hello': '\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    'line ends': '\r\n\r\n\r\n\r\n',
    'zero bytes': '\0'.repeat(64),
    'bare line feeds': `${line}\nHost: ${host}\n\n`,
    'obsolete folding': get('X-Fold: a\r\n b'),
    'space before a colon': get('X-Space : a'),
    'expects to continue': post('Expect: 100-continue\nContent-Length: 3', 'abc'),
    'expects something else': get('Expect: 200-ok'),
    'expects twice': get('Expect: 100-continue\nExpect: x'),
    'upgrade to a WebSocket': upgrade(
      `Upgrade: websocket\nSec-WebSocket-Version: 13\n${socketKey}`,
    ),
    'upgrade, invalid key': upgrade('Upgrade: websocket\nSec-WebSocket-Version: 13'),
    'upgrade, invalid version': upgrade(
      `Upgrade: websocket\nSec-WebSocket-Version: 9\n${socketKey}`,
    ),
    'upgrade, invalid extensions': upgrade(
      `Upgrade: websocket\nSec-WebSocket-Version: 13\n${socketKey}\nSec-WebSocket-Extensions: ;;,=`,
    ),
    'upgrade to a WebSocket and garbage': `${upgrade(
      `Upgrade: websocket\nSec-WebSocket-Version: 13\n${socketKey}`,
    )}\xff\xff\xff\xff\xff\xff\xff\xff`,
    'upgrade to h2c': upgrade('Upgrade: h2c\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA'),
    'upgrade to nothing': upgrade('Upgrade:'),
    'upgrade with a body': post('Connection: Upgrade\nUpgrade: x\nContent-Length: 3', 'abc'),
    'trailer with a length': get('Trailer: X-Sum\nContent-Length: 0'),
    trailers: post('Trailer: X-Sum\nTransfer-Encoding: chunked', '0\r\nX-Sum: 1\r\n\r\n'),
    'te trailers': get('TE: trailers\nConnection: te'),
    'two lengths': get('Content-Length: 0\nContent-Length: 5'),
    'length and chunks': post('Content-Length: 3\nTransfer-Encoding: chunked', '0\r\n\r\n'),
    'negative length': get('Content-Length: -1'),
    'length beyond 64 bits': get('Content-Length: 99999999999999999999'),
    'length beyond 53 bits': post('Content-Length: 9007199254740993'),
    'length in hexadecimal': get('Content-Length: 0x10'),
    'length beyond the body': post('Content-Length: 100', 'abc'),
    'unknown transfer encoding': post('Transfer-Encoding: gzip'),
    'two transfer encodings': post('Transfer-Encoding: gzip, chunked', '0\r\n\r\n'),
    'malformed chunk': post('Transfer-Encoding: chunked', 'zz\r\nabc\r\n'),
    'chunk extension': post('Transfer-Encoding: chunked', '3;a="b\r\nabc\r\n0\r\n\r\n'),
    'huge chunk': post('Transfer-Encoding: chunked', 'fffffffffffffffff\r\n'),
    'connection names headers': get('Connection: host, x-attempt-id, content-length, close'),
    'connection names nothing': get('Connection: ,,;='),
    'huge keep-alive': get('Keep-Alive: timeout=99999999999999'),
    'deadline twice': get('X-Deadline-Ms: 5'),
    'no deadline': message(line, `Host: ${host}\nX-Attempt-Id: odd\nX-Deadline-Ms: 0`),
    'huge deadline': message(line, `Host: ${host}\nX-Deadline-Ms: 999999999999`),
    'long id': message(line, `Host: ${host}\nX-Attempt-Id: ${'a'.repeat(8_000)}`),
    'headers of the system': get('X-Expect-Instance: i\nEgret-Forwarded: a b c\nEgret-Peer: a b'),
    'answer headers': get('Egret-Peer-Answer: unsent\nEgret-Request-Id: \x80\nX-Not-Executed: 1'),
    'unreadable timeout': get('Egret-Timeout-Ms: abc\nEgret-Caller: \xff'),
    'unreadable key': post('Idempotency-Key: \xff\xfe\nContent-Length: 0'),
    'unreadable range': get('Range: bytes=-99999999999999999999,x\nIf-Range: "'),
    'unreadable version': send('PUT', '{}', 'If-Match: \xff\nContent-Length: 2'),
    'many headers': get(Array.from({ length: 1_900 }, (_, index) => `A${index}: 1`).join('\n')),
    'large head': get(`X-Large: ${'x'.repeat(40_000)}`),
    'names of object properties': get('__proto__: x\nconstructor: y\nhasOwnProperty: z'),
    'garbage behind a request': `${target(path)}\x00\x01\x02`,
    'malformed head behind a request': target(path) + get('A B: c'),
    'garbage behind requests': target(path).repeat(5) + 'x'.repeat(100),
  };
  METHODS.forEach((method) => {
    inputs[`method ${method}`] = target(path, method);
  });
  ODD_BYTES.forEach((byte) => {
    const shown = JSON.stringify(byte);
    inputs[`${shown} in the path`] = target(`${path}${byte}x`);
    inputs[`${shown} in the query`] = target(`${path}?a=${byte}&zone=${byte}`);
    inputs[`${shown} in a value`] = get(`X-Odd: a${byte}b`);
    inputs[`${shown} in a name`] = get(`X${byte}Odd: a`);
    inputs[`${shown} in the id`] = message(line, `Host: ${host}\nX-Attempt-Id: a${byte}b`);
    inputs[`${shown} in the host`] = message(line, `Host: a${byte}b`);
    inputs[`${shown} in the authorization`] = get(`Authorization: Bearer ${byte}`);
  });
  Object.entries(JSON_BODIES).forEach(([name, body]) => {
    ['PUT', 'POST', 'PATCH', 'DELETE'].forEach((method) => {
      inputs[`${method} of JSON: ${name}`] = send(method, body);
    });
  });
  return Object.entries(inputs).map(([name, bytes]) => ({ name, bytes }));
}
