import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { PipelinedConnection } from './Pipeline.js';

const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nok';

describe('PipelinedConnection', () => {
  let server: Server | undefined;
  let connection: PipelinedConnection | undefined;

  /** Sends two requests to a server that replies once it has received something. */
  async function sendTwo(reply: (socket: Socket) => void) {
    server = createServer((socket) => socket.once('data', () => reply(socket))).listen(0);
    await once(server, 'listening');
    connection = new PipelinedConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const answers = await connection.sendAll(['first', 'second'], 5_000);
    return answers.map(({ status, body }) => `${status} ${body}`);
  }

  afterEach(() => {
    connection?.close();
    server?.close();
  });

  it('takes an answer without a length as whole at the end of the connection', async () => {
    expect(await sendTwo((socket) => socket.end(FRAMED + UNFRAMED))).toEqual(['200 ok', '200 ok']);
  });

  it('takes neither a cut answer nor one that is reset as whole', async () => {
    expect(await sendTwo((socket) => socket.end(FRAMED + FRAMED.slice(0, -1)))).toEqual([
      '200 ok',
      '0 ',
    ]);
    const reset = await sendTwo((socket) => {
      socket.write(FRAMED + UNFRAMED);
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    expect(reset).toEqual(['200 ok', '0 ']);
  });

  // Guards against a request counted as read although its connection was refused.
  it('is not kept before it is open, and is from then on', async () => {
    const refused = new PipelinedConnection('127.0.0.1:1');
    const [unread] = await refused.sendAll(['first'], 5_000);
    expect(unread).toMatchObject({ status: 0, kept: false });
    server = createServer((socket) => socket.once('data', () => socket.destroy()));
    await once(server.listen(0, '127.0.0.1'), 'listening');
    connection = new PipelinedConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const [read] = await connection.sendAll(['first'], 5_000);
    expect(read).toMatchObject({ status: 0, kept: true });
  });
});
