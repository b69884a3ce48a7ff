import { Counter, type Registry } from 'prom-client';

/** Purposes of bytes that a process sends or receives. */
export enum TrafficPurpose {
  /** Request of a call to a backend server. */
  Request = 'request',
  /** Answer of a backend server to a call. */
  Answer = 'answer',
  /** Request for health and load, or the answer to one. */
  Probe = 'probe',
  /** Call that one gateway forwards to another, or the answer to one. */
  Forwarded = 'forwarded',
  /** Messages between gateways and control hosts, and between control hosts. */
  Control = 'control',
}

/** Bytes that passed in one direction. */
export interface TrafficAmount {
  readonly purpose: TrafficPurpose;
  /** Type of a control message; omitted for other purposes. */
  readonly message?: string;
  /** Availability zone of the other end; undefined until it is known. */
  readonly peerZone: string | undefined;
  readonly bytes: number;
}

/** Options of a {@link ZoneTraffic}. */
export interface ZoneTrafficOptions {
  readonly registry: Registry;
  /** Own availability zone. */
  readonly availabilityZone: string;
  /** Types of control messages with a label of their own; others share one. */
  readonly messageTypes: readonly string[];
}

/** Zones of other ends with a label of their own; further ones share one, which bounds the series. */
const ZONE_LABELS_MAX = 16;

const UNKNOWN_LABEL = 'unknown';

const OTHER_LABEL = 'other';

/**
 * Counts bytes by purpose and pair of availability zones. The process that opens a connection to a
 * backend server or to another gateway counts both directions; of a control link, each end counts
 * what it sends. The sum over all processes therefore counts each byte once.
 *
 * @example
 * const traffic = new ZoneTraffic({ registry, availabilityZone: 'perth', messageTypes: [] });
 * traffic.noteSent({ purpose: TrafficPurpose.Request, peerZone: 'bunbury', bytes: 412 });
 */
export class ZoneTraffic {
  private readonly counter: Counter;

  private readonly zones = new Set<string>();

  private readonly messageTypes: ReadonlySet<string>;

  constructor(private readonly options: ZoneTrafficOptions) {
    this.messageTypes = new Set(options.messageTypes);
    this.counter = new Counter({
      name: 'egret_zone_bytes_total',
      help: 'Bytes by purpose, control message, and availability zones of sender and receiver.',
      labelNames: ['purpose', 'message', 'from', 'to'],
      registers: [options.registry],
    });
  }

  /** Counts bytes from this process to another one. */
  noteSent(amount: TrafficAmount): void {
    this.note(amount, this.options.availabilityZone, this.zoneLabel(amount.peerZone));
  }

  /** Counts bytes from another process to this one. */
  noteReceived(amount: TrafficAmount): void {
    this.note(amount, this.zoneLabel(amount.peerZone), this.options.availabilityZone);
  }

  private note({ purpose, message, bytes }: TrafficAmount, from: string, to: string): void {
    if (bytes <= 0) return;
    this.counter.inc({ purpose, message: this.messageLabel(message), from, to }, bytes);
  }

  private messageLabel(message: string | undefined): string {
    if (message === undefined) return '';
    return this.messageTypes.has(message) ? message : OTHER_LABEL;
  }

  private zoneLabel(zone: string | undefined): string {
    if (zone === undefined) return UNKNOWN_LABEL;
    if (zone === this.options.availabilityZone || this.zones.has(zone)) return zone;
    if (this.zones.size >= ZONE_LABELS_MAX) return OTHER_LABEL;
    this.zones.add(zone);
    return zone;
  }
}
