import { BackendState } from '../src/common/backends/Types.js';
import { ControlMessageType, type ControlToEntryMessage } from '../src/common/Messages.js';
import { ControlEventType } from '../src/control/Types.js';
import { createBackend } from '../src/gateway/fixtures.js';
import { ControlCluster } from './ControlCluster.js';
import type { ControlHost } from './ControlHost.js';
import { GatewayModel } from './GatewayModel.js';

/** Time after its confirmation from which no call may reach a departed backend server. */
const PROMISE_MS = 2_000;

/** Time after which the announcing client gives up a call and tries another control host. */
export const PATIENCE_MS = 1_000;

const STEP_MS = 5;

const READY = createBackend('b-1', { sequence: 1 });
const DRAINING = createBackend('b-1', { state: BackendState.Draining, sequence: 2 });

/** Link of a gateway to a control host. */
interface TestLink {
  readonly gateway: TestGateway;
  readonly control: string;
  open: boolean;
}

/** Gateway whose links a test disturbs. */
export interface TestGateway {
  readonly model: GatewayModel;
  /** Time until which lists of backend servers wait on their way to it. */
  heldUntilMs: number;
  /** Time until which it neither sends nor receives. */
  frozenUntilMs: number;
  /** Number of lists with a batch id that it refuses, as if it could not read them. */
  refusals: number;
  received: number;
}

/** Departure as the backend server that announces it sees it. */
export interface Departure {
  readonly startedAtMs: number;
  confirmedAtMs: number;
  /** Longest time from a call of the announcing client to the answer. */
  slowestAnswerMs: number;
}

/** Control hosts in virtual time, with gateways that link where a test says. */
export function createDepartureWorld(controls = 3) {
  const links = new Map<number, TestLink>();
  const gateways: TestGateway[] = [];
  const sessions: { deliver?: (id: number, message: ControlToEntryMessage, from: string) => void } =
    {};
  const cluster = new ControlCluster({
    count: controls,
    sendSession: (sessionId, message, from) => sessions.deliver?.(sessionId, message, from),
  });
  const { timeline, network } = cluster;
  const hosts = [...cluster.hosts.values()];

  const receive = (link: TestLink, message: ControlToEntryMessage, from: string) => {
    const { gateway } = link;
    const isList = message.type === ControlMessageType.Backends;
    const waitMs =
      Math.max(gateway.frozenUntilMs, isList ? gateway.heldUntilMs : 0) - timeline.nowMs;
    if (waitMs > 0) {
      timeline.after(waitMs, () => receive(link, message, from));
      return;
    }
    if (!link.open) return;
    if (isList) gateway.received += 1;
    if (isList && message.batchId > 0 && gateway.refusals > 0) {
      gateway.refusals -= 1;
      return;
    }
    gateway.model.receive(message, from);
  };

  sessions.deliver = (sessionId, message, from) => {
    const link = links.get(sessionId);
    if (!link?.open) return;
    network.send(from, link.gateway.model.id, () => receive(link, message, from));
  };

  const addGateway = (): TestGateway => {
    const id = `gateway-${gateways.length}`;
    const gateway: TestGateway = {
      model: new GatewayModel({
        id,
        timeline,
        send: (control, ...messages) => {
          const found = [...links].find(
            ([, link]) => link.open && link.gateway === gateway && link.control === control,
          );
          if (!found || gateway.frozenUntilMs > timeline.nowMs) return;
          const [sessionId] = found;
          const type = ControlEventType.SessionMessage;
          network.send(id, control, () =>
            messages.forEach((message) =>
              cluster.host(control).handle({ type, sessionId, message }),
            ),
          );
        },
      }),
      heldUntilMs: 0,
      frozenUntilMs: 0,
      refusals: 0,
      received: 0,
    };
    gateways.push(gateway);
    return gateway;
  };

  const link = (gateway: TestGateway, ...to: readonly ControlHost[]) =>
    to.forEach(({ options }) => {
      links.set(links.size + 1, { gateway, control: options.id, open: true });
      gateway.model.onLinkOpened(options.id);
    });

  const unlink = (gateway: TestGateway, host: ControlHost) =>
    links.forEach((item, sessionId) => {
      if (!item.open || item.gateway !== gateway || item.control !== host.options.id) return;
      Object.assign(item, { open: false });
      gateway.model.onLinkClosed(host.options.id);
      host.handle({ type: ControlEventType.SessionClosed, sessionId });
    });

  const uses = ({ model }: TestGateway) => {
    const view = model.pool.get('b-1');
    return view !== undefined && model.pool.isUsable(view);
  };

  /** Announces a departure to one host after another until one confirms it. */
  const depart = (order: readonly ControlHost[]): Departure => {
    const departure = {
      startedAtMs: timeline.nowMs,
      confirmedAtMs: Number.POSITIVE_INFINITY,
      slowestAnswerMs: 0,
    };
    let sequence = 1;
    const attempt = (number: number) => {
      if (departure.confirmedAtMs < timeline.nowMs || number > 20) return;
      const sentAtMs = timeline.nowMs;
      let over = false;
      const end = (confirmed: boolean) => {
        if (over) return;
        over = true;
        const tookMs = timeline.nowMs - sentAtMs;
        departure.slowestAnswerMs = Math.max(departure.slowestAnswerMs, tookMs);
        if (confirmed) departure.confirmedAtMs = timeline.nowMs;
        else timeline.after(20, () => attempt(number + 1));
      };
      sequence += 1;
      order[number % order.length]!.announce({ ...DRAINING, sequence }, end);
      timeline.after(PATIENCE_MS, () => end(false));
    };
    attempt(0);
    return departure;
  };

  /** Runs for a while and returns the latest time at which a gateway broke the promise. */
  const findLateUse = (departure: Departure, spanMs = 8_000): number | undefined => {
    let lateMs: number | undefined;
    for (let ranMs = 0; ranMs < spanMs; ranMs += STEP_MS) {
      cluster.run(STEP_MS);
      const sinceMs = timeline.nowMs - departure.confirmedAtMs;
      const isUsed = gateways.some(
        (gateway) => gateway.frozenUntilMs <= timeline.nowMs && uses(gateway),
      );
      if (sinceMs > PROMISE_MS && isUsed) lateMs = sinceMs;
    }
    return lateMs;
  };

  /** Makes a ready backend server known everywhere, so that the tests begin in calm. */
  const settle = () => {
    hosts.forEach((host) => host.linkTo(hosts.filter((other) => other !== host)));
    cluster.run(500);
    hosts[0]!.announce(READY, () => {});
    cluster.run(3_500);
    if (!gateways.every(uses)) throw new Error('a gateway does not use the backend server');
    gateways.forEach((gateway) => Object.assign(gateway, { received: 0 }));
  };

  /** Delays what other control hosts relay to a host. */
  const holdRelays = (host: ControlHost, holdMs: number) => {
    const handle = host.handle.bind(host);
    Object.assign(host, {
      handle: (event: Parameters<ControlHost['handle']>[0]) => {
        const isRelay =
          event.type === ControlEventType.ControlPeerMessage &&
          event.message.type === ControlMessageType.BackendRelay;
        if (isRelay) timeline.after(holdMs, () => handle(event));
        else handle(event);
      },
    });
  };

  return {
    cluster,
    timeline,
    hosts,
    addGateway,
    link,
    unlink,
    depart,
    findLateUse,
    settle,
    holdRelays,
    after: (delayMs: number, action: () => void) => timeline.after(delayMs, action),
  };
}

export type DepartureWorld = ReturnType<typeof createDepartureWorld>;
