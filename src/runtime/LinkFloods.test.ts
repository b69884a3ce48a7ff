import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { WebSocket, WebSocketServer } from 'ws';
import { waitUntil } from '../../standin/Cluster.js';
import { MAX_MESSAGE_BYTES } from '../common/Constants.js';
import { closeServer, listen } from './HttpJson.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { MessageClient } from './MessageClient.js';
import { MessageServer } from './MessageServer.js';

const ADDRESS = '127.0.0.1';

/** Bytes of replies that a process may hold for an end that does not read them. */
const HELD_BYTES_MAX = 16 * 1024 * 1024;

/** Pings of one flood; with a payload of 125 bytes each, their replies exceed what may be held. */
const PINGS = 400_000;
const PING_BATCH = 2_000;
/** Below the size that a link accepts of an authenticated end. */
const MESSAGE_BYTES = MAX_MESSAGE_BYTES - 1_000;

/** A few reads of a socket beyond the size of the messages of a handshake. */
const UNAUTHENTICATED_BYTES_MAX = 512 * 1024;

/** Below the time after which an end that does not authenticate is closed. */
const CLOSED_WITHIN_MS = 2_500;

const PAYLOAD = Buffer.alloc(125);

/** Sends pings and reads none of the replies. */
async function flood(socket: WebSocket, connection: Socket): Promise<void> {
  connection.pause();
  for (let sent = 0; sent < PINGS; sent += PING_BATCH) {
    if (socket.readyState !== socket.OPEN) return;
    for (let index = 0; index < PING_BATCH; index += 1) socket.ping(PAYLOAD, undefined, () => {});
    // Batches are sent one after the other, as fast as the other end reads them.
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      socket.ping(PAYLOAD, undefined, resolve);
    });
  }
}

describe('a link at whose other end bytes come without end', () => {
  const closers: (() => unknown)[] = [];
  /** Connections of the process under test. */
  let held: Socket[] = [];
  const heldBytes = () => Math.max(0, ...held.map((socket) => socket.writableLength));

  afterEach(async () => {
    held = [];
    await Promise.all(closers.splice(0).map((close) => close()));
  });

  /** Starts a server; returns its port. */
  async function startServer(): Promise<number> {
    const http: Server = createServer();
    const server = new MessageServer({
      secret: 'secret',
      logger: silentLogger,
      fields: {},
      onOpen: () => {},
      onMessage: () => {},
      onClose: () => {},
    });
    server.attach(http);
    http.on('upgrade', (request, socket) => held.push(socket as Socket));
    const port = await listen(http, ADDRESS, 0);
    closers.push(
      () => server.dispose(),
      () => closeServer(http),
    );
    return port;
  }

  async function expectBounded(flooding: Promise<void>): Promise<void> {
    let peakBytes = 0;
    const timer = setInterval(() => {
      peakBytes = Math.max(peakBytes, heldBytes());
    }, 5);
    await flooding;
    clearInterval(timer);
    expect(Math.max(peakBytes, heldBytes())).toBeLessThan(HELD_BYTES_MAX);
  }

  // Guards against a host that keeps replies without limit for an end that has not authenticated.
  it('does not fill the memory of the server by pings', async () => {
    const port = await startServer();
    const socket = new WebSocket(`ws://${ADDRESS}:${port}/`);
    closers.push(() => socket.terminate());
    socket.on('error', () => {});
    let connection: Socket | undefined;
    socket.once('upgrade', (response) => {
      connection = response.socket;
    });
    await waitUntil(() => socket.readyState === socket.OPEN, 'an open socket');
    await expectBounded(flood(socket, connection!));
  });

  // Guards against a process whose memory a program fills that took over the address of a host.
  it('does not fill the memory of the client by pings', async () => {
    const http = createServer();
    const sockets = new WebSocketServer({ noServer: true });
    const opened = new Promise<[WebSocket, Socket]>((resolve) => {
      http.on('upgrade', (request, socket, head) =>
        sockets.handleUpgrade(request, socket, head, (webSocket) => {
          webSocket.on('error', () => {});
          resolve([webSocket, socket as Socket]);
        }),
      );
    });
    await listen(http, ADDRESS, 0);
    closers.push(() => closeServer(http));
    const client = new MessageClient({
      address: ADDRESS,
      port: (http.address() as AddressInfo).port,
      id: 'client-1',
      role: LinkRole.Control,
      secret: 'secret',
      logger: silentLogger,
      fields: {},
      onOpen: () => {},
      onMessage: () => {},
      onClose: () => {},
    });
    closers.push(() => client.dispose());
    const [socket, connection] = await opened;
    closers.push(() => socket.terminate());
    const receiver = client as unknown as { connection: Socket | undefined };
    await waitUntil(() => receiver.connection !== undefined, 'the connection');
    held.push(receiver.connection!);
    await expectBounded(flood(socket, connection));
  });

  // Guards against a host that holds a message of full size for each end that never authenticates.
  it('keeps no long message of an end that has not authenticated', async () => {
    const port = await startServer();
    const sockets = Array.from({ length: 8 }, () => {
      const socket = new WebSocket(`ws://${ADDRESS}:${port}/`);
      socket.on('error', () => {});
      socket.once('open', () => socket.send(Buffer.alloc(MESSAGE_BYTES), () => {}));
      closers.push(() => socket.terminate());
      return socket;
    });
    const areClosed = () => sockets.every((socket) => socket.readyState === socket.CLOSED);
    await waitUntil(areClosed, 'the end of all links', CLOSED_WITHIN_MS);
    const readBytes = held.map((socket) => socket.bytesRead);
    expect(Math.max(...readBytes)).toBeLessThan(UNAUTHENTICATED_BYTES_MAX);
  });
});
