import { createServer, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { RaftLinks } from '../control/server/RaftLinks.js';
import { ControlLinks } from '../entry/server/ControlLinks.js';
import { OPEN_TIMEOUT_MS, PeerLinks } from '../entry/server/PeerLinks.js';
import { closeServer, listen } from './HttpJson.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { MessageClient } from './MessageClient.js';
import { MessageServer, type ServerSession } from './MessageServer.js';

const ADDRESS = '127.0.0.1';
const SECRET = 'secret';
const FIELDS = { note: {} };

/** Time in which a link over loopback would have opened. */
const OPEN_MS = 300;

describe('links that are disposed', () => {
  let http: Server;
  let server: MessageServer;
  let port = 0;
  let calls: string[] = [];
  let onServerMessage = () => {};
  const sessions: ServerSession[] = [];

  beforeEach(async () => {
    calls = [];
    sessions.length = 0;
    onServerMessage = () => {};
    http = createServer();
    server = new MessageServer({
      secret: SECRET,
      logger: silentLogger,
      fields: FIELDS,
      onOpen: (session) => sessions.push(session),
      onMessage: () => {
        calls.push('server message');
        onServerMessage();
      },
      onClose: () => calls.push('server close'),
    });
    server.attach(http);
    port = await listen(http, ADDRESS, 0);
  });

  afterEach(async () => {
    server.dispose();
    await closeServer(http);
  });

  function createClient(onMessage = () => {}): MessageClient {
    return new MessageClient({
      address: ADDRESS,
      port,
      id: 'client-1',
      role: LinkRole.Entry,
      secret: SECRET,
      logger: silentLogger,
      fields: FIELDS,
      onOpen: () => calls.push('client open'),
      onMessage: () => {
        calls.push('client message');
        onMessage();
      },
      onClose: () => calls.push('client close'),
    });
  }

  // Guards against messages that a host handles, and losses that it logs, after it has stopped.
  it('deliver no message at a client that was received with the one before', async () => {
    const client = createClient(() => client.dispose());
    await waitUntil(() => sessions.length === 1 && client.isOpen, 'an open link');
    // Both are sent in one turn, so that the client reads them at once.
    sessions[0]!.send({ type: 'note' });
    sessions[0]!.send({ type: 'note' });
    await waitUntil(() => calls.includes('server close'), 'the end of the link');
    expect(calls).toEqual(['client open', 'client message', 'server close']);
    expect(client.send({ type: 'note' })).toBe(false);
  });

  // Guards against messages that a host handles after it has stopped.
  it('deliver no message at a server that was received with the one before', async () => {
    onServerMessage = () => server.dispose();
    const client = createClient();
    await waitUntil(() => client.isOpen, 'an open link');
    client.send({ type: 'note' });
    client.send({ type: 'note' });
    await waitUntil(() => calls.includes('client close'), 'the end of the link');
    expect(calls).toEqual(['client open', 'server message', 'client close']);
    client.dispose();
  });

  // Guards against a link that stays open, and reconnects, after its owner has stopped.
  it('are not opened again', async () => {
    const raftLinks = new RaftLinks({ id: 'control-1', secret: SECRET, logger: silentLogger });
    raftLinks.dispose();
    raftLinks.sync([{ id: 'control-2', address: ADDRESS, port }]);
    const peerLinks = new PeerLinks({
      id: 'entry-1',
      secret: SECRET,
      logger: silentLogger,
      onUnreachable: () => calls.push('unreachable'),
    });
    const controlLinks = new ControlLinks({
      id: 'entry-1',
      secret: SECRET,
      logger: silentLogger,
      fields: FIELDS,
      onOpen: () => calls.push('control open'),
      onMessage: () => {},
      onClose: () => {},
    });
    controlLinks.dispose();
    controlLinks.sync([{ id: 'control-2', address: ADDRESS, port }]);
    const tickets: string[] = [];
    peerLinks.dispose();
    peerLinks.whenOpen('entry-2', ADDRESS, port, (ticket) => tickets.push(ticket));
    await sleep(OPEN_MS);
    expect(sessions).toEqual([]);
    expect(tickets).toEqual(['']);
    expect(calls).toEqual([]);
  });

  // Guards against a call that is sent on after the end because a peer did not answer in time.
  it('report no peer as unreachable that was waited for', async () => {
    const unreachable: string[] = [];
    const tickets: string[] = [];
    const peerLinks = new PeerLinks({
      id: 'entry-1',
      secret: 'another secret',
      logger: silentLogger,
      onUnreachable: (peerId) => unreachable.push(peerId),
    });
    peerLinks.whenOpen('entry-2', ADDRESS, port, (ticket) => tickets.push(ticket));
    peerLinks.dispose();
    await sleep(OPEN_TIMEOUT_MS + OPEN_MS);
    expect(unreachable).toEqual([]);
    expect(tickets).toEqual([]);
  });
});
