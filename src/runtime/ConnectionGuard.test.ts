import http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  ConnectionGuard,
  noteKeptBytes,
  whenLimited,
  type EndedConnection,
} from './ConnectionGuard.js';
import { ConnectionLimit } from './ConnectionLimit.js';
import { closeServer, listen } from './HttpJson.js';
import { MemoryBudget } from './MemoryBudget.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';

describe('ConnectionGuard', () => {
  const clients: net.Socket[] = [];
  let server: http.Server;
  let budget: MemoryBudget;
  let ended: EndedConnection[];
  let port: number;

  beforeEach(async () => {
    // Requests are never answered.
    server = http.createServer(() => {});
    budget = new MemoryBudget({ limitBytes: 100_000 });
    ended = [];
    // eslint-disable-next-line no-new
    new ConnectionGuard({
      server,
      budget,
      connectionsMax: 3,
      requestsMax: 2,
      onEnded: (connection) => ended.push(connection),
    });
    port = await listen(server, '127.0.0.1', 0);
  });

  afterEach(async () => {
    clients.splice(0).forEach((client) => client.destroy());
    await closeServer(server);
  });

  /** Connects a client; resolves once the server has accepted it, with its close. */
  function connect(): Promise<{ client: net.Socket; closed: Promise<unknown> }> {
    return new Promise((resolve) => {
      const client = net.connect(port, '127.0.0.1');
      client.on('error', () => {});
      clients.push(client);
      const closed = new Promise((close) => {
        client.once('close', close);
      });
      server.once('connection', () => resolve({ client, closed }));
    });
  }

  const limits = () => ended.map(({ limit }) => limit);

  // Guards against a host without descriptors for its own connections and for ordinary callers.
  it('replaces the oldest connection that never sent a request', async () => {
    const used = await connect();
    const received = new Promise((resolve) => {
      server.once('request', resolve);
    });
    used.client.write(REQUEST);
    await received;
    const silent = await connect();
    await connect();
    await connect();
    await silent.closed;
    expect(limits()).toEqual([ConnectionLimit.Connections]);
    expect(used.client.destroyed).toBe(false);
  });

  // Guards against requests sent ahead without a bound.
  it('closes a connection with too many requests without an answer', async () => {
    const { client, closed } = await connect();
    client.write(REQUEST.repeat(3));
    await closed;
    expect(limits()).toEqual([ConnectionLimit.Requests]);
  });

  // Guards against unended heads that are kept without a bound over all connections.
  it('closes the connection with the largest head beyond the memory of all', async () => {
    const small = await connect();
    const large = await connect();
    small.client.write('GET / HTTP/1.1\r\nA: b\r\n');
    large.client.write(`GET / HTTP/1.1\r\n${'a: b\r\n'.repeat(2)}b: ${'c'.repeat(10_000)}\r\n`);
    const isClosed = large.closed.then(() => true);
    budget.add({ heldBytes: () => 90_000, waitsForClient: () => false, end: () => {} });
    const timer = setInterval(() => budget.check(), 10);
    expect(await isClosed).toBe(true);
    clearInterval(timer);
    expect(limits()).toEqual([ConnectionLimit.Memory]);
    expect(small.client.destroyed).toBe(false);
  });

  // Guards against answers that go on arriving for a connection that was ended for its memory.
  it('ends the work for the requests of a connection that it ends, at once', async () => {
    const used = await connect();
    const received = new Promise<http.IncomingMessage>((resolve) => {
      server.once('request', resolve);
    });
    used.client.write(REQUEST);
    const request = await received;
    let abandoned = 0;
    whenLimited(request, () => {
      abandoned += 1;
    });
    noteKeptBytes(request, 200_000);
    expect(abandoned).toBe(1);
    expect(limits()).toEqual([ConnectionLimit.Memory]);
    await used.closed;
  });
});
