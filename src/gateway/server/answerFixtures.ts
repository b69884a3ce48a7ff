import type { Socket } from 'node:net';

/** Answer on a connection, read by its own framing. */
export interface ReadAnswer {
  readonly status: number;
  readonly head: string;
  /** The part of the body that has arrived. */
  readonly body: string;
  /** True if the framing shows that the body is whole. */
  readonly complete: boolean;
}

const HEAD_END = '\r\n\r\n';

const SIZE_END = '\r\n';

/** Body in chunks at the start of a text, and the number of characters that it takes. */
function readChunks(text: string): { body: string; complete: boolean; length: number } {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf(SIZE_END, at);
    const size = lineEnd < 0 ? NaN : parseInt(text.slice(at, lineEnd), 16);
    if (Number.isNaN(size)) return { body, complete: false, length: text.length };
    const start = lineEnd + SIZE_END.length;
    body += text.slice(start, start + size);
    at = start + size + SIZE_END.length;
    if (at > text.length) return { body, complete: false, length: text.length };
    if (size === 0) return { body, complete: true, length: at };
  }
}

/**
 * Reads the answers that a client received on one connection, one after the other, by their lengths
 * and chunks; an answer without either is never complete.
 *
 * @example
 * readAnswers('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'); // one complete answer
 */
export function readAnswers(received: string): ReadAnswer[] {
  const answers: ReadAnswer[] = [];
  let text = received;
  while (text !== '') {
    const headEnd = text.indexOf(HEAD_END);
    const head = headEnd < 0 ? text : text.slice(0, headEnd);
    const rest = headEnd < 0 ? '' : text.slice(headEnd + HEAD_END.length);
    const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1] ?? 0);
    const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
    let part = { body: rest, complete: false, length: rest.length };
    if (/\r\ntransfer-encoding: chunked/i.test(head)) part = readChunks(rest);
    else if (length !== undefined) {
      const body = rest.slice(0, Number(length));
      part = { body, complete: body.length === Number(length), length: body.length };
    }
    const { body, complete } = part;
    answers.push({ status, head, body, complete: complete && headEnd >= 0 });
    text = rest.slice(part.length);
  }
  return answers;
}

/** Collects all that a client receives. */
export function collectAnswers(socket: Socket): () => ReadAnswer[] {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  return () => readAnswers(Buffer.concat(chunks).toString('latin1'));
}
