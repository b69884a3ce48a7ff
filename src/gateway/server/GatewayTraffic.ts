import type { Registry } from 'prom-client';
import { ControlMessageType } from '../../common/Messages.js';
import { LINK_OVERHEAD } from '../../runtime/LinkBytes.js';
import type { ByteCounts } from '../../runtime/SocketBytes.js';
import { TrafficPurpose, ZoneTraffic } from '../../runtime/ZoneTraffic.js';
import type { BackendView } from '../BackendView.js';
import { RequestKind } from './BackendClient.js';

/** Options of a {@link GatewayTraffic}. */
export interface GatewayTrafficOptions {
  readonly registry: Registry;
  readonly availabilityZone: string;
}

/** Purposes of the two directions of a request. */
interface Purposes {
  readonly sent: TrafficPurpose;
  readonly received: TrafficPurpose;
}

const BACKEND_PURPOSES: Readonly<Record<RequestKind, Purposes>> = {
  [RequestKind.Call]: { sent: TrafficPurpose.Request, received: TrafficPurpose.Answer },
  [RequestKind.Probe]: { sent: TrafficPurpose.Probe, received: TrafficPurpose.Probe },
};

const PEER_PURPOSES: Purposes = {
  sent: TrafficPurpose.Forwarded,
  received: TrafficPurpose.Forwarded,
};

/** Counts the bytes of one gateway by purpose and pair of zones. */
export class GatewayTraffic {
  private readonly traffic: ZoneTraffic;

  constructor(options: GatewayTrafficOptions) {
    const messageTypes = [...Object.values(ControlMessageType), LINK_OVERHEAD];
    this.traffic = new ZoneTraffic({ ...options, messageTypes });
  }

  /** Counts a request to a backend server and its answer. */
  noteBackend(view: BackendView, kind: RequestKind, counts: ByteCounts): void {
    this.note(view, BACKEND_PURPOSES[kind], counts);
  }

  /** Counts a request to another gateway and its answer. */
  notePeer(view: BackendView, counts: ByteCounts): void {
    this.note(view, PEER_PURPOSES, counts);
  }

  /** Counts a message to a control host. */
  noteControl(message: string, bytes: number, peerZone: string | undefined): void {
    this.traffic.noteSent({ purpose: TrafficPurpose.Control, message, peerZone, bytes });
  }

  private note(view: BackendView, purposes: Purposes, { sent, received }: ByteCounts): void {
    const peerZone = view.record.availabilityZone;
    this.traffic.noteSent({ purpose: purposes.sent, peerZone, bytes: sent });
    this.traffic.noteReceived({ purpose: purposes.received, peerZone, bytes: received });
  }
}
