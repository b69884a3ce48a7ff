import { createServer, type Server } from 'node:http';
import { Packr } from 'msgpackr';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { WebSocket, WebSocketServer } from 'ws';
import { RawBackend } from '../../standin/RawBackend.js';
import { UnhandledFaults } from '../../standin/UnhandledFaults.js';
import { closeServer, listen } from './HttpJson.js';
import { LinkRole } from './LinkAuth.js';
import { silentLogger } from './Logger.js';
import { FAST_LINK_TIMING, MessageClient } from './MessageClient.js';
import { MessageServer } from './MessageServer.js';

const ADDRESS = '127.0.0.1';

/** Longest wait for the server to close a link. */
const CLOSE_TIMEOUT_MS = 2_000;

const codec = new Packr({ useRecords: false });

/** Values that MessagePack can hold and JSON, or a string, can't. */
const ODD_VALUES: Readonly<Record<string, unknown>> = {
  'a large integer': 2n ** 63n,
  'a number': 5,
  null: null,
  'a map': { a: 1 },
  'a list': [2n ** 63n],
  'an invalid date': new Date(Number.NaN),
  bytes: Buffer.from([0xff]),
  'a lone surrogate': '\ud800',
};

/** Begin of the head of an answer that upgrades a connection. */
const UPGRADED =
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n';

const options = { id: 'entry-1', role: LinkRole.Entry, secret: 'secret', logger: silentLogger };

describe('an odd message of a handshake', { timeout: 10_000 }, () => {
  let http: Server;
  let port = 0;
  let faults: UnhandledFaults;
  const cleanUp: (() => void)[] = [];

  beforeEach(async () => {
    http = createServer();
    port = await listen(http, ADDRESS, 0);
    faults = new UnhandledFaults();
  });

  afterEach(() => {
    cleanUp.splice(0).forEach((end) => end());
    return closeServer(http);
  });

  const oddMessages = (fields: readonly string[], message: object): [string, Buffer][] => [
    ['nothing', Buffer.alloc(0)],
    ['a reserved byte', Buffer.from([0xc1])],
    ['a list', codec.pack([1])],
    ['an empty map', codec.pack({})],
    ...fields.flatMap((field) =>
      Object.entries(ODD_VALUES).map(([name, value]): [string, Buffer] => [
        `${name} as ${field}`,
        codec.pack({ ...message, [field]: value }),
      ]),
    ),
  ];

  /** Opens a link with a message that must not be accepted, and resolves once it has been closed. */
  const sendToServer = (bytes: Buffer): Promise<void> =>
    new Promise((resolve, reject) => {
      const socket = new WebSocket(`ws://${ADDRESS}:${port}/`);
      const timer = setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS);
      socket.once('message', () => socket.send(bytes));
      socket.once('error', reject);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });

  // Guards against a control host that ends as anyone sends a value of another type on its port for links.
  it('is refused by the server of a link', async () => {
    const opened: string[] = [];
    const messages = new MessageServer({
      ...options,
      fields: {},
      onOpen: ({ clientId }) => opened.push(clientId),
      onMessage: () => {},
      onClose: () => {},
    });
    cleanUp.push(() => messages.dispose());
    messages.attach(http);
    const response = { id: 'entry-1', role: 'entry', nonce: 'nonce', mac: 'mac' };
    const inputs = oddMessages(['id', 'role', 'nonce', 'mac', 'availabilityZone'], response);
    await Promise.all(inputs.map(([, bytes]) => sendToServer(bytes)));
    expect(faults.end()).toEqual([]);
    expect(opened).toEqual([]);
  });

  // Guards against a process that ends as another program has the address of a control host.
  it('is refused by the client of a link', async () => {
    const challenges = oddMessages(['nonce'], {});
    const welcomes = oddMessages(['mac', 'ticket'], { mac: 'mac', ticket: 'ticket' });
    const pairs = [
      ...challenges.map(([, bytes]) => [bytes, bytes] as const),
      ...welcomes.map(([, bytes]) => [codec.pack({ nonce: 'nonce' }), bytes] as const),
    ];
    let next = 0;
    const server = new WebSocketServer({ server: http });
    cleanUp.push(() => server.clients.forEach((socket) => socket.terminate()));
    server.on('connection', (socket) => {
      const [challenge, welcome] = pairs[next % pairs.length]!;
      next += 1;
      socket.on('error', () => {});
      socket.on('message', () => socket.send(welcome));
      socket.send(challenge);
      // A challenge that can be answered leaves the link waiting.
      setTimeout(() => socket.terminate(), 50);
    });
    const opened: number[] = [];
    const clients = pairs.map(
      (_, number) =>
        new MessageClient({
          ...options,
          address: ADDRESS,
          port,
          fields: {},
          timing: FAST_LINK_TIMING,
          onOpen: () => opened.push(number),
          onMessage: () => {},
          onClose: () => {},
        }),
    );
    cleanUp.push(() => clients.forEach((client) => client.dispose()));
    // Each client connects again, so the first round of pairs has been received.
    await expect.poll(() => next, { timeout: 8_000 }).toBeGreaterThan(2 * pairs.length);
    expect(faults.end()).toEqual([]);
    expect(opened).toEqual([]);
  });

  // Guards against the same for the answer to the upgrade, and against a link that is not tried again.
  it.each([
    ['status 000', 'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n'],
    ['status 999', 'HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n'],
    ['status 200 without a length', 'HTTP/1.1 200 OK\r\n\r\npart'],
    ['a blank in a field name', `${UPGRADED}X Odd: a\r\n\r\n`],
    ['a control byte in a field name', `${UPGRADED}X\x01Odd: a\r\n\r\n`],
    ['no key', `${UPGRADED}\r\n`],
    ['another key', `${UPGRADED}Sec-WebSocket-Accept: a2V5\r\n\r\n`],
    ['two heads', `HTTP/1.1 100 Continue\r\n\r\n${UPGRADED}\r\n`],
  ])('as an answer to the upgrade opens no link: %s', async (name, bytes) => {
    const server = new RawBackend((socket) =>
      socket.write(Buffer.from(bytes, 'latin1'), () => socket.resetAndDestroy()),
    );
    await server.start();
    const opened: number[] = [];
    const client = new MessageClient({
      ...options,
      address: ADDRESS,
      port: server.port,
      fields: {},
      timing: FAST_LINK_TIMING,
      onOpen: () => opened.push(1),
      onMessage: () => {},
      onClose: () => {},
    });
    cleanUp.push(() => client.dispose());
    await expect.poll(() => server.requests.length, { timeout: 8_000 }).toBeGreaterThan(2);
    client.dispose();
    await server.stop();
    expect(faults.end()).toEqual([]);
    expect(opened).toEqual([]);
  });
});
