import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { isFramed } from './AnswerBody.js';

/** Empty line, which a server ignores in front of a request (RFC 9112, section 2.2). */
const EMPTY_LINE = '\r\n';

/**
 * Detects that the server reset the connection of a request right behind its last bytes. Node.js
 * reports such an end like an orderly one, without an error, if both arrive together: an answer
 * without a length then looks whole. A write shows the difference, before the answer's end event: it
 * fails on a connection that was reset, and has no effect on one that the server has closed.
 *
 * An answer whose end can't be checked counts as reset: a write behind a request that is not sent
 * completely, or on a connection that this host has closed, shows nothing in time. This includes the
 * answer of a server that has closed its side in order before it read the request.
 *
 * @example
 * watchReset(request, () => { broken = true; });
 */
export function watchReset(request: ClientRequest, onReset: () => void): void {
  let answer: IncomingMessage | undefined;
  request.once('response', (response) => {
    answer = response;
  });
  request.once('socket', (socket: Socket) => {
    const onEnd = () => {
      if (!answer) return;
      const { statusCode, headers } = answer;
      if (isFramed({ method: request.method, statusCode, headers })) return;
      // The server would take a write for the rest of a body that has not ended. Behind unsent bytes it
      // waits, and what fails is their write, after the end of the answer.
      const isSent = request.writableEnded && socket.writableLength === 0;
      if (!isSent || !socket.writable) {
        onReset();
        return;
      }
      socket.write(EMPTY_LINE, (error) => {
        if (error) onReset();
      });
    };
    // The parser ends the answer in its own listener, which was added earlier.
    socket.prependListener('end', onEnd);
    request.once('close', () => socket.off('end', onEnd));
  });
}
