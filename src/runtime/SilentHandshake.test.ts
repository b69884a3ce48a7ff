import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { WebSocketServer } from 'ws';
import { waitUntil } from '../../standin/Cluster.js';
import { closeServer, listen } from './HttpJson.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { FAST_LINK_TIMING, MessageClient } from './MessageClient.js';

const ADDRESS = '127.0.0.1';

/** Above the time after which a client gives up a handshake, with slack for a busy machine. */
const RECONNECT_MS = 8_000;

describe('a link whose server falls silent during the handshake', () => {
  const http = createServer();
  const sockets = new WebSocketServer({ noServer: true });
  const connections: Socket[] = [];
  let client: MessageClient | undefined;

  afterEach(async () => {
    client?.dispose();
    connections.forEach((connection) => connection.destroy());
    await closeServer(http);
  });

  // Guards against a host that never links again to one that lost power at the wrong moment.
  it('is opened again', async () => {
    http.on('upgrade', (request, socket, head) => {
      connections.push(socket as Socket);
      // Like a host without power: it reads nothing more and closes nothing.
      sockets.handleUpgrade(request, socket, head, () => (socket as Socket).pause());
    });
    client = new MessageClient({
      address: ADDRESS,
      port: await listen(http, ADDRESS, 0),
      id: 'client-1',
      role: LinkRole.Control,
      secret: 'secret',
      logger: silentLogger,
      fields: {},
      timing: FAST_LINK_TIMING,
      onOpen: () => {},
      onMessage: () => {},
      onClose: () => {},
    });
    await waitUntil(() => connections.length > 1, 'a second connection', RECONNECT_MS);
    expect(client.isOpen).toBe(false);
  }, 20_000);
});
