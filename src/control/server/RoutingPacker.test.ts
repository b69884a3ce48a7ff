import { createServer, type Server } from 'node:http';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { deflateSync } from 'node:zlib';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { MAX_MESSAGE_BYTES } from '../../common/Constants.js';
import { Role } from '../../common/Enums.js';
import { ControlMessageType, type ControlToEntryMessage } from '../../common/Messages.js';
import { createRoute, createTable } from '../../common/routing/fixtures.js';
import type { RoutingTable, RoutingView } from '../../common/routing/Types.js';
import { createEntryHost } from '../../gateway/fixtures.js';
import { ControlWatch } from '../../gateway/server/ControlWatch.js';
import { closeServer, listen } from '../../runtime/HttpJson.js';
import { LinkRole } from '../../runtime/LinkAuth.js';
import { silentLogger, type Logger } from '../../runtime/Logger.js';
import { MessageClient } from '../../runtime/MessageClient.js';
import { MessageServer, type ServerSession } from '../../runtime/MessageServer.js';
import { AdminRequestType } from '../Types.js';
import type { ControlServer } from './ControlServer.js';
import { openSingleControl } from './fixtures.js';
import { CONTROL_FIELDS, ENTRY_FIELDS } from './MessageFields.js';
import { packRouting, unpackRouting } from './RoutingPacker.js';

const ADDRESS = '127.0.0.1';
const SECRET = 'secret';
const OPERATOR = { name: 'operator', team: '*', role: Role.Administrator };

function createLargeTable(routes = 1_400): RoutingTable {
  return createTable(Array.from({ length: routes }, (_, n) => createRoute(`route-${n}`)));
}

function createView(table: RoutingTable | null, index = 1): RoutingView {
  return { index, version: 7, table, closedZones: ['perth'] };
}

/** Watch of a gateway with everything that it delivers. */
function createWatch(port: number, logger: Logger = silentLogger) {
  const received: ControlToEntryMessage[] = [];
  let routingIndex = 0;
  const watch = new ControlWatch({
    self: () => createEntryHost('entry-1'),
    secret: SECRET,
    logger,
    seeds: () => [{ address: ADDRESS, port }],
    followMembership: false,
    routingIndex: () => routingIndex,
    departures: () => [],
    onMessage: (message) => {
      received.push(message);
      if (message.type === ControlMessageType.Routing) routingIndex = message.view.index;
    },
    onLost: () => {},
  });
  const views = () =>
    received.flatMap((message) =>
      message.type === ControlMessageType.Routing ? [message.view] : [],
    );
  return { watch, views };
}

describe('a control host that sends its routing', () => {
  let folder = '';
  let control: ControlServer;

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'egret-packed-'));
    control = await openSingleControl(folder);
    await control.start();
    await waitUntil(() => control.reducer.raft.isLeader, 'a leader');
  });

  afterEach(async () => {
    await control.stop();
    await rm(folder, { recursive: true, force: true });
  });

  async function changeTable(baseVersion: number, table: RoutingTable): Promise<RoutingView> {
    const result = await control.submitAuthenticated(
      {
        type: AdminRequestType.ChangeRouting,
        changeId: `change-${baseVersion}`,
        baseVersion,
        version: baseVersion + 1,
        edit: { table },
      },
      OPERATOR,
    );
    expect(result.error).toBeNull();
    return control.reducer.replicatedState.routing.view;
  }

  /** First routing message that arrives after a `Watch` message with these fields. */
  async function receiveRouting(fields: object) {
    const received: Record<string, unknown>[] = [];
    const client: MessageClient = new MessageClient({
      address: ADDRESS,
      port: control.port,
      id: 'entry-2',
      role: LinkRole.Entry,
      secret: SECRET,
      logger: silentLogger,
      fields: CONTROL_FIELDS,
      onOpen: () => client.send({ type: ControlMessageType.Watch, routingIndex: 0, ...fields }),
      onMessage: (message) => received.push(message as Record<string, unknown>),
      onClose: () => {},
    });
    const find = () => received.find(({ type }) => String(type).endsWith('routing'));
    await waitUntil(() => find() !== undefined, 'a routing');
    client.dispose();
    return { message: find()!, linkBytes: client.traffic.bytes };
  }

  // Guards against a large routing that occupies slow links for seconds with each change.
  it('compresses a large one for a watcher that accepts it', async () => {
    await changeTable(0, createLargeTable());
    const packed = await receiveRouting({ acceptsPacked: true });
    const plain = await receiveRouting({});
    expect(packed.message.type).toBe('packed-routing');
    expect(packed.linkBytes * 10).toBeLessThan(plain.linkBytes);
  });

  // Guards against gateways of the version before that receive a message which they refuse.
  it('sends the plain one to a watcher that does not accept it', async () => {
    const view = await changeTable(0, createLargeTable());
    const variants = [{}, { acceptsPacked: false }, { acceptsPacked: 'yes' }];
    const sent = await Promise.all(variants.map((fields) => receiveRouting(fields)));
    const plain = { type: 'routing', view };
    expect(sent.map(({ message }) => message)).toEqual([plain, plain, plain]);
  });

  // Guards against a gateway that applies another routing than the one in force, or none.
  it('delivers the same view at a gateway, large or small, at the start and after a change', async () => {
    const large = await changeTable(0, createLargeTable());
    const { watch, views } = createWatch(control.port);
    await waitUntil(() => views().length === 1, 'the routing in force');
    const larger = await changeTable(1, createLargeTable(1_500));
    await waitUntil(() => views().length === 2, 'the changed routing');
    const small = await changeTable(2, createTable());
    await waitUntil(() => views().length === 3, 'the small routing');
    expect(views()).toEqual([large, larger, small]);
    watch.dispose();
  });
});

describe('a packed routing', () => {
  it('equals the view that was packed', () => {
    const view = createView(createLargeTable());
    const packed = packRouting(view)!;
    expect(unpackRouting(packed).unwrapOr(createView(null))).toEqual(view);
    expect(packRouting(createView(createTable()))).toBeNull();
  });

  // Guards against a gateway that ends, or fills its memory, because of a malformed message.
  it.each([
    ['bytes that are not compressed', Buffer.from('not compressed')],
    ['a truncated view', packRouting(createView(createLargeTable()))!.bytes.subarray(0, 500)],
    ['a view without its fields', deflateSync(Buffer.from([0x80]))],
    ['a value that is not a view', deflateSync(Buffer.from([0x01]))],
    ['more bytes than a message may have', deflateSync(Buffer.alloc(MAX_MESSAGE_BYTES + 1))],
    ['no bytes', null as unknown as Uint8Array],
  ])('is refused with %s', (_, bytes) => {
    const type = ControlMessageType.PackedRouting;
    expect(unpackRouting({ type, index: 1, bytes }).isErr).toBe(true);
  });
});

describe('a gateway that watches', () => {
  let http: Server;
  let server: MessageServer;
  let port = 0;
  const sessions: ServerSession[] = [];

  beforeEach(async () => {
    sessions.length = 0;
    http = createServer();
    server = new MessageServer({
      secret: SECRET,
      logger: silentLogger,
      fields: ENTRY_FIELDS,
      onOpen: (session) => sessions.push(session),
      onMessage: () => {},
      onClose: () => {},
    });
    server.attach(http);
    port = await listen(http, ADDRESS, 0);
  });

  afterEach(async () => {
    server.dispose();
    await closeServer(http);
  });

  // Guards against a malformed message that ends the process or hides the next routing.
  it('logs a malformed packed routing and applies the next one, of either form', async () => {
    const logged: string[] = [];
    const line = (event: string) => logged.push(event);
    const logger = { error: line, warn: line, info: line, debug: line };
    const { watch, views } = createWatch(port, logger);
    await waitUntil(() => sessions.length === 1, 'an open link');
    const packed = createView(createLargeTable(), 2);
    const plain = createView(createTable(), 3);
    const type = ControlMessageType.PackedRouting;
    sessions[0]!.send({ type, index: 2, bytes: Buffer.from('malformed') });
    sessions[0]!.send(packRouting(packed)!);
    sessions[0]!.send(packRouting(packed)!);
    sessions[0]!.send({ type: ControlMessageType.Routing, view: plain });
    await waitUntil(() => views().length === 2, 'two routings');
    expect(views()).toEqual([packed, plain]);
    expect(logged.filter((event) => event !== 'control_regained')).toEqual(['message_refused']);
    watch.dispose();
  });
});
