import { describe, expect, it } from 'vitest';
import { ControlCluster } from '../../fuzz/ControlCluster.js';
import { createBackend } from '../gateway/fixtures.js';
import { encodeMessage } from '../runtime/MessageCodec.js';
import { createRoutedCluster } from './fixtures.js';
import { IN_FORCE_WAIT_MS } from './RoutingInForce.js';

/** Slowest link of a machine in use: 2 Mbit/s, which a gateway shares. */
const LINK_BYTES_PER_S = 250_000;

const BACKENDS = 500;

const VOTERS = 5;

/** Control hosts that hold announcements, and ones without a disk; counts the bytes that each is sent. */
function createFleet(observers: number) {
  const sentBytes = new Map<string, number>();
  const cluster = new ControlCluster({
    count: VOTERS,
    observers,
    onSent: (from, to, message) =>
      sentBytes.set(to, (sentBytes.get(to) ?? 0) + encodeMessage(message).length),
  });
  const voters = [...cluster.hosts.values()].filter(({ options }) => !options.observer);
  for (let index = 0; index < BACKENDS; index += 1) {
    voters[index % VOTERS]!.announce(createBackend(`backend-server-${index}`), () => {});
  }
  cluster.run(4_000);
  return { cluster, sentBytes };
}

describe('a control host without a disk', () => {
  // Guards against a machine whose link carries nothing else for longer than a confirmation may take, as
  // all other control hosts send it all announcements again each time their links to it open.
  it('is sent no more at the start of its links than they carry in the wait of a change', () => {
    const { cluster, sentBytes } = createFleet(15);
    sentBytes.clear();
    cluster.relink('observer-0');
    cluster.run(IN_FORCE_WAIT_MS);
    expect(sentBytes.get('observer-0')).toBeLessThan((LINK_BYTES_PER_S * IN_FORCE_WAIT_MS) / 1_000);
  });

  // Guards against messages that grow with the square of the control hosts.
  it('costs each other one the same, however many there are', () => {
    const bytesOf = (observers: number) => {
      const { cluster, sentBytes } = createFleet(observers);
      sentBytes.clear();
      cluster.relink('observer-0');
      cluster.run(IN_FORCE_WAIT_MS);
      return sentBytes.get('observer-0')!;
    };
    expect(bytesOf(16)).toBeLessThan(bytesOf(4) * 1.25);
  });

  // Guards against changes that wait for the report of a host that has no gateways.
  it('is not waited for by a change, also if it acknowledges and has reported nothing', () => {
    const { cluster, changeRouting, addGateway } = createRoutedCluster({ count: 3, observers: 2 });
    const observer = cluster.host('observer-0');
    // Its acknowledgements of the log arrive at the next leader, and no other message does.
    Object.assign(observer.options, { sendControl: () => {} });
    cluster.leader().crash();
    cluster.run(3_000);
    addGateway('g-1', [cluster.leader()]);
    cluster.run(1_000);
    const result = changeRouting(1);
    cluster.run(500);
    expect(result.outcome?.error).toBeNull();
  });
});
