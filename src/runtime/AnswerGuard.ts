import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Bytes that may arrive without a new part of the answer's head or body. */
const UNUSED_BYTES_MAX = 1024 * 1024;

/**
 * Closes the connection of a request on which the server sends more than one answer: bytes behind
 * the answer, or bytes without end that are no part of it, such as informational heads.
 *
 * @example
 * const guard = new AnswerGuard(request);
 * response.on('data', () => guard.noteProgress());
 */
export class AnswerGuard {
  private unusedBytes = 0;

  private answer: IncomingMessage | undefined;

  /** True once the end of the answer was received. */
  private complete = false;

  constructor(private readonly request: ClientRequest) {
    request.once('response', (answer) => {
      this.answer = answer;
      this.noteProgress();
    });
    request.once('socket', (socket) => this.watch(socket));
  }

  /** Records that a part of the body was received. */
  noteProgress(): void {
    this.unusedBytes = 0;
  }

  private watch(socket: Socket): void {
    // The parser's listener was added before this one, so it has handled the bytes already.
    const onData = (chunk: Buffer) => this.onData(socket, chunk);
    socket.on('data', onData);
    this.request.once('close', () => socket.off('data', onData));
  }

  private onData(socket: Socket, chunk: Buffer): void {
    if (this.complete) {
      socket.destroy();
      return;
    }
    this.complete = this.answer?.complete === true;
    this.unusedBytes += chunk.length;
    if (!this.complete && this.unusedBytes > UNUSED_BYTES_MAX) {
      this.request.destroy(new Error('answer without end'));
    }
  }
}
