import net, { type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../../standin/Cluster.js';
import { ControlStandin } from '../../../standin/ControlStandin.js';
import { ControlMessageType, type RoutingMessage } from '../../common/Messages.js';
import { createRoute, createTable } from '../../common/routing/fixtures.js';
import type { RoutingView } from '../../common/routing/Types.js';
import { silentLogger } from '../../runtime/Logger.js';
import { createEntryHost } from '../fixtures.js';
import { ControlWatch } from './ControlWatch.js';

const HOST = '127.0.0.1';

const SECRET = 'secret';

/** Part of a large routing that passes before its link is cut. */
const CUT_AFTER_BYTES = 20_000;

const stops: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

function createView(index: number, routeCount = 1): RoutingView {
  const routes = Array.from({ length: routeCount }, (_, n) => createRoute(`route-${n}`));
  return { index, version: index, table: createTable(routes), closedZones: [] };
}

async function startControls(count: number): Promise<ControlStandin[]> {
  const controls = Array.from({ length: count }, () => new ControlStandin(SECRET));
  await Promise.all(controls.map((control) => control.start()));
  stops.push(...controls.map((control) => () => control.stop()));
  return controls;
}

/** Watch of a gateway that applies each newer routing. */
function startWatch(ports: readonly number[], followMembership = false) {
  const applied: number[] = [];
  const watch = new ControlWatch({
    self: () => createEntryHost('entry-1'),
    secret: SECRET,
    logger: silentLogger,
    seeds: () => ports.map((port) => ({ address: HOST, port })),
    followMembership,
    routingIndex: () => applied.at(-1) ?? 0,
    departures: () => [],
    onMessage: (message) => {
      if (message.type === ControlMessageType.Routing) applied.push(message.view.index);
    },
    onLost: () => {},
  });
  stops.push(() => watch.dispose());
  return applied;
}

/** Passes connections on to a port; can cut them in the middle of what the server sends. */
async function startProxy(port: number) {
  const state = { cutsLeft: 0 };
  const sockets = new Set<Socket>();
  const server = net.createServer((client) => {
    const upstream = net.connect({ host: HOST, port });
    let received = 0;
    const close = () => {
      client.destroy();
      upstream.destroy();
    };
    [client, upstream].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', close).on('close', close);
    });
    client.pipe(upstream);
    upstream.on('data', (chunk: Buffer) => {
      received += chunk.length;
      if (state.cutsLeft === 0 || received < CUT_AFTER_BYTES) {
        client.write(chunk);
        return;
      }
      state.cutsLeft -= 1;
      client.write(chunk.subarray(0, 100));
      close();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  stops.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { state, port: (server.address() as net.AddressInfo).port };
}

describe('a routing that does not arrive', () => {
  // Guards against control hosts that never learn that a gateway could not read a routing.
  it('leaves the heartbeats at the old index if it can not be decoded, until it is sent again', async () => {
    const [control] = await startControls(1);
    const applied = startWatch([control!.port]);
    await waitUntil(() => control!.watches.length === 1, 'a watch');
    control!.sendRouting(createView(4));
    await waitUntil(() => applied.length === 1, 'a routing');
    const bytes = Buffer.from('malformed');
    control!.send({ type: ControlMessageType.PackedRouting, index: 5, bytes });
    control!.send({ type: ControlMessageType.Compressed, bytes });
    control!.send({ type: ControlMessageType.Routing } as RoutingMessage);
    const { length } = control!.pings;
    await waitUntil(() => control!.pings.length >= length + 3, 'heartbeats');
    expect(control!.pings.slice(length).map(({ appliedIndex }) => appliedIndex)).toEqual(
      Array.from({ length: control!.pings.length - length }, () => 4),
    );
    control!.sendRouting(createView(5));
    await waitUntil(() => control!.pings.at(-1)?.appliedIndex === 5, 'the new index');
    expect(applied).toEqual([4, 5]);
  });

  // Guards against a gateway that stays at its routing after its link was cut during a transfer.
  it('is asked for by the next watch if its link closes in the middle of it', async () => {
    const [control] = await startControls(1);
    const proxy = await startProxy(control!.port);
    const applied = startWatch([proxy.port]);
    await waitUntil(() => control!.watches.length === 1, 'a watch');
    control!.sendRouting(createView(4));
    await waitUntil(() => applied.length === 1, 'a routing');
    const view = createView(5, 2_000);
    control!.onWatch = (session) => session.send({ type: ControlMessageType.Routing, view });
    proxy.state.cutsLeft = 1;
    control!.sendRouting(view);
    await waitUntil(() => control!.watches.length === 2, 'the next watch');
    expect(control!.watches[1]?.routingIndex).toBe(4);
    await waitUntil(() => applied.length === 2, 'the newest routing');
    expect(applied).toEqual([4, 5]);
  });
});

describe('a gateway that ends the watch of a control host', () => {
  // Guards against a routing that is dropped as its watch ends, and that no other control host sends.
  it('reports the old index to the others, which send the routing again', async () => {
    const controls = await startControls(3);
    const [first, second, local] = controls;
    const applied = startWatch([first!.port, second!.port], true);
    await waitUntil(() => first!.watches.length + second!.watches.length === 2, 'two watches');
    first!.sendRouting(createView(4));
    await waitUntil(() => applied.length === 1, 'a routing');
    // A control host in the zone of the gateway replaces one of the others.
    const voters = controls.map(({ port }) => ({ id: `c-${port}`, address: HOST, port }));
    first!.report = { membershipIndex: 2, voters };
    local!.report = { availabilityZone: 'perth' };
    const isEnded = ({ watches }: ControlStandin) => watches.at(-1)?.ends === true;
    await waitUntil(() => controls.some(isEnded), 'the end of a watch');
    controls.find(isEnded)!.sendRouting(createView(5));
    const kept = controls.filter((control) => !isEnded(control));
    const lengths = kept.map(({ pings }) => pings.length);
    await waitUntil(() => kept.every(({ pings }, n) => pings.length > lengths[n]! + 2), 'pings');
    expect(kept.map(({ pings }) => pings.at(-1)?.appliedIndex)).toEqual([4, 4]);
    kept[0]!.sendRouting(createView(5));
    await waitUntil(() => kept[1]!.pings.at(-1)?.appliedIndex === 5, 'the newest routing');
  });
});
