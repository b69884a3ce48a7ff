import type { IncomingMessage } from 'node:http';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { BodyBuffer } from './BodyBuffer.js';
import { noteKeptBody } from './ConnectionGuard.js';

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
    const fail = (kind: ErrorKind, detail: string) => {
      message.removeAllListeners('data');
      message.destroy();
      reject(new EgretError(kind, detail));
    };
    message.on('data', (chunk: Buffer) => {
      buffer.append(chunk);
      noteKeptBody(message, chunk.length);
      if (buffer.length <= bodyBytesMax) return;
      fail(ErrorKind.BodyTooLarge, `The body is longer than ${bodyBytesMax} bytes.`);
    });
    // Starts the stream, so that it passes on the chunks that follow the head in the same read.
    message.read(0);
    message.once('end', () => resolve(buffer.take()));
    message.once('error', () => fail(ErrorKind.BadRequest, 'The connection closed mid-body.'));
    message.once('close', () => fail(ErrorKind.BadRequest, 'The connection closed mid-body.'));
  });
}
