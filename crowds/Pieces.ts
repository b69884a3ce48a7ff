/** Head of a request to one of the routes of the tests. */
export interface HeadOptions {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | number>>;
}

/** Host of all routes of the tests. */
export const CROWD_HOST = 'depot.example';

let requests = 0;

/** Returns a request head with an id of its own. */
export function requestHead({ method = 'GET', path, headers = {} }: HeadOptions): Buffer {
  requests += 1;
  const fields = {
    Host: CROWD_HOST,
    'X-Attempt-Id': `crowd-${requests}`,
    'X-Deadline-Ms': 30_000,
    ...headers,
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`);
}

const CHUNKED = { 'Transfer-Encoding': 'chunked', 'Content-Type': 'application/json' };

/** Number of one-byte chunks that are written at once. */
const CHUNKS_PER_PIECE = 5_000;

const TINY_CHUNK = '1\r\nx\r\n';

const TINY_CHUNKS = Buffer.from(TINY_CHUNK.repeat(CHUNKS_PER_PIECE));

/** Returns `count` chunks of one byte each, in larger pieces. */
export function* tinyChunks(count: number): Generator<Buffer, void, undefined> {
  for (let left = count; left > 0; left -= CHUNKS_PER_PIECE) {
    yield left >= CHUNKS_PER_PIECE
      ? TINY_CHUNKS
      : TINY_CHUNKS.subarray(0, left * TINY_CHUNK.length);
  }
}

const CHUNK_BYTES = 64 * 1024;

const LARGE_CHUNK = Buffer.concat([
  Buffer.from(`${CHUNK_BYTES.toString(16)}\r\n`),
  Buffer.alloc(CHUNK_BYTES, 'x'),
  Buffer.from('\r\n'),
]);

/** Returns chunks of 64 KB with at least `bytes` bytes together. */
export function* largeChunks(bytes: number): Generator<Buffer, void, undefined> {
  for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) yield LARGE_CHUNK;
}

/** End of a body in chunks. */
export const LAST_CHUNK = Buffer.from('0\r\n\r\n');

/** Returns a request whose body in chunks has no end. */
export function* unendedBody(
  head: HeadOptions,
  chunks: Generator<Buffer, void, undefined>,
): Generator<Buffer, void, undefined> {
  yield requestHead({ method: 'POST', ...head, headers: { ...CHUNKED, ...head.headers } });
  yield* chunks;
}

/** Returns a request with a whole body in chunks. */
export function* endedBody(
  head: HeadOptions,
  chunks: Generator<Buffer, void, undefined>,
): Generator<Buffer, void, undefined> {
  yield* unendedBody(head, chunks);
  yield LAST_CHUNK;
}

const HEADER_VALUE = 'h'.repeat(1_000);

/** Returns a request head of about `bytes` bytes without an end. */
export function* unendedHead(path: string, bytes: number): Generator<Buffer, void, undefined> {
  yield Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${CROWD_HOST}\r\n`);
  const fields = Math.floor(bytes / (HEADER_VALUE.length + 10));
  const lines = Array.from(
    { length: fields },
    (unused, index) => `x-${index}: ${HEADER_VALUE}\r\n`,
  );
  yield Buffer.from(lines.join(''));
}

/** Returns `count` whole requests, each with a body of `bodyBytes` bytes. */
export function* requestsAhead(
  count: number,
  path: string,
  bodyBytes: number,
): Generator<Buffer, void, undefined> {
  const body = Buffer.alloc(bodyBytes, 'x');
  for (let index = 0; index < count; index += 1) {
    yield requestHead({
      method: bodyBytes > 0 ? 'POST' : 'GET',
      path,
      headers: bodyBytes > 0 ? { 'Content-Length': bodyBytes } : {},
    });
    if (bodyBytes > 0) yield body;
  }
}

/** Returns a list of `count` items. */
export function repeat<T>(count: number, create: (index: number) => T): T[] {
  return Array.from({ length: count }, (unused, index) => create(index));
}
