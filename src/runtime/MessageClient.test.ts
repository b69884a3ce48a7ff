import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net';
import { expect, it } from 'vitest';
import { FieldType, type MessageFields } from './MessageCheck.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { FAST_LINK_TIMING, MessageClient } from './MessageClient.js';
import { MessageServer } from './MessageServer.js';

const SECRET = 'secret';
const FIELDS: MessageFields = { document: { text: FieldType.String } };
const RELAY_INTERVAL_MS = 20;

/** Relay that limits the rate from the server to the client. */
async function startSlowRelay(port: number, bytesPerS: number) {
  const sockets: Socket[] = [];
  const relay = createTcpServer((client) => {
    const server = connect(port, '127.0.0.1');
    sockets.push(client, server);
    client.pipe(server);
    const share = Math.round((bytesPerS * RELAY_INTERVAL_MS) / 1_000);
    const timer = setInterval(() => {
      const bytes = server.read(Math.min(share, server.readableLength)) as Buffer | null;
      if (bytes) client.write(bytes);
    }, RELAY_INTERVAL_MS);
    server.on('readable', () => {});
    [client, server].forEach((socket) => {
      socket.on('error', () => {});
      socket.once('close', () => {
        clearInterval(timer);
        client.destroy();
        server.destroy();
      });
    });
  });
  relay.listen(0, '127.0.0.1');
  await once(relay, 'listening');
  const close = () => {
    sockets.forEach((socket) => socket.destroy());
    relay.close();
  };
  return { port: (relay.address() as AddressInfo).port, close };
}

// Guards against links that close amid a large message, and begin it again each time they return.
it('stays open while a message takes longer than the receive timeout', async () => {
  const http = createServer();
  const server = new MessageServer({
    secret: SECRET,
    logger: silentLogger,
    fields: FIELDS,
    onOpen: (session) => session.send({ type: 'document', text: 'x'.repeat(400_000) }),
    onMessage: () => {},
    onClose: () => {},
  });
  server.attach(http);
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const relay = await startSlowRelay((http.address() as AddressInfo).port, 160_000);
  let closed = 0;
  const received = new Promise<boolean>((resolve) => {
    const client = new MessageClient({
      address: '127.0.0.1',
      port: relay.port,
      id: 'entry-1',
      role: LinkRole.Entry,
      secret: SECRET,
      logger: silentLogger,
      fields: FIELDS,
      timing: FAST_LINK_TIMING,
      onOpen: () => {},
      onMessage: () => resolve(true),
      onClose: () => {
        closed += 1;
      },
    });
    setTimeout(() => {
      client.dispose();
      resolve(false);
    }, 8_000);
  });
  expect({ received: await received, closed }).toEqual({ received: true, closed: 0 });
  relay.close();
  server.dispose();
  http.close();
}, 12_000);
