import type { ControlToEntryMessage, PongMessage } from '../../common/Messages.js';
import type { BackendRecord } from '../../common/backends/Types.js';
import type { EntryHost } from '../../common/Placement.js';
import type { Logger } from '../../runtime/Logger.js';
import type { MessageClient, MessageClientOptions } from '../../runtime/MessageClient.js';

/** Address of a control host, with its port for internal connections. */
export interface ControlAddress {
  readonly address: string;
  readonly port: number;
}

/** Link to a control host that opens again by itself until it is disposed. */
export type ControlClient = Pick<
  MessageClient,
  'isOpen' | 'lastReceivedAtMs' | 'serverProtocol' | 'send' | 'dispose'
>;

/** Options of a {@link ControlWatch}. */
export interface ControlWatchOptions {
  readonly self: () => EntryHost;
  readonly secret: string;
  /** Receives the bytes sent to control hosts by message type. */
  readonly onBytes?: (messageType: string, bytes: number, controlZone: string | undefined) => void;
  readonly logger: Logger;
  /** Initial control hosts; read again whenever no control host can be reached. */
  readonly seeds: () => readonly ControlAddress[];
  /** False to keep to the seeds and ignore the members that control hosts report. */
  readonly followMembership?: boolean;
  readonly routingIndex: () => number;
  /**
   * Log index of the newest routing known, which is applied, or calls are refused, within a bound; that
   * of the applied one by default.
   */
  readonly knownIndex?: () => number;
  /** Departing and departed backend servers, sent on every new link. */
  readonly departures: () => readonly BackendRecord[];
  readonly onMessage: (message: ControlToEntryMessage, control: string) => void;
  /** Called when a link to a control host is open. */
  readonly onLinked?: (control: string) => void;
  /** Called before each heartbeat. */
  readonly onPing?: (pingId: number) => void;
  /** Called for each answer to a heartbeat. */
  readonly onPong?: (pong: PongMessage, control: string) => void;
  /** Called with the log index of a routing that can not be read. */
  readonly onRoutingRefused?: (index: number) => void;
  /** Called when a control host is no longer watched, or its link was lost. */
  readonly onLost: (control: string) => void;
  /** Creates the link to a control host; a {@link MessageClient} by default. */
  readonly createClient?: (options: MessageClientOptions) => ControlClient;
  /** Monotonic time; that of the process by default. */
  readonly nowMs?: () => number;
  /** Calls back at an interval until the returned function is called; a timer by default. */
  readonly setInterval?: (intervalMs: number, fire: () => void) => () => void;
}
