import { createServer, type Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../standin/Cluster.js';
import { MAX_MESSAGE_BYTES } from '../common/Constants.js';
import { closeServer, listen } from './HttpJson.js';
import { LinkRole } from './LinkAuth.js';
import type { LogFields } from './Logger.js';
import { MessageClient } from './MessageClient.js';
import { MessageServer, type ServerSession } from './MessageServer.js';

const ADDRESS = '127.0.0.1';
const FIELDS = { note: {} };
const OVERSIZED = { type: 'note', text: 'x'.repeat(MAX_MESSAGE_BYTES) };

describe('messages larger than a link accepts', () => {
  let http: Server;
  let server: MessageServer;
  let client: MessageClient;
  let session: ServerSession;
  let lines: { event: string; fields: LogFields }[];
  let received: string[];
  let closes: number;

  beforeEach(async () => {
    lines = [];
    received = [];
    closes = 0;
    const line = (event: string, fields: LogFields = {}) => lines.push({ event, fields });
    const logger = { error: line, warn: line, info: line, debug: line };
    const common = { secret: 'secret', logger, fields: FIELDS };
    http = createServer();
    let opened: ServerSession | undefined;
    server = new MessageServer({
      ...common,
      onOpen: (created) => {
        opened = created;
      },
      onMessage: () => received.push('server'),
      onClose: () => {
        closes += 1;
      },
    });
    server.attach(http);
    client = new MessageClient({
      ...common,
      address: ADDRESS,
      port: await listen(http, ADDRESS, 0),
      id: 'client-1',
      role: LinkRole.Control,
      onOpen: () => {},
      onMessage: () => received.push('client'),
      onClose: () => {},
    });
    await waitUntil(() => opened !== undefined && client.isOpen, 'an open link');
    session = opened!;
  });

  afterEach(async () => {
    client.dispose();
    server.dispose();
    await closeServer(http);
  });

  // Guards against a link that closes on each attempt to send one message, and with it all others.
  it('are not sent, are logged and counted, and leave the link open', async () => {
    expect(client.send(OVERSIZED)).toBe(false);
    session.send(OVERSIZED);
    client.send({ type: 'note' });
    session.send({ type: 'note' });
    await waitUntil(() => received.length === 2 || closes > 0, 'the messages behind them');
    expect(received.sort()).toEqual(['client', 'server']);
    expect(closes).toBe(0);
    const expected = {
      event: 'message_oversized',
      fields: expect.objectContaining({ kind: 'note' }),
    };
    expect(lines).toEqual([expected, expected]);
    expect([client.oversizedMessages, server.oversizedMessages]).toEqual([1, 1]);
  });

  // Guards against a link that closes for a reason that no log line names.
  it('that another version sends close the link with a line that names the reason', async () => {
    const { socket } = client as unknown as { socket: { send(text: string): void } };
    socket.send(OVERSIZED.text + OVERSIZED.text);
    await waitUntil(() => closes > 0, 'the end of the link');
    const failed = lines.find(({ event }) => event === 'link_failed');
    expect(failed?.fields).toMatchObject({ from: 'client-1' });
    expect(String(failed?.fields.detail)).toContain('payload');
  });
});
