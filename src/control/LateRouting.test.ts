import { describe, expect, it } from 'vitest';
import { ControlCluster } from '../../fuzz/ControlCluster.js';
import {
  ControlMessageType,
  type ControlToEntryMessage,
  type EntryToControlMessage,
} from '../common/Messages.js';
import { createTable } from '../common/routing/fixtures.js';
import { createEntryHost } from '../gateway/fixtures.js';
import { hashToken } from '../runtime/LinkAuth.js';
import { ADMIN_TOKEN } from '../../standin/Deployments.js';
import { AdminRequestType, ControlEventType } from './Types.js';

/** Heartbeat interval of gateways. */
const HEARTBEAT_MS = 200;

/** Three control hosts, and a gateway at the leader that reports the index it is told to apply. */
function createLateGateway() {
  const sent: ControlToEntryMessage[] = [];
  const cluster = new ControlCluster({
    sendSession: (sessionId, message) => sent.push(message),
  });
  const host = cluster.leader();
  const gateway = { appliedIndex: 0 };
  const send = (message: EntryToControlMessage) =>
    host.handle({ type: ControlEventType.SessionMessage, sessionId: 1, message });
  const beat = (untilMs: number) => {
    for (let atMs = 0; atMs < untilMs; atMs += HEARTBEAT_MS) {
      const { appliedIndex } = gateway;
      const type = ControlMessageType.Ping;
      send({ type, pingId: atMs, appliedIndex, subscribe: false, stopping: false });
      cluster.run(HEARTBEAT_MS);
    }
  };
  send({ type: ControlMessageType.Hello, entryHost: createEntryHost('gateway-1') });
  send({ type: ControlMessageType.Watch, routingIndex: 0 });
  beat(HEARTBEAT_MS);
  let nextVersion = 1;
  /** Sends a change; returns whether it has been confirmed. */
  const change = () => {
    const outcome = { confirmed: false };
    const version = nextVersion;
    nextVersion += 1;
    const request = {
      type: AdminRequestType.ChangeRouting,
      changeId: `change-${version}`,
      baseVersion: version - 1,
      version,
      edit: { table: createTable([]) },
    } as const;
    host.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      outcome.confirmed = error === null;
    });
    return outcome;
  };
  const routingsSent = () =>
    sent.flatMap((message) => (message.type === ControlMessageType.Routing ? [message.view] : []));
  return { cluster, gateway, beat, change, routingsSent };
}

describe('a change of the routing with a gateway that is late', () => {
  // Guards against calls that a gateway handles by a routing that a confirmed change has replaced.
  it('is confirmed only once the gateway has applied it', () => {
    const { gateway, beat, change, routingsSent } = createLateGateway();
    const outcome = change();
    beat(1_000);
    expect(outcome.confirmed).toBe(false);
    gateway.appliedIndex = routingsSent().at(-1)!.index;
    beat(2 * HEARTBEAT_MS);
    expect(outcome.confirmed).toBe(true);
  });

  // Guards against a gateway that serves by an old routing until the next change, as a push was lost.
  it('is sent again to a gateway whose heartbeats show that it missed it', () => {
    const { beat, change, routingsSent } = createLateGateway();
    change();
    beat(4_000);
    expect(routingsSent().filter(({ version }) => version === 1).length).toBeGreaterThan(1);
  });

  // Guards against versions that queue behind each other on the slow link of a gateway.
  it('reaches a slow gateway without the versions in between', () => {
    const { beat, change, routingsSent } = createLateGateway();
    for (let count = 0; count < 4; count += 1) {
      change();
      beat(HEARTBEAT_MS);
    }
    expect(routingsSent().map(({ version }) => version)).toEqual([1]);
  });
});
