import {
  ControlCluster,
  type AdminOutcome,
  type ControlClusterOptions,
} from '../../fuzz/ControlCluster.js';
import type { ControlHost, LogFields } from '../../fuzz/ControlHost.js';
import { ADMIN_TOKEN } from '../../standin/Deployments.js';
import { ENTRY_HEARTBEAT_INTERVAL_MS } from '../common/Constants.js';
import {
  ControlMessageType,
  EntryHostUpdates,
  type ControlToEntryMessage,
  type EntryToControlMessage,
  type PongMessage,
} from '../common/Messages.js';
import { createTable } from '../common/routing/fixtures.js';
import { createEntryHost } from '../gateway/fixtures.js';
import { hashToken } from '../runtime/LinkAuth.js';
import { AdminRequestType, ControlEventType, type AdminRequest } from './Types.js';

/** Gateway of a test, linked to control hosts. */
export interface TestGateway {
  readonly id: string;
  /** Time on its links for each routing; one that is sent meanwhile waits. */
  routingMs: number;
  /** False while it drops each routing that arrives. */
  applies: boolean;
  /** False while it sends no heartbeats. */
  alive: boolean;
  appliedIndex: number;
  /** True if its heartbeats state the newest routing that it knows of. */
  reportsKnown: boolean;
  /** Indexes of the routings that were sent to it, in order. */
  readonly sentIndexes: number[];
  /** Latest answer to its heartbeats by each control host. */
  readonly pongs: Map<string, PongMessage>;
  link(host: ControlHost): void;
  unlink(host: ControlHost): void;
}

/** Line that a control host logged. */
export interface LoggedLine {
  readonly event: string;
  readonly fields: LogFields;
  readonly from: string;
}

/** Delay of other messages between gateways and control hosts, one way. */
const DELAY_MS = 2;

/** Control hosts in virtual time, with gateways that apply what they are sent. */
export function createRoutedCluster(
  options: Pick<ControlClusterOptions, 'snapshotEvery' | 'count' | 'observers'> = {},
) {
  const gateways: TestGateway[] = [];
  const lines: LoggedLine[] = [];
  const receivers: ((message: ControlToEntryMessage, from: string) => void)[] = [];
  const cluster = new ControlCluster({
    ...options,
    sendSession: (sessionId, message, from) => receivers[sessionId - 1]?.(message, from),
    log: (event, fields, from) => lines.push({ event, fields, from }),
  });
  const { timeline } = cluster;

  const addGateway = (id: string, links: readonly ControlHost[]): TestGateway => {
    const sessionId = gateways.length + 1;
    const hosts = new Set<ControlHost>();
    let freeAtMs = 0;
    const send = (host: ControlHost, message: EntryToControlMessage) =>
      timeline.after(DELAY_MS, () =>
        host.handle({ type: ControlEventType.SessionMessage, sessionId, message }),
      );
    const sendPing = (host: ControlHost, state: TestGateway) => {
      const { appliedIndex, reportsKnown, pongs } = state;
      const newest = [...pongs.values()].map(({ routingIndex = 0 }) => routingIndex);
      send(host, {
        type: ControlMessageType.Ping,
        pingId: 1,
        appliedIndex,
        subscribe: false,
        stopping: false,
        ...(reportsKnown && { knownIndex: Math.max(appliedIndex, ...newest) }),
      });
    };
    const gateway: TestGateway = {
      id,
      routingMs: DELAY_MS,
      applies: true,
      alive: true,
      appliedIndex: 0,
      reportsKnown: false,
      sentIndexes: [],
      pongs: new Map(),
      link: (host) => {
        hosts.add(host);
        const entryHost = createEntryHost(id);
        const entryHostUpdates = EntryHostUpdates.None;
        send(host, { type: ControlMessageType.Hello, entryHost, entryHostUpdates });
        sendPing(host, gateway);
        const routingIndex = gateway.appliedIndex;
        send(host, { type: ControlMessageType.Watch, routingIndex });
      },
      unlink: (host) => {
        hosts.delete(host);
        host.handle({ type: ControlEventType.SessionClosed, sessionId });
      },
    };
    receivers.push((message, from) => {
      const isLinked = () => [...hosts].some((host) => host.options.id === from);
      if (message.type === ControlMessageType.Pong) gateway.pongs.set(from, message);
      if (message.type !== ControlMessageType.Routing || !isLinked()) return;
      const { index } = message.view;
      gateway.sentIndexes.push(index);
      freeAtMs = Math.max(freeAtMs, timeline.nowMs) + gateway.routingMs;
      timeline.after(freeAtMs - timeline.nowMs, () => {
        if (!gateway.applies || !gateway.alive || !isLinked()) return;
        if (index <= gateway.appliedIndex) return;
        gateway.appliedIndex = index;
        hosts.forEach((host) => sendPing(host, gateway));
      });
    });
    const beat = () => {
      if (gateway.alive) hosts.forEach((host) => sendPing(host, gateway));
      timeline.after(ENTRY_HEARTBEAT_INTERVAL_MS, beat);
    };
    beat();
    gateways.push(gateway);
    links.forEach((host) => gateway.link(host));
    return gateway;
  };

  /** Sends a request; the result holds the answer and its time once there is one. */
  const submit = (host: ControlHost, request: AdminRequest) => {
    const sentAtMs = timeline.nowMs;
    const result: { outcome?: AdminOutcome; afterMs?: number } = {};
    host.admin(request, hashToken(ADMIN_TOKEN), (body, error) => {
      result.outcome = { body, error };
      result.afterMs = timeline.nowMs - sentAtMs;
    });
    return result;
  };

  /** Changes the routing to a version, which builds on the one before. */
  const changeRouting = (version: number, host = cluster.leader()) =>
    submit(host, {
      type: AdminRequestType.ChangeRouting,
      changeId: `change-${version}`,
      baseVersion: version - 1,
      version,
      edit: { table: createTable() },
    });

  /** Control hosts other than the leader. */
  const followers = () => [...cluster.hosts.values()].filter((host) => host !== cluster.leader());

  return { cluster, lines, addGateway, submit, changeRouting, followers };
}

/** Log index of the newest routing that a control host has applied. */
export function routingIndexAt(host: ControlHost): number {
  return host.reducer.replicatedState.routing.view.index;
}
