import type { IncomingMessage } from 'node:http';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { BodyBuffer } from './BodyBuffer.js';
import { noteKeptBytes } from './ConnectionGuard.js';

/**
 * Reads the body of a request or an answer, of at most `bodyBytesMax` bytes.
 *
 * @example
 * const body = await readBody(request, 256 * 1024);
 * @throws EgretError of kind body-too-large or bad-request
 */
export function readBody(message: IncomingMessage, bodyBytesMax: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const buffer = new BodyBuffer();
    const fail = (kind: ErrorKind, detail: string) => reject(new EgretError(kind, detail));
    const onData = (chunk: Buffer) => {
      buffer.append(chunk);
      noteKeptBytes(message, chunk.length);
      if (buffer.length <= bodyBytesMax) return;
      message.off('data', onData);
      // The rest is discarded, so that the answer reaches a client that is still sending.
      message.resume();
      fail(ErrorKind.BodyTooLarge, `The body is longer than ${bodyBytesMax} bytes.`);
    };
    message.on('data', onData);
    // Starts the stream, so that it passes on the chunks that follow the head in the same read.
    message.read(0);
    // Node keeps a connection whose client has closed its side open for the answer, which waits for this.
    const onHalfClosed = () => {
      if (!message.complete) fail(ErrorKind.BadRequest, 'The body is incomplete.');
    };
    message.socket.once('end', onHalfClosed);
    const stopWaiting = () => message.socket.off('end', onHalfClosed);
    message.once('end', stopWaiting);
    message.once('close', stopWaiting);
    message.once('end', () => resolve(buffer.take()));
    message.once('error', () => fail(ErrorKind.BadRequest, 'The connection closed mid-body.'));
    message.once('close', () => fail(ErrorKind.BadRequest, 'The connection closed mid-body.'));
  });
}
