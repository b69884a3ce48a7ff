import { connect, type Socket } from 'node:net';
import { GIVEN_UP, type HttpAnswer } from './Http.js';

const HEAD_END = '\r\n\r\n';

/**
 * Complete answer at the start of a text, and the text behind it; undefined without one. An answer
 * without a length is complete once the connection has ended without an error.
 */
export function takeAnswer(
  text: string,
  hasEnded = false,
): { answer: HttpAnswer; rest: string } | undefined {
  const headLength = text.indexOf(HEAD_END);
  if (headLength < 0) return undefined;
  const [statusLine = '', ...lines] = text.slice(0, headLength).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const [name = '', ...value] = line.split(':');
      return [name.toLowerCase(), value.join(':').trim()];
    }),
  );
  const start = headLength + HEAD_END.length;
  const unframedLength = hasEnded ? text.length - start : Number.POSITIVE_INFINITY;
  const end = start + Number(headers['content-length'] ?? unframedLength);
  if (text.length < end) return undefined;
  const status = Number(statusLine.split(' ')[1]);
  const answer = { status, headers, body: text.slice(start, end), kept: true };
  return { answer, rest: text.slice(end) };
}

/** Client that sends several requests on one connection before the first one is answered. */
export class PipelinedConnection {
  private readonly socket: Socket;

  private received = '';

  private error: string | undefined;

  /** True once the connection is open; until then no process can have read a request on it. */
  private isConnected = false;

  constructor(address: string) {
    const [host, port] = address.split(':');
    this.socket = connect({ host, port: Number(port) });
    this.socket.once('connect', () => {
      this.isConnected = true;
    });
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.error = error.code;
    });
  }

  get isOpen(): boolean {
    return !this.socket.destroyed && !this.socket.readableEnded;
  }

  /** Sends the texts of requests at once; resolves with an answer, or the lack of one, for each. */
  sendAll(requests: readonly string[], timeoutMs: number): Promise<HttpAnswer[]> {
    const answers: HttpAnswer[] = [];
    return new Promise((resolve) => {
      const finish = (error: string) => {
        const missing = { status: 0, headers: {}, body: '', error, kept: this.isConnected };
        resolve(requests.map((request, index) => answers[index] ?? missing));
      };
      const timer = setTimeout(() => {
        this.socket.destroy();
        finish(GIVEN_UP);
      }, timeoutMs);
      const onClose = () => {
        clearTimeout(timer);
        const last = this.error === undefined ? takeAnswer(this.received, true) : undefined;
        if (last) answers.push(last.answer);
        finish(this.error ?? 'connection closed');
      };
      const onData = (chunk: Buffer) => {
        this.received += chunk.toString('latin1');
        for (let taken = takeAnswer(this.received); taken; taken = takeAnswer(this.received)) {
          answers.push(taken.answer);
          this.received = taken.rest;
        }
        if (answers.length < requests.length) return;
        clearTimeout(timer);
        this.socket.off('data', onData);
        this.socket.off('close', onClose);
        finish('');
      };
      this.socket.on('data', onData);
      this.socket.once('close', onClose);
      if (this.socket.destroyed) onClose();
      else this.socket.write(requests.join(''));
    });
  }

  close(): void {
    this.socket.destroy();
  }
}
