import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { closeServer, listen } from './HttpJson.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { MessageClient } from './MessageClient.js';
import { MessageServer, type ServerSession } from './MessageServer.js';

const ADDRESS = '127.0.0.1';

/** Collects byte counts by message type. */
function createTally() {
  const byType = new Map<string, number>();
  let zone: string | undefined;
  const note = (type: string, bytes: number, peerZone: string | undefined) => {
    byType.set(type, (byType.get(type) ?? 0) + bytes);
    zone = peerZone ?? zone;
  };
  const total = () => [...byType.values()].reduce((sum, bytes) => sum + bytes, 0);
  return { byType, note, total, zone: () => zone };
}

// Guards against bytes of a control link that no end or both ends count.
it('counts each byte of a link once, by type, with messages of every length encoding', async () => {
  const http = createServer();
  const sockets: Socket[] = [];
  http.on('connection', (socket) => sockets.push(socket));
  const sessions: ServerSession[] = [];
  const [fromServer, fromClient] = [createTally(), createTally()];
  let received = 0;
  const common = { secret: 'secret', logger: silentLogger, fields: { note: {} } };
  const server = new MessageServer({
    ...common,
    availabilityZone: 'bunbury',
    onBytes: fromServer.note,
    onOpen: (session) => sessions.push(session),
    onMessage: () => {
      received += 1;
    },
    onClose: () => {},
  });
  server.attach(http);
  const client = new MessageClient({
    ...common,
    address: ADDRESS,
    port: await listen(http, ADDRESS, 0),
    id: 'client-1',
    role: LinkRole.Entry,
    availabilityZone: 'perth',
    onBytes: fromClient.note,
    onOpen: () => {},
    onMessage: () => {},
    onClose: () => {},
  });
  await waitUntil(() => client.isOpen && sessions.length === 1, 'the link');
  [10, 1_000, 100_000].forEach((size) => {
    client.send({ type: 'note', text: 'x'.repeat(size) });
    sessions[0]!.send({ type: 'note', text: 'x'.repeat(size) });
  });
  await waitUntil(() => received === 3, 'the messages');
  const { bytesRead, bytesWritten } = sockets[0]!;
  client.dispose();
  await waitUntil(() => fromServer.total() >= bytesWritten, 'the counts');
  server.dispose();
  await closeServer(http);
  expect(fromClient.total()).toBe(bytesRead);
  expect(fromServer.total()).toBe(bytesWritten);
  expect(fromClient.byType.get('note')).toBeGreaterThan(101_010);
  expect([fromClient.zone(), fromServer.zone()]).toEqual(['bunbury', 'perth']);
});
