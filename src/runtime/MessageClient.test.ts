import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { FieldType, type MessageFields } from './MessageCheck.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { FAST_LINK_TIMING, MessageClient } from './MessageClient.js';
import { MessageServer } from './MessageServer.js';

const SECRET = 'secret';
const FIELDS: MessageFields = { document: { text: FieldType.String } };
const RELAY_INTERVAL_MS = 20;

/** Transfers bytes from one socket to the other at a limited rate; returns a function to end it. */
function transferSlowly(from: Socket, to: Socket, bytesPerS: number): () => void {
  const share = Math.round((bytesPerS * RELAY_INTERVAL_MS) / 1_000);
  from.on('readable', () => {});
  const timer = setInterval(() => {
    const bytes = from.read(Math.min(share, from.readableLength)) as Buffer | null;
    if (bytes) to.write(bytes);
  }, RELAY_INTERVAL_MS);
  return () => clearInterval(timer);
}

/** Relay that limits the rate in each direction. */
async function startSlowRelay(port: number, bytesPerS: number) {
  const sockets: Socket[] = [];
  const relay = createTcpServer((client) => {
    const server = connect(port, '127.0.0.1');
    sockets.push(client, server);
    const ends = [
      transferSlowly(server, client, bytesPerS),
      transferSlowly(client, server, bytesPerS),
    ];
    [client, server].forEach((socket) => {
      socket.on('error', () => {});
      socket.once('close', () => {
        ends.forEach((end) => end());
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

/** Sends a large message over a slow link; counts the losses of the link until it has arrived. */
async function sendLarge(sender: 'client' | 'server') {
  const message = { type: 'document', text: 'x'.repeat(400_000) };
  const http = createServer();
  let finish: (isReceived: boolean) => void = () => {};
  const received = new Promise<boolean>((resolve) => {
    finish = resolve;
  });
  const server = new MessageServer({
    secret: SECRET,
    logger: silentLogger,
    fields: FIELDS,
    onOpen: (session) => {
      if (sender === 'server') session.send(message);
    },
    onMessage: () => finish(true),
    onClose: () => {},
  });
  server.attach(http);
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const relay = await startSlowRelay((http.address() as AddressInfo).port, 160_000);
  let closed = 0;
  const client: MessageClient = new MessageClient({
    address: '127.0.0.1',
    port: relay.port,
    id: 'entry-1',
    role: LinkRole.Entry,
    secret: SECRET,
    logger: silentLogger,
    fields: FIELDS,
    timing: FAST_LINK_TIMING,
    onOpen: () => {
      if (sender === 'client') client.send(message);
    },
    onMessage: () => finish(true),
    onClose: () => {
      closed += 1;
    },
  });
  const timer = setTimeout(() => finish(false), 8_000);
  const result = { received: await received, closed };
  clearTimeout(timer);
  client.dispose();
  relay.close();
  server.dispose();
  http.close();
  return result;
}

describe('a link on which a message takes longer than the receive timeout', () => {
  // Guards against links that close amid a large message and begin it again each time they return.
  it('stays open while the client receives it', async () => {
    expect(await sendLarge('server')).toEqual({ received: true, closed: 0 });
  }, 12_000);

  // Guards against links that close because the client's pings queue behind its own message.
  it('stays open while the client sends it', async () => {
    expect(await sendLarge('client')).toEqual({ received: true, closed: 0 });
  }, 12_000);
});

describe('a link to an address that is none', () => {
  // Guards against all hosts ending at once, and at each start, after one member with such an address.
  it.each(['::1', 'a b', '10.0.0.999', '', '[', '%'])('stays closed: %j', (address) => {
    const logged: string[] = [];
    const client = new MessageClient({
      address,
      port: 7540,
      id: 'entry-1',
      role: LinkRole.Entry,
      secret: SECRET,
      logger: { ...silentLogger, error: (event) => logged.push(event) },
      fields: FIELDS,
      onOpen: () => {},
      onMessage: () => {},
      onClose: () => {},
    });
    expect(client.send({ type: 'document', text: '' })).toBe(false);
    expect(client.isOpen).toBe(false);
    client.dispose();
    expect(logged).toEqual(['link_failed']);
  });
});
